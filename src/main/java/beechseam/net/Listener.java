package beechseam.net;

import beechseam.core.Timer;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Accepts connections on one address; above its owner's bound new ones wait in the kernel's queue. */
public final class Listener implements EventLoop.Ready {
    private static final Logger LOG = System.getLogger(Listener.class.getName());
    private static final int BACKLOG = 512;
    /**
     * As many are accepted before others get their turn: a crowd of new ones must not wait in the kernel.
     * Each may make room by closing another, whose descriptor the runtime keeps until the turn's end.
     */
    public static final int AT_ONCE = 32;

    /** Makes a connection object of an accepted channel. */
    public interface Taker {
        void take(SocketChannel channel) throws IOException;
    }

    /** A closing listener is off its selector by then, so that the last accept and the close are one. */
    private static final long OFF_NS = 5_000_000L;

    private final EventLoop loop;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final Taker taker;

    public Listener(EventLoop loop, SocketAddress at, Taker taker) throws IOException {
        this(loop, at, taker, false);
    }

    /** {@code shared}: other processes may listen there too, and the kernel deals out what comes. */
    public Listener(EventLoop loop, SocketAddress at, Taker taker, boolean shared) throws IOException {
        this.loop = loop;
        this.taker = taker;
        boolean local = at instanceof UnixDomainSocketAddress;
        channel = local ? ServerSocketChannel.open(StandardProtocolFamily.UNIX) : ServerSocketChannel.open();
        try {
            if (!local) { // a restart must not wait for the last life's connections to time out
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            }
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.configureBlocking(false);
            channel.bind(at, BACKLOG);
            key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
        } catch (IOException | RuntimeException e) {
            EventLoop.closeQuietly(channel);
            throw e;
        }
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Whether new connections are taken for now. */
    public void accepting(boolean on) {
        if (key.isValid()) {
            key.interestOps(on ? SelectionKey.OP_ACCEPT : 0);
        }
    }

    @Override
    public void ready(SelectionKey ignored) {
        for (int i = 0; i < AT_ONCE && key.isValid() && key.interestOps() != 0 && acceptOne(); i++) {
            continue;
        }
    }

    private boolean acceptOne() {
        try {
            SocketChannel accepted = channel.accept();
            if (accepted == null) {
                return false;
            }
            try {
                taker.take(accepted);
                return true;
            } catch (IOException | RuntimeException e) {
                EventLoop.closeQuietly(accepted);
                throw e;
            }
        } catch (IOException e) { // out of descriptors, or gone before it was taken: the listener stays
            LOG.log(Level.WARNING, "could not accept: " + e.getMessage());
            return false;
        }
    }

    /**
     * Closes once all that wait are taken: those left in the kernel's queue would be reset. A channel on a
     * selector is closed by the next select only, and until then the kernel would go on queueing.
     */
    public void closeWhenEmpty() {
        key.cancel();
        loop.timers.set(new Timer() {
            @Override
            protected void fire() {
                while (acceptOne()) {
                    continue;
                }
                close();
            }
        }, loop.now() + OFF_NS);
    }

    public void close() {
        EventLoop.closeQuietly(channel);
    }
}
