package beechseam.net;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
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

    /**
     * Guards against a heap filled by hundreds of peers that each send half a message: the connection that would exceed
     * the shared limit is closed.
     */
    @Test
    void largeReadBuffersShareOneLimit() throws IOException {
        Buffers buffers = new Buffers(5 * 16 * 1024);
        List<ByteBuffer> borrowed = new ArrayList<>();
        for (ByteBuffer larger; (larger = buffers.grow(buffers.acquire().put((byte) 7), 16 * 1024)) != null; ) {
            assertEquals(1, larger.position(), "the larger buffer has the content of the smaller one");
            borrowed.add(larger);
        }
        assertEquals(5, borrowed.size());
        buffers.release(borrowed.remove(0));
        assertNotNull(buffers.grow(buffers.acquire(), 16 * 1024), "released memory is available again");
        EventLoop loop = new EventLoop(new Buffers(0));
        try (ServerSocketChannel server = ServerSocketChannel.open().bind(Loopback.anyPort())) {
            boolean[] lost = {false};
            Connection client = new Connection(loop, null, 64 * 1024) {
                @Override
                protected void received(ByteBuffer bytes) {
                    assertTrue(bytes.remaining() <= Buffers.SIZE); // consumes nothing
                }

                @Override
                protected void lost(IOException cause) {
                    lost[0] = true;
                }
            };
            client.connect(server.getLocalAddress());
            try (SocketChannel acceptedChannel = server.accept()) {
                acceptedChannel.write(ByteBuffer.allocate(Buffers.SIZE + 1));
                for (int i = 0; i < 2000 && !lost[0]; i++) {
                    loop.turn(10_000_000L);
                }
            }
            assertTrue(lost[0]);
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
