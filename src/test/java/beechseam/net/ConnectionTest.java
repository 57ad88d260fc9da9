package beechseam.net;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ConnectionTest {
    /** Counts the calls of {@link #lost} in element 0 and of {@link #released} in element 1 of an array. */
    private abstract static class CountingConnection extends Connection {
        private final int[] callCounts;

        CountingConnection(EventLoop loop, int maxReadBytes, int[] callCounts) throws IOException {
            super(loop, null, maxReadBytes);
            this.callCounts = callCounts;
        }

        @Override
        protected void lost(IOException cause) {
            callCounts[0]++;
        }

        @Override
        protected void released() {
            callCounts[1]++;
        }
    }

    /** Guards against a crash at startup: the discovery client wrote before its connection was established. */
    @Test
    void outputWrittenWhileConnectingIsSentOnceConnected() {
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            Loopback.Peer client = net.connect(net.listen(accepted)).send("early");
            net.until(
                    "the output",
                    () -> accepted.size() == 1 && accepted.get(0).receivedText().equals("early"));
            assertFalse(client.disconnected);
        }
    }

    /**
     * Performs random steps at both ends of a connection and compares the result with a model: the bytes arrive in
     * order, the close is reported once, and nothing arrives after it.
     */
    @Property(seed = "77", tries = 60)
    void outputArrivesInOrderAndCloseIsReportedOnce(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            StringBuilder sent = new StringBuilder();
            int[] callCounts = {0, 0};
            Connection client = new CountingConnection(net.loop, 64 * 1024, callCounts) {
                @Override
                protected void received(ByteBuffer bytes) {
                    assertFalse(closed());
                    int consumed = Math.min(bytes.remaining(), 1 + random.nextInt(100)); // the rest stays buffered
                    bytes.position(bytes.position() + consumed);
                }
            };
            boolean closing = false;
            client.connect(net.listen(accepted));
            for (int step = 0; step < 30; step++) {
                switch (random.nextInt(8)) {
                    case 0, 1, 2 -> {
                        String part = "x".repeat(random.nextInt(3000)) + step;
                        client.write(ByteBuffer.wrap(part.getBytes(StandardCharsets.ISO_8859_1)));
                        sent.append(client.closed() || closing ? "" : part);
                    }
                    case 3 -> accepted.forEach(each -> each.send("y".repeat(random.nextInt(9000))));
                    case 4 -> client.processBufferedInput();
                    case 5 -> net.settle(1);
                    case 6 -> {
                        if (random.nextInt(6) == 0 && !closing) {
                            closing = true;
                            client.closeWhenWritten();
                        }
                    }
                    default -> {
                        if (random.nextInt(12) == 0) {
                            accepted.forEach(Connection::close);
                        }
                    }
                }
            }
            net.until("the connection", () -> accepted.size() == 1 || client.closed());
            if (!closing && !client.closed() && !accepted.get(0).closed()) {
                net.until("all bytes", () -> accepted.get(0).receivedText().length() == sent.length());
                assertEquals(sent.toString(), accepted.get(0).receivedText());
            }
            client.closeWhenWritten();
            net.until("the close", client::closed);
            client.close();
            client.write(ByteBuffer.wrap(new byte[] {1}));
            net.settle(1);
            assertEquals(1, callCounts[1], "released once");
            assertTrue(callCounts[0] <= 1, "lost at most once");
            assertTrue(
                    accepted.isEmpty()
                            || sent.toString().startsWith(accepted.get(0).receivedText()),
                    "only sent bytes arrive");
        }
    }

    /** A connection in the share of requests that leaves its input unconsumed until told to consume it. */
    private static final class ReluctantConnection extends CountingConnection {
        private boolean consumes;
        private int largestInput;

        ReluctantConnection(EventLoop loop, int[] callCounts) throws IOException {
            super(loop, 64 * 1024, callCounts);
        }

        @Override
        protected BufferShare bufferShare() {
            return BufferShare.REQUESTS;
        }

        @Override
        protected void received(ByteBuffer bytes) {
            largestInput = Math.max(largestInput, bytes.remaining());
            bytes.position(consumes ? bytes.limit() : bytes.position());
        }

        void consume() {
            consumes = true;
            processBufferedInput();
        }
    }

    /** Guards against a heap filled by hundreds of peers that each send half a message. */
    @Test
    void largeReadBuffersShareOneLimit() {
        int size = 2 * Buffers.SIZE;
        BufferQuota quota = new Buffers(4L * 5 * size).quota(BufferShare.REQUESTS);
        for (int i = 0; i < 5; i++) {
            assertTrue(quota.reserve(null, size));
        }
        assertFalse(quota.reserve(null, 1));
        quota.release(null, size, false);
        assertTrue(quota.reserve(null, size), "released memory is available again");
        assertFalse(quota.reserve(null, 1));
    }

    /** Guards against the close of the connection that needs memory next: its peer has done nothing wrong. */
    @Test
    void connectionWaitsForReadMemoryAndLosesNoInput() throws IOException {
        int size = 2 * Buffers.SIZE;
        try (Loopback net = new Loopback(new Buffers(4L * size))) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            int[] callCounts = {0, 0};
            ReluctantConnection holder = new ReluctantConnection(net.loop, callCounts);
            ReluctantConnection next = new ReluctantConnection(net.loop, callCounts);
            holder.connect(net.listen(accepted));
            net.until("the holder", () -> accepted.size() == 1);
            accepted.get(0).send("x".repeat(Buffers.SIZE + 1));
            net.until("the holder's input", () -> holder.largestInput == Buffers.SIZE + 1);
            next.connect(net.listen(accepted));
            net.until("the next connection", () -> accepted.size() == 2);
            accepted.get(1).send("x".repeat(size));
            net.until("the wait", next::awaitsReadMemory);
            net.settle(30);
            assertEquals(Buffers.SIZE, next.largestInput);
            holder.consume();
            net.until("the rest of the input", () -> next.largestInput == size);
            assertFalse(next.awaitsReadMemory());
            assertArrayEquals(new int[] {0, 0}, callCounts, "no connection was closed");
        }
    }

    /** An exception in {@code received} closes only that connection, and its owner is notified. */
    @Test
    void exceptionInCallbackClosesConnectionAndNotifiesOwner() throws IOException {
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            int[] callCounts = {0, 0};
            Connection client = new CountingConnection(net.loop, 1024, callCounts) {
                @Override
                protected void received(ByteBuffer bytes) {
                    throw new IllegalStateException("test");
                }
            };
            client.connect(net.listen(accepted));
            net.until("the connection", () -> accepted.size() == 1);
            accepted.get(0).send("x");
            net.until("the close", () -> accepted.get(0).disconnected);
            assertArrayEquals(new int[] {1, 1}, callCounts);
        }
    }

    @Test
    void failedConnectIsReportedOnce() {
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            java.net.InetSocketAddress unusedAddress;
            try (Loopback other = new Loopback()) {
                unusedAddress = other.listen(accepted);
            }
            Loopback.Peer client = net.connect(unusedAddress).send("never");
            net.until("the refused connect", () -> client.disconnected);
            assertTrue(client.closed());
            assertEquals(5, client.unwritten(), "no byte has been written");
        }
    }
}
