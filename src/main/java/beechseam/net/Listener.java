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
import java.nio.channels.ClosedChannelException;
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

    /** The pauses after accepts that fail; the longest is short beside any client's patience. */
    private static final long FIRST_PAUSE_NS = 10_000_000L;

    private static final long LONGEST_PAUSE_NS = 160_000_000L;
    /** So long a closing listener goes on trying to take those that wait. */
    private static final long LAST_TRIES_NS = 2_000_000_000L;

    /** What came of an attempt to accept a connection. */
    private enum Accepted {
        ONE,
        NONE,
        FAILED
    }

    private final EventLoop loop;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final Taker taker;
    private final Timer pause = new Timer() {
        @Override
        protected void fire() {
            resume();
        }
    };
    private final Runnable retry = this::resume;
    private boolean accepting = true;
    private long pauseNs;
    private long failures;

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
        accepting = on;
        interest();
    }

    private void interest() {
        if (key.isValid()) {
            key.interestOps(accepting && !pause.armed() ? SelectionKey.OP_ACCEPT : 0);
        }
    }

    @Override
    public void ready(SelectionKey ignored) {
        for (int i = 0; i < AT_ONCE && key.isValid() && key.interestOps() != 0; i++) {
            if (acceptOne() != Accepted.ONE) {
                return;
            }
        }
    }

    private Accepted acceptOne() {
        SocketChannel accepted;
        try {
            accepted = channel.accept();
        } catch (ClosedChannelException e) {
            return Accepted.NONE;
        } catch (IOException e) { // out of descriptors, or of the system's memory: the listener stays
            pauseAfter(e);
            return Accepted.FAILED;
        }
        if (accepted == null) {
            return Accepted.NONE;
        }
        recovered();
        try {
            taker.take(accepted);
            return Accepted.ONE;
        } catch (IOException e) {
            LOG.log(Level.WARNING, "an accepted connection could not be taken: " + e.getMessage());
            EventLoop.closeQuietly(accepted);
            return Accepted.NONE;
        } catch (RuntimeException e) {
            EventLoop.closeQuietly(accepted);
            throw e;
        }
    }

    /**
     * A listener that cannot accept stays readable, and would be tried again at once without end: it rests,
     * longer each time, and is tried again at the latest after that, or when a descriptor is freed.
     */
    private void pauseAfter(IOException why) {
        failures++;
        LOG.log(failures == 1 ? Level.WARNING : Level.DEBUG, "could not accept: " + why.getMessage());
        pauseNs = pauseNs == 0 ? FIRST_PAUSE_NS : Math.min(2 * pauseNs, LONGEST_PAUSE_NS);
        loop.timers.set(pause, loop.now() + pauseNs);
        loop.whenDescriptorFreed(retry);
        interest();
    }

    private void resume() {
        loop.timers.cancel(pause);
        interest();
    }

    private void recovered() {
        if (failures > 0) {
            LOG.log(Level.INFO, "accepting again after " + failures + " failures");
        }
        failures = 0;
        pauseNs = 0;
    }

    /**
     * Closes once all that wait are taken: those left in the kernel's queue would be reset. A channel on a
     * selector is closed by the next select only, and until then the kernel would go on queueing.
     */
    public void closeWhenEmpty() {
        key.cancel();
        long lastTryAt = loop.now() + LAST_TRIES_NS;
        loop.timers.set(
                new Timer() {
                    @Override
                    protected void fire() {
                        Accepted last = Accepted.ONE;
                        while (last == Accepted.ONE) {
                            last = acceptOne();
                        }
                        if (last == Accepted.FAILED && loop.now() < lastTryAt) {
                            loop.timers.set(this, loop.now() + pauseNs);
                        } else {
                            close();
                        }
                    }
                },
                loop.now() + OFF_NS);
    }

    public void close() {
        loop.timers.cancel(pause);
        EventLoop.closeQuietly(channel);
    }
}
