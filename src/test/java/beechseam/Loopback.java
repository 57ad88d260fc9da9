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

/** The one helper of the socket tests: a loop turned by hand, with peers and stand-ins on loopback. */
public final class Loopback implements AutoCloseable {
    private static final long PATIENCE_NS = 20_000_000_000L;

    public final EventLoop loop;
    private final List<AutoCloseable> open = new ArrayList<>();

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

    /** Turns the loop until it holds, with far more patience than any machine needs. */
    public void until(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + PATIENCE_NS;
        while (!holds.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "in vain: " + what);
            turn();
        }
    }

    /** A few turns in which nothing more is expected. */
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

    /** Listens on a free port; what connects becomes a peer. */
    public InetSocketAddress standIn(List<Peer> peers) {
        try {
            Listener listener = new Listener(loop, anyPort(), channel -> peers.add(peer(channel)));
            open.add(listener::close);
            return listener.address();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    public Peer dial(InetSocketAddress to) {
        Peer peer = peer(null);
        peer.open(to);
        return peer;
    }

    private Peer peer(SocketChannel channel) {
        try {
            Peer peer = new Peer(loop, channel);
            open.add(peer::close);
            return peer;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        for (AutoCloseable each : open) {
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

    /** The other end of a connection: says what it is told to and notes what it hears. */
    public static final class Peer extends Connection {
        private final StringBuilder heard = new StringBuilder();
        public boolean gone;

        Peer(EventLoop loop, SocketChannel channel) throws IOException {
            super(loop, channel, 1 << 20);
        }

        @Override
        protected long maxUnwrittenBytes() {
            return 1L << 30; // a stand-in may have much to say
        }

        void open(InetSocketAddress to) {
            connect(to);
        }

        public Peer say(String text) {
            write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
            return this;
        }

        public String heard() {
            return heard.toString();
        }

        /** What has been heard, and forgets it. */
        public String take() {
            String all = heard.toString();
            heard.setLength(0);
            return all;
        }

        /** Puts back what was taken too much. */
        public void unread(String rest) {
            heard.insert(0, rest);
        }

        @Override
        protected void received(ByteBuffer bytes) {
            heard.append(StandardCharsets.ISO_8859_1.decode(bytes));
        }

        @Override
        protected void lost(IOException why) {
            gone = true;
        }
    }
}
