package beechseam;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beechseam.net.Buffers;
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

/** Fixture of the socket tests: an event loop that the test drives, with clients and servers on loopback. */
public final class Loopback implements AutoCloseable {
    private static final long WAIT_LIMIT_NS = 20_000_000_000L;

    public final EventLoop loop;
    private final List<AutoCloseable> resources = new ArrayList<>();

    public Loopback() {
        this(new Buffers());
    }

    /** Creates a fixture whose connections share these read buffers. */
    public Loopback(Buffers buffers) {
        try {
            loop = new EventLoop(buffers);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    public static InetSocketAddress anyPort() {
        return new InetSocketAddress("127.0.0.1", 0);
    }

    /**
     * Runs the loop until the condition holds. Fails after a time limit that is far longer than any machine needs; the
     * failure names {@code awaited}.
     */
    public void until(String awaited, BooleanSupplier condition) {
        long end = System.nanoTime() + WAIT_LIMIT_NS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "timed out waiting for: " + awaited);
            turn();
        }
    }

    /** Runs the loop for this many milliseconds, in which the test expects no further event. */
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

    /** Listens on a free port, adds each accepted connection to the list, and returns the address. */
    public InetSocketAddress listen(List<Peer> peers) {
        try {
            Listener listener = new Listener(loop, anyPort(), channel -> peers.add(peer(channel)));
            resources.add(listener::close);
            return listener.address();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Opens a client connection to the address. */
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
            return 1L << 30; // test servers send large bodies
        }

        void open(InetSocketAddress to) {
            connect(to);
        }

        public Peer send(String text) {
            write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            return this;
        }

        /** All that has been received and not yet taken, as ISO 8859-1 text. */
        public String receivedText() {
            return received.toString();
        }

        /** Removes and returns all received text. */
        public String take() {
            String all = received.toString();
            received.setLength(0);
            return all;
        }

        /** Puts the unused rest of the text returned by {@link #take} back at the front. */
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
