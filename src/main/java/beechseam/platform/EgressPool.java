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
 * Keep-alive connections to executors, bounded in total and for each executor. An exchange goes out on an idle
 * connection, else on a new one, else it waits in its target's queue. It is never sent twice: whether a
 * request that broke off has run is not the pool's to judge, so it reports the failure and retries nothing but
 * sockets that could not be opened on this machine.
 */
final class EgressPool {
    private static final Logger LOG = System.getLogger(EgressPool.class.getName());

    /** An exchange without progress for so long will not be answered: longer than any client waits. */
    private static final long STALL_TIMEOUT_NS = 15_000_000_000L;

    /** A middlebox may forget idle connections sooner than configured; but none is renewed at each use. */
    private static final long MIN_IDLE_TIMEOUT_NS = 50_000_000L;

    private static final long DEFAULT_IDLE_TIMEOUT_NS = 30_000_000_000L;

    /**
     * A second response may come some milliseconds behind the first and would be taken for that to the next
     * request: a connection is reused only after this time where another is free or can be opened.
     */
    private static final long REUSE_DELAY_NS = 20_000_000L;

    /** After this time without a break on an idle connection a longer idle timeout is tried again. */
    private static final long IDLE_TIMEOUT_RECOVERY_NS = 30_000_000_000L;

    final EventLoop loop;
    final long connectTimeoutNs;

    private final long maxIdleTimeoutNs;
    private int maxConnections;
    private int maxConnectionsPerTarget;
    private int openConnections;

    private final Map<Long, EgressTarget> targets = new HashMap<>();
    /** Targets whose exchanges wait for a connection. */
    private final Set<EgressTarget> queuedTargets = new LinkedHashSet<>();
    /** Listed no more, but with connections that are still busy: these end by the same timeouts. */
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
     * An empty pool, without room for connections until {@link #setLimits}.
     *
     * @param connectTimeoutNs how long a connect and the response to a written job may take, in nanoseconds
     * @param peerIdleTimeoutNs after which the executor's side closes an idle connection, in nanoseconds: this
     *     side does so at half the time; 0 or less where that is not known
     */
    EgressPool(EventLoop loop, long connectTimeoutNs, long peerIdleTimeoutNs) {
        this.loop = loop;
        this.connectTimeoutNs = connectTimeoutNs;
        this.maxIdleTimeoutNs = peerIdleTimeoutNs > 0 ? peerIdleTimeoutNs / 2 : DEFAULT_IDLE_TIMEOUT_NS;
    }

    /** Bounds the connections. Above a lowered bound none is closed, but none is opened either. */
    void setLimits(int connections, int connectionsPerTarget) {
        maxConnections = connections;
        maxConnectionsPerTarget = connectionsPerTarget;
    }

    /** The executor with this id, or null where none is listed. */
    EgressTarget target(long id) {
        return targets.get(id);
    }

    /** An entry of the route table names this address. A changed one replaces the target. */
    void put(long id, String host, InetSocketAddress address) {
        EgressTarget known = targets.get(id);
        if (known == null || !known.address.equals(address)) {
            remove(id);
            targets.put(id, new EgressTarget(id, host, address, maxIdleTimeoutNs));
        }
    }

    /** Fails what is queued for the target and closes its idle connections; busy ones end as they would. */
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

    /** Removes all targets but these. */
    void retain(Set<Long> listedIds) {
        for (Long id : List.copyOf(targets.keySet())) {
            if (!listedIds.contains(id)) {
                remove(id);
            }
        }
    }

    /** Sends it on an idle connection or a new one, or queues it until a connection becomes free. */
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
     * This machine is out of descriptors or ports: that says nothing of the executor, which must not be
     * suspected for it. The exchange waits, for as long as it is wanted, until a socket can be opened.
     */
    void retryLater(EgressTarget target, Exchange exchange, IOException cause) {
        Level level = socketBackoff.recordFailure() ? Level.WARNING : Level.DEBUG;
        LOG.log(level, "socket open failed reason=" + cause.getMessage());
        enqueue(target, exchange);
        if (!retryTimer.armed()) {
            loop.timers.set(retryTimer, loop.now() + socketBackoff.nextPauseNs());
        }
    }

    /** A connection has been established: this machine opens sockets again. */
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

    /** Sends queued exchanges as far as there is room for connections. */
    private void sendQueued() {
        for (EgressTarget target : List.copyOf(queuedTargets)) {
            int queued = target.queue.size();
            for (int i = 0;
                    i < queued && !target.queue.isEmpty() && target.openConnections < maxConnectionsPerTarget;
                    i++) {
                if (retryTimer.armed() || !hasRoomForConnection()) {
                    return; // no further target has room either
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
     * An idle connection past its reuse delay, the one used last first, or null. Its peer may have closed it
     * in this very turn, and a request written to it then may have run for all that is known: so it is read
     * first.
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

    /** Whether one more may be opened; at the bound an idle connection of any target is closed for it. */
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

    /** A connection has no exchange: the next in its target's queue takes it. */
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
        sendQueuedAtTurnEnd(); // another target's exchange may wait for its descriptor
    }

    /** Not at once: a long queue before a dead executor would recurse as deep. */
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
     * A connection that had been idle for {@code idleNs} nanoseconds broke at its next request, which may have
     * run for all that is known: connections idle for so long are closed from now on, not used again.
     */
    void shortenIdleTimeout(EgressTarget target, long idleNs) {
        if (idleNs >= MIN_IDLE_TIMEOUT_NS) {
            target.idleTimeoutNs = Math.max(MIN_IDLE_TIMEOUT_NS, Math.min(target.idleTimeoutNs, idleNs * 3 / 4));
            target.idleTimeoutChangedAt = loop.now();
        }
    }

    /** A connection that was counted as open has closed. */
    void connectionClosed(EgressConnection connection) {
        EgressTarget target = connection.target();
        target.openConnections--;
        openConnections--;
        target.idleConnections.remove(connection);
        target.busyConnections.remove(connection);
        sendQueuedAtTurnEnd();
    }

    /** How many connections are open or being opened. */
    int openConnections() {
        return openConnections;
    }

    /** Applies the timeouts; called periodically, {@code nowNs} on the loop's clock. */
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

    /** Removes all targets; busy connections end with their exchanges. */
    void close() {
        loop.timers.cancel(retryTimer);
        List.copyOf(targets.keySet()).forEach(this::remove);
    }
}
