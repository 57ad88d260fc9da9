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
 * Accepts connections on one address, several per turn of the loop. While accepting is off, new connections wait in
 * the kernel's queue. An accept that fails, for example for lack of file descriptors, is retried after a backoff that
 * doubles up to a limit, or as soon as a descriptor is freed.
 */
public final class Listener implements EventLoop.Ready {
    private static final Logger LOG = System.getLogger(Listener.class.getName());
    private static final int BACKLOG = 512;
    /**
     * The largest number of accepts per turn of the loop. It is high enough that a burst of new connections does not
     * wait in the kernel, and bounded so that the burst does not delay other connections. An accept may close another
     * connection to stay within a limit, and the runtime frees the descriptor of that one only after the turn.
     */
    public static final int AT_ONCE = 32;

    /** Creates the connection object of an accepted channel. */
    public interface ConnectionAcceptor {
        /** Takes over the channel; if it throws, the listener closes the channel. */
        void accept(SocketChannel channel) throws IOException;
    }

    /**
     * The delay after which a cancelled key has left its selector, so that the last accept and the close happen without
     * a gap in which the kernel could queue further connections.
     */
    private static final long DEREGISTRATION_NS = 5_000_000L;

    /** How long a closing listener retries failed accepts. */
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

    /** Listens on an address that no other process shares; throws if the address cannot be bound. */
    public Listener(EventLoop loop, SocketAddress address, ConnectionAcceptor acceptor) throws IOException {
        this(loop, address, acceptor, false);
    }

    /**
     * Binds the address and starts accepting; throws if the address cannot be bound.
     *
     * @param loop the loop that serves the listener
     * @param address an internet or Unix domain address; port 0 selects a free port
     * @param acceptor takes over the accepted channels
     * @param shared whether other processes may listen on the address too (SO_REUSEPORT); the kernel then distributes
     *     new connections over them
     */
    public Listener(EventLoop loop, SocketAddress address, ConnectionAcceptor acceptor, boolean shared)
            throws IOException {
        this.loop = loop;
        this.acceptor = acceptor;
        boolean unixSocket = address instanceof UnixDomainSocketAddress;
        channel = unixSocket ? ServerSocketChannel.open(StandardProtocolFamily.UNIX) : ServerSocketChannel.open();
        try {
            if (!unixSocket) { // else a restart waits until the previous process's connections time out
                channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            }
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.configureBlocking(false);
            channel.bind(address, BACKLOG);
            key = loop.register(channel, SelectionKey.OP_ACCEPT, this);
        } catch (IOException | RuntimeException e) {
            EventLoop.closeQuietly(channel);
            throw e;
        }
    }

    /** Returns the bound internet address; not available for a Unix domain socket. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Switches accepting on or off; while it is off, new connections wait in the kernel's queue. */
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
        } catch (IOException e) { // no descriptors or system memory left: the listener stays open and retries
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
     * Suspends accepting after a failure until the backoff ends or a descriptor is freed. The channel of a listener
     * that cannot accept stays ready, so the loop would otherwise retry in every turn without a pause.
     */
    private void backOff(IOException cause) {
        Level level = backoff.recordFailure() ? Level.WARNING : Level.DEBUG;
        LOG.log(level, "accept failed reason=" + cause.getMessage());
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
     * Accepts all queued connections, then closes, since a close resets the connections in the kernel's queue. The
     * socket of a channel that is registered with a selector closes only at the next select, and the kernel queues
     * connections until then; so the listener leaves its selector first.
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

    /** Closes immediately; connections in the kernel's queue are reset. A closed listener stays closed. */
    public void close() {
        loop.timers.cancel(backoffTimer);
        EventLoop.closeQuietly(channel);
    }
}
