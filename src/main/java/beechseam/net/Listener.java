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

/**
 * Accepts connections on one address, several a turn. While its owner does not accept, new ones wait in the
 * kernel's queue. An accept that fails, for example for want of descriptors, is tried again after a backoff that
 * doubles up to a limit, or as soon as a descriptor is freed.
 */
public final class Listener implements EventLoop.Ready {
    private static final Logger LOG = System.getLogger(Listener.class.getName());
    private static final int BACKLOG = 512;
    /**
     * The most accepts per turn of the loop: a burst of new connections must not wait in the kernel, nor other
     * connections for the burst. Each accept may make room by closing another connection, whose descriptor the
     * runtime keeps until the turn's end.
     */
    public static final int AT_ONCE = 32;

    /** Makes a connection object of an accepted channel. */
    public interface ConnectionAcceptor {
        /** Takes the channel over, or throws; then the listener closes it. */
        void accept(SocketChannel channel) throws IOException;
    }

    /** A cancelled key has left its selector after this time, so that the last accept and the close are one. */
    private static final long DEREGISTRATION_NS = 5_000_000L;

    /** How long a closing listener goes on retrying failed accepts. */
    private static final long DRAIN_RETRY_LIMIT_NS = 2_000_000_000L;

    private enum AcceptResult {
        ACCEPTED,
        NONE_PENDING,
        FAILED
    }

    private final EventLoop loop;
    private final ServerSocketChannel channel;
    private final SelectionKey key;
    private final ConnectionAcceptor acceptor;
    private final Timer backoffTimer = new Timer() {
        @Override
        protected void fire() {
            resumeAccepting();
        }
    };
    private final Runnable resumeAccepting = this::resumeAccepting;
    private final RetryBackoff backoff = RetryBackoff.forSockets();
    private boolean accepting = true;

    /** Listens on an address that no other process shares; fails where it cannot be bound. */
    public Listener(EventLoop loop, SocketAddress at, ConnectionAcceptor acceptor) throws IOException {
        this(loop, at, acceptor, false);
    }

    /**
     * Binds and starts to accept; fails where the address cannot be bound.
     *
     * @param at an internet or Unix domain address; port 0 takes a free one
     * @param shared whether other processes may listen there too (SO_REUSEPORT); the kernel then spreads
     *     connections over them
     */
    public Listener(EventLoop loop, SocketAddress at, ConnectionAcceptor acceptor, boolean shared) throws IOException {
        this.loop = loop;
        this.acceptor = acceptor;
        boolean unixSocket = at instanceof UnixDomainSocketAddress;
        channel = unixSocket ? ServerSocketChannel.open(StandardProtocolFamily.UNIX) : ServerSocketChannel.open();
        try {
            if (!unixSocket) { // a restart must not wait for the previous process's connections to time out
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

    /** The bound address; not for a Unix domain socket. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Turns accepting on or off; while off, new connections wait in the kernel's queue. */
    public void accepting(boolean enabled) {
        accepting = enabled;
        updateInterestOps();
    }

    private void updateInterestOps() {
        if (key.isValid()) {
            key.interestOps(accepting && !backoffTimer.armed() ? SelectionKey.OP_ACCEPT : 0);
        }
    }

    @Override
    public void ready(SelectionKey ignored) {
        for (int i = 0; i < AT_ONCE && key.isValid() && key.interestOps() != 0; i++) {
            if (acceptOne() != AcceptResult.ACCEPTED) {
                return;
            }
        }
    }

    private AcceptResult acceptOne() {
        SocketChannel accepted;
        try {
            accepted = channel.accept();
        } catch (ClosedChannelException e) {
            return AcceptResult.NONE_PENDING;
        } catch (IOException e) { // out of descriptors, or of the system's memory: the listener stays
            backOff(e);
            return AcceptResult.FAILED;
        }
        if (accepted == null) {
            return AcceptResult.NONE_PENDING;
        }
        recordSuccess();
        try {
            acceptor.accept(accepted);
            return AcceptResult.ACCEPTED;
        } catch (IOException e) {
            LOG.log(Level.WARNING, "accepted connection dropped reason=" + e.getMessage());
            EventLoop.closeQuietly(accepted);
            return AcceptResult.NONE_PENDING;
        } catch (RuntimeException e) {
            EventLoop.closeQuietly(accepted);
            throw e;
        }
    }

    /**
     * A listener that cannot accept stays readable and would be served again at once without end, so it stops
     * being served until the backoff ends or a descriptor is freed.
     */
    private void backOff(IOException why) {
        Level level = backoff.recordFailure() ? Level.WARNING : Level.DEBUG;
        LOG.log(level, "accept failed reason=" + why.getMessage());
        loop.timers.set(backoffTimer, loop.now() + backoff.nextPauseNs());
        loop.whenDescriptorFreed(resumeAccepting);
        updateInterestOps();
    }

    private void resumeAccepting() {
        loop.timers.cancel(backoffTimer);
        updateInterestOps();
    }

    private void recordSuccess() {
        long failures = backoff.recordSuccess();
        if (failures > 0) {
            LOG.log(Level.INFO, "accept recovered failures=" + failures);
        }
    }

    /**
     * Accepts all that wait, then closes: connections left in the kernel's queue would be reset. A channel on a
     * selector is closed only by the next select, and until then the kernel would go on queueing, so the
     * listener leaves its selector first.
     */
    public void closeWhenEmpty() {
        key.cancel();
        long retryLimitNs = loop.now() + DRAIN_RETRY_LIMIT_NS;
        loop.timers.set(
                new Timer() {
                    @Override
                    protected void fire() {
                        AcceptResult last = AcceptResult.ACCEPTED;
                        while (last == AcceptResult.ACCEPTED) {
                            last = acceptOne();
                        }
                        if (last == AcceptResult.FAILED && loop.now() < retryLimitNs) {
                            loop.timers.set(this, loop.now() + backoff.pauseNs());
                        } else {
                            close();
                        }
                    }
                },
                loop.now() + DEREGISTRATION_NS);
    }

    /** Closes at once; connections in the kernel's queue are reset. No effect when closed. */
    public void close() {
        loop.timers.cancel(backoffTimer);
        EventLoop.closeQuietly(channel);
    }
}
