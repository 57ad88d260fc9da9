package beechseam.platform;

import beechseam.core.Timer;
import beechseam.net.EventLoop;
import beechseam.net.RetryBackoff;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Pool of keep-alive connections to executors, bounded in total and per executor. An exchange is sent on an idle
 * connection if there is one, otherwise on a new connection; at the bound it waits in its target's queue.
 *
 * <p>The pool never sends an exchange twice, because it cannot tell whether an interrupted request has run. It
 * reports the failure to the exchange and retries only when this machine could not open a socket.
 */
final class EgressPool {
    private static final Logger LOG = System.getLogger(EgressPool.class.getName());

    /** An exchange fails after this time without progress, which is longer than any client waits. */
    private static final long STALL_TIMEOUT_NS = 15_000_000_000L;

    /**
     * Lower bound of the idle timeout, which shrinks when a middlebox drops idle connections earlier than
     * configured. Without it the pool could end up opening a connection for every request.
     */
    private static final long MIN_IDLE_TIMEOUT_NS = 50_000_000L;

    private static final long DEFAULT_IDLE_TIMEOUT_NS = 30_000_000_000L;

    /**
     * Time between a response and the next request on the same connection, unless no other connection is idle or
     * can be opened. A faulty executor may send a second response some milliseconds after the first, which would
     * be taken for the response to the next request.
     */
    private static final long REUSE_DELAY_NS = 20_000_000L;

    /** The idle timeout is doubled after this time without a connection that broke after being idle. */
    private static final long IDLE_TIMEOUT_RECOVERY_NS = 30_000_000_000L;

    final EventLoop loop;
    final long connectTimeoutNs;

    private final long maxIdleTimeoutNs;
    private int maxConnections;
    private int maxConnectionsPerTarget;
    private int openConnections;

    private final Map<Long, EgressTarget> targets = new HashMap<>();
    /** Targets with exchanges that wait for a connection. */
    private final Set<EgressTarget> queuedTargets = new LinkedHashSet<>();
    /** Targets that are no longer listed but still have busy connections; the same timeouts apply to these. */
    private final Set<EgressTarget> removedTargets = new LinkedHashSet<>();

    private final RetryBackoff socketBackoff = RetryBackoff.forSockets();
    private final Timer retryTimer = new Timer() {
        @Override
        protected void fire() {
            sendQueued();
        }
    };
    private final Runnable onDescriptorFreed = this::retryNow;
    private boolean sendsAtTurnEnd;

    /**
     * Creates an empty pool, which opens no connections before {@link #setLimits} is called.
     *
     * @param connectTimeoutNs timeout of a connect, and of the response to a job that has been written, in
     *     nanoseconds
     * @param peerIdleTimeoutNs time after which an executor closes an idle connection, in nanoseconds; 0 or less
     *     if unknown. The pool closes its idle connections after half of this time.
     */
    EgressPool(EventLoop loop, long connectTimeoutNs, long peerIdleTimeoutNs) {
        this.loop = loop;
        this.connectTimeoutNs = connectTimeoutNs;
        this.maxIdleTimeoutNs = peerIdleTimeoutNs > 0 ? peerIdleTimeoutNs / 2 : DEFAULT_IDLE_TIMEOUT_NS;
    }

    /** Sets the bounds on connections. Lowering a bound closes none, but none is opened above it. */
    void setLimits(int connections, int connectionsPerTarget) {
        maxConnections = connections;
        maxConnectionsPerTarget = connectionsPerTarget;
    }

    /** Returns the executor with this id, or null if none is listed. */
    EgressTarget target(long id) {
        return targets.get(id);
    }

    /** Adds the target of a route table entry. A target whose address has changed is replaced. */
    void put(long id, String host, InetSocketAddress address) {
        EgressTarget known = targets.get(id);
        if (known == null || !known.address.equals(address)) {
            remove(id);
            targets.put(id, new EgressTarget(id, host, address, maxIdleTimeoutNs));
        }
    }

