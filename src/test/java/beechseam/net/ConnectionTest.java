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
    /** Counts the calls of {@link #lost} and of {@link #released}. */
    private abstract static class CountingConnection extends Connection {
        private final int[] ends;

        CountingConnection(EventLoop loop, int maxReadBytes, int[] ends) throws IOException {
            super(loop, null, maxReadBytes);
            this.ends = ends;
        }

        @Override
        protected void lost(IOException why) {
            ends[0]++;
        }

        @Override
        protected void released() {
            ends[1]++;
        }
    }

    /** The first start on the bench crashed here: the discovery client wrote before its connect was done. */
    @Test
    void outputWrittenWhileConnectingIsSentOnceConnected() {
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            Loopback.Peer early = net.connect(net.listen(accepted)).send("early");
            net.until(
                    "the bytes",
                    () -> accepted.size() == 1 && accepted.get(0).receivedText().equals("early"));
            assertFalse(early.disconnected);
        }
    }

    /** Random steps of both ends against a model: bytes in order, one close, nothing after it. */
    @Property(seed = "77", tries = 60)
    void outputArrivesInOrderAndCloseIsReportedOnce(@ForAll long seed) throws IOException {
        Random random = new Random(seed);
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> far = new ArrayList<>();
            StringBuilder sent = new StringBuilder();
            int[] ends = {0, 0}; // told of the loss, counted out
            Connection near = new CountingConnection(net.loop, 64 * 1024, ends) {
                @Override
                protected void received(ByteBuffer bytes) {
                    assertFalse(closed());
                    int some = Math.min(bytes.remaining(), 1 + random.nextInt(100)); // the rest is kept
                    bytes.position(bytes.position() + some);
                }
            };
            boolean closing = false;
            near.connect(net.listen(far));
            for (int step = 0; step < 30; step++) {
                switch (random.nextInt(8)) {
                    case 0, 1, 2 -> {
                        String part = "x".repeat(random.nextInt(3000)) + step;
                        near.write(ByteBuffer.wrap(part.getBytes(StandardCharsets.ISO_8859_1)));
                        sent.append(near.closed() || closing ? "" : part);
                    }
                    case 3 -> far.forEach(each -> each.send("y".repeat(random.nextInt(9000))));
                    case 4 -> near.processBufferedInput();
                    case 5 -> net.settle(1);
                    case 6 -> {
                        if (random.nextInt(6) == 0 && !closing) {
                            closing = true;
                            near.closeWhenWritten();
                        }
                    }
                    default -> {
                        if (random.nextInt(12) == 0) {
                            far.forEach(Connection::close);
                        }
                    }
                }
            }
            net.until("the connect", () -> far.size() == 1 || near.closed());
            if (!closing && !near.closed() && !far.get(0).closed()) {
                net.until("all bytes", () -> far.get(0).receivedText().length() == sent.length());
                assertEquals(sent.toString(), far.get(0).receivedText());
            }
            near.closeWhenWritten();
            net.until("the end", near::closed);
            near.close();
            near.write(ByteBuffer.wrap(new byte[] {1}));
            net.settle(1);
            assertEquals(1, ends[1], "counted out once");
            assertTrue(ends[0] <= 1, "told at most once");
            assertTrue(far.isEmpty() || sent.toString().startsWith(far.get(0).receivedText()), "nothing else came");
        }
    }

    /** Hundreds of peers that each send half a message must not fill the heap: the one over the limit is closed. */
    @Test
    void largeReadBuffersShareOneLimit() throws IOException {
        Buffers buffers = new Buffers(5 * 16 * 1024);
        List<ByteBuffer> lent = new ArrayList<>();
        for (ByteBuffer larger; (larger = buffers.grow(buffers.acquire().put((byte) 7), 16 * 1024)) != null; ) {
            assertEquals(1, larger.position(), "it holds what the other held");
            lent.add(larger);
        }
        assertEquals(5, lent.size());
        buffers.release(lent.remove(0));
        assertNotNull(buffers.grow(buffers.acquire(), 16 * 1024), "what is given back is lent again");
        EventLoop loop = new EventLoop(new Buffers(0));
        try (ServerSocketChannel server = ServerSocketChannel.open().bind(Loopback.anyPort())) {
            boolean[] lost = {false};
            Connection near = new Connection(loop, null, 64 * 1024) {
                @Override
                protected void received(ByteBuffer bytes) {
                    assertTrue(bytes.remaining() <= Buffers.SIZE); // and uses none of it
                }

                @Override
                protected void lost(IOException why) {
                    lost[0] = true;
                }
            };
            near.connect(server.getLocalAddress());
            try (SocketChannel far = server.accept()) {
                far.write(ByteBuffer.allocate(Buffers.SIZE + 1));
                for (int i = 0; i < 2000 && !lost[0]; i++) {
                    loop.turn(10_000_000L);
                }
            }
            assertTrue(lost[0]);
        }
    }

    /** An exception while reading costs only its own connection, and the owner is notified. */
    @Test
    void exceptionInCallbackClosesConnectionAndNotifiesOwner() throws IOException {
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> far = new ArrayList<>();
            int[] ends = {0, 0};
            Connection near = new CountingConnection(net.loop, 1024, ends) {
                @Override
                protected void received(ByteBuffer bytes) {
                    throw new IllegalStateException("test");
                }
            };
            near.connect(net.listen(far));
            net.until("the connect", () -> far.size() == 1);
            far.get(0).send("x");
            net.until("the end", () -> far.get(0).disconnected);
            assertArrayEquals(new int[] {1, 1}, ends);
        }
    }

    @Test
    void failedConnectIsReportedOnce() {
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            java.net.InetSocketAddress free;
            try (Loopback other = new Loopback()) {
                free = other.listen(accepted);
            }
            Loopback.Peer refused = net.connect(free).send("never");
            net.until("the refusal", () -> refused.disconnected);
            assertTrue(refused.closed());
            assertEquals(5, refused.unwritten(), "none of it has gone out");
        }
    }
}
