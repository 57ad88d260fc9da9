package beechseam;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beechseam.net.Connection;
import beechseam.net.EventLoop;
import beechseam.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Test fixture of all socket tests: an event loop driven by the test, with clients and servers on loopback. */
public final class Loopback implements AutoCloseable {
    private static final long WAIT_LIMIT_NS = 20_000_000_000L;

    public final EventLoop loop;
    private final List<AutoCloseable> resources = new ArrayList<>();

    public Loopback() {
        try {
            loop = new EventLoop();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    public static InetSocketAddress anyPort() {
        return new InetSocketAddress("127.0.0.1", 0);
    }

    /** Turns the loop until the condition holds, or fails after far longer than any machine needs. */
    public void until(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + WAIT_LIMIT_NS;
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "in vain: " + what);
            turn();
        }
    }

    /** Turns the loop for this many ms, in which nothing more is expected. */
    public void settle(long ms) {
        for (long end = System.nanoTime() + ms * 1_000_000L; System.nanoTime() < end; ) {
            turn();
        }
    }

    private void turn() {
        try {
            loop.turn(2_000_000L);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Listens on a free port; each connection accepted is added to the list. */
    public InetSocketAddress listen(List<Peer> peers) {
        try {
            Listener listener = new Listener(loop, anyPort(), channel -> peers.add(peer(channel)));
            resources.add(listener::close);
            return listener.address();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    public Peer connect(InetSocketAddress to) {
        Peer peer = peer(null);
        peer.open(to);
        return peer;
    }

    private Peer peer(SocketChannel channel) {
        try {
            Peer peer = new Peer(loop, channel);
            resources.add(peer::close);
            return peer;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        for (AutoCloseable each : resources) {
            try {
                each.close();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
        loop.stop();
        try {
            loop.run(); // closes the selector
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The remote end of a connection: sends on demand and records what it receives. */
    public static final class Peer extends Connection {
        private final StringBuilder received = new StringBuilder();
        public boolean disconnected;

        Peer(EventLoop loop, SocketChannel channel) throws IOException {
            super(loop, channel, 1 << 20);
        }

        @Override
        protected long maxUnwrittenBytes() {
            return 1L << 30; // a test server may send much
        }

        void open(InetSocketAddress to) {
            connect(to);
        }

        public Peer send(String text) {
            write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            return this;
        }

        public String receivedText() {
            return received.toString();
        }

        /** Removes and returns what has been received. */
        public String take() {
            String all = received.toString();
            received.setLength(0);
            return all;
        }

        /** Puts back the unused rest of {@link #take}. */
        public void unread(String rest) {
            received.insert(0, rest);
        }

        @Override
        protected void received(ByteBuffer bytes) {
            received.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        protected void lost(IOException why) {
            disconnected = true;
        }
    }
}