    /** Removes a target: fails its queued exchanges and closes its idle connections. Busy ones finish as usual. */
    void remove(long id) {
        EgressTarget target = targets.remove(id);
        if (target != null) {
            target.removed = true;
            removedTargets.add(target);
            List.copyOf(target.idleConnections).forEach(EgressConnection::close);
            List<Exchange> queued = new ArrayList<>(target.queue);
            target.queue.clear();
            queuedTargets.remove(target);
            queued.forEach(each -> {
                if (each.tryBegin()) {
                    each.failed(true);
                }
            });
        }
    }

    /** Removes all targets except these. */
    void retain(Set<Long> listedIds) {
        for (Long id : List.copyOf(targets.keySet())) {
            if (!listedIds.contains(id)) {
                remove(id);
            }
        }
    }

    /** Sends the exchange on an idle or a new connection, or queues it until a connection becomes free. */
    void send(EgressTarget target, Exchange exchange) {
        EgressConnection idle = acquireIdle(target);
        if (idle != null) {
            target.busyConnections.add(idle);
            if (!idle.begin(exchange)) {
                connectionIdle(idle);
            }
            return;
        }
        if (target.openConnections >= maxConnectionsPerTarget || !hasRoomForConnection()) {
            enqueue(target, exchange);
            return;
        }
        EgressConnection opened;
        try {
            opened = new EgressConnection(this, target);
        } catch (IOException e) { // out of descriptors
            retryLater(target, exchange, e);
            loop.whenDescriptorFreed(onDescriptorFreed);
            return;
        }
        target.openConnections++;
        openConnections++;
        target.busyConnections.add(opened);
        opened.open(exchange);
    }

    private void enqueue(EgressTarget target, Exchange exchange) {
        target.queue.add(exchange);
        queuedTargets.add(target);
    }

    /**
     * Queues an exchange for which no socket could be opened because this machine is out of descriptors or ports.
     * The executor must not be suspected of a fault for that, so the exchange does not fail; it is retried with
     * backoff for as long as its owner still wants it sent.
     */
    void retryLater(EgressTarget target, Exchange exchange, IOException cause) {
        Level level = socketBackoff.recordFailure() ? Level.WARNING : Level.DEBUG;
        LOG.log(level, "socket open failed reason=" + cause.getMessage());
        enqueue(target, exchange);
        if (!retryTimer.armed()) {
            loop.timers.set(retryTimer, loop.now() + socketBackoff.nextPauseNs());
        }
    }

    /** Called when a connection has been established, which shows that this machine can open sockets again. */
    void connectionEstablished() {
        long failures = socketBackoff.recordSuccess();
        if (failures > 0) {
            LOG.log(Level.INFO, "socket open recovered failures=" + failures);
        }
    }

    private void retryNow() {
        loop.timers.cancel(retryTimer);
        sendQueued();
    }

    /** Sends queued exchanges until the bounds on connections are reached. */
    private void sendQueued() {
        for (EgressTarget target : List.copyOf(queuedTargets)) {
            int queued = target.queue.size();
            for (int i = 0;
                    i < queued && !target.queue.isEmpty() && target.openConnections < maxConnectionsPerTarget;
                    i++) {
                if (retryTimer.armed() || !hasRoomForConnection()) {
                    return; // the remaining targets could not open a connection either
                }
                send(target, poll(target));
            }
        }
    }

    private Exchange poll(EgressTarget target) {
        Exchange next = target.queue.poll();
        if (target.queue.isEmpty()) {
            queuedTargets.remove(target);
        }
        return next;
    }

    /**
     * Removes and returns the most recently used idle connection whose reuse delay has passed, or null if there
     * is none. If no further connection may be opened, the one idle for longest is used even before its delay.
     *
     * <p>The connection is read first, to notice whether the peer has closed it in this turn of the loop: a
     * request written after that would fail without showing whether it has run.
     */
    private EgressConnection acquireIdle(EgressTarget target) {
        long now = loop.now();
        target.closeExpiredIdle(now);
        boolean full = target.openConnections >= maxConnectionsPerTarget || openConnections >= maxConnections;
        for (EgressConnection each : List.copyOf(target.idleConnections)) {
            boolean lastResort = full && each == target.idleConnections.peekLast();
            if (lastResort || now - each.lastActivity() >= REUSE_DELAY_NS) {
                each.catchUp();
                if (!each.closed() && target.idleConnections.remove(each)) {
                    return each;
                }
            }
        }
        return null;
    }

    /** Whether one more connection may be opened; at the total bound, closes an idle one of any target for it. */
    private boolean hasRoomForConnection() {
        return openConnections < maxConnections || closeOneIdle();
    }

    private boolean closeOneIdle() {
        for (EgressTarget target : targets.values()) {
            EgressConnection oldest = target.idleConnections.pollLast();
            if (oldest != null) {
                oldest.close();
                return true;
            }
        }
        return false;
    }

    /** Called when a connection has no exchange: begins the next queued one of its target, or keeps it idle. */
    void connectionIdle(EgressConnection connection) {
        EgressTarget target = connection.target();
        if (connection.closed()) {
            return;
        }
        if (target.removed) {
            connection.close();
            return;
        }
        for (Exchange next = poll(target); next != null; next = poll(target)) {
            if (connection.begin(next)) {
                return;
            }
        }
        target.busyConnections.remove(connection);
        target.idleConnections.addFirst(connection);
        sendQueuedAtTurnEnd(); // another target's exchange may be waiting for a connection to be closed
    }

    /** Deferred to the end of the turn, since a long queue for an unreachable executor would recurse deeply. */
    private void sendQueuedAtTurnEnd() {
        if (!queuedTargets.isEmpty() && !sendsAtTurnEnd) {
            sendsAtTurnEnd = true;
            loop.atTurnEnd(() -> {
                sendsAtTurnEnd = false;
                if (!retryTimer.armed()) {
                    sendQueued();
                }
            });
        }
    }

    /**
     * Shortens the target's idle timeout after a connection that had been idle for {@code idleNs} nanoseconds
     * broke at its next request. Whether such a request has run is unknown, so connections are closed in future
     * before they have been idle for that long.
     */
    void shortenIdleTimeout(EgressTarget target, long idleNs) {
        if (idleNs >= MIN_IDLE_TIMEOUT_NS) {
            target.idleTimeoutNs = Math.max(MIN_IDLE_TIMEOUT_NS, Math.min(target.idleTimeoutNs, idleNs * 3 / 4));
            target.idleTimeoutChangedAt = loop.now();
        }
    }

    /** Called when a connection that was counted as open has closed. */
    void connectionClosed(EgressConnection connection) {
        EgressTarget target = connection.target();
        target.openConnections--;
        openConnections--;
        target.idleConnections.remove(connection);
        target.busyConnections.remove(connection);
        sendQueuedAtTurnEnd();
    }

    /** Returns the number of connections that are open or being opened. */
    int openConnections() {
        return openConnections;
    }

    /** Applies the idle and stall timeouts. Called periodically with the time on the loop's clock. */
    void sweep(long nowNs) {
        for (EgressTarget target : targets.values()) {
            if (target.idleTimeoutNs < maxIdleTimeoutNs
                    && nowNs - target.idleTimeoutChangedAt > IDLE_TIMEOUT_RECOVERY_NS) {
                target.idleTimeoutNs = Math.min(maxIdleTimeoutNs, 2 * target.idleTimeoutNs);
                target.idleTimeoutChangedAt = nowNs;
            }
            target.closeExpiredIdle(nowNs);
            sweepBusy(target, nowNs);
        }
        removedTargets.removeIf(target -> target.openConnections == 0);
        List.copyOf(removedTargets).forEach(target -> sweepBusy(target, nowNs));
    }

    private static void sweepBusy(EgressTarget target, long nowNs) {
        List.copyOf(target.busyConnections).forEach(each -> each.sweep(nowNs, STALL_TIMEOUT_NS));
    }

    /** Removes all targets. Busy connections close when their exchanges end. */
    void close() {
        loop.timers.cancel(retryTimer);
        List.copyOf(targets.keySet()).forEach(this::remove);
    }
}
