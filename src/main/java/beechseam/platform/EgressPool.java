package beechseam.platform;

import beechseam.core.Timer;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Connections to executors, kept alive between exchanges. It sends nothing twice. */
final class EgressPool {
    private static final Logger LOG = System.getLogger(EgressPool.class.getName());

    /** An executor's address with the connections to it. */
    static final class Target {
        final long id;
        final String host;
        final InetSocketAddress address;
        final ArrayDeque<EgressConnection> idle = new ArrayDeque<>();
        final ArrayDeque<Exchange> queue = new ArrayDeque<>();
        final Set<EgressConnection> busy = new LinkedHashSet<>();
        int open;
        boolean gone;
        /** How long a connection to it may stand idle and still be used. */
        long keepIdleNs;

        long staleAt;

        Target(long id, String host, InetSocketAddress address, long keepIdleNs) {
            this.id = id;
            this.host = host;
            this.address = address;
            this.keepIdleNs = keepIdleNs;
        }
    }

    final EventLoop loop;
    final long connectTimeoutNs;
    /** An exchange that has stood still for so long will not be answered: longer than any client waits. */
    private static final long STALL_NS = 15_000_000_000L;

    /** Something on the way may forget idle connections sooner than told; but none is renewed at each use. */
    private static final long LEAST_KEPT_NS = 50_000_000L;
    /**
     * A second answer may come some milliseconds behind the first, and would be taken for that to the next
     * request: so a connection rests before that, where another is free or can be opened.
     */
    private static final long REST_NS = 20_000_000L;
    /** So long after the last break a longer pause is tried again. */
    private static final long STALE_NS = 30_000_000_000L;

    private final long keepIdleNs;
    private int mostOpen;
    private int mostPerTarget;
    /** The pauses after a socket that could not be opened here. */
    private static final long FIRST_PAUSE_NS = 10_000_000L;

    private static final long LONGEST_PAUSE_NS = 160_000_000L;

    private final Map<Long, Target> targets = new HashMap<>();
    /** Those whose exchanges wait for a connection. */
    private final Set<Target> queued = new LinkedHashSet<>();

    private final Runnable descriptorFreed = this::descriptorFreed;
    private final Timer pause = new Timer() {
        @Override
        protected void fire() {
            sendQueued();
        }
    };
    private long pauseNs;
    private long localFailures;
    private boolean sendsAtTurnEnd;
    /** No longer listed, but with connections that are still busy: these end by the same clocks. */
    private final Set<Target> removed = new LinkedHashSet<>();

    private int open;

    /** The executor's side closes what stands idle for {@code idleCloseNs}: this side does so well before. */
    EgressPool(EventLoop loop, long connectTimeoutNs, long idleCloseNs) {
        this.loop = loop;
        this.connectTimeoutNs = connectTimeoutNs;
        this.keepIdleNs = idleCloseNs > 0 ? idleCloseNs / 2 : 30_000_000_000L;
    }

    /** How many connections there may be. A lower bound is come down to as exchanges end. */
    void bound(int most, int mostToOne) {
        mostOpen = most;
        mostPerTarget = mostToOne;
    }

    Target target(long id) {
        return targets.get(id);
    }

    /** A row of the route table names this address. */
    void put(long id, String host, InetSocketAddress address) {
        Target known = targets.get(id);
        if (known == null || !known.address.equals(address)) {
            remove(id);
            targets.put(id, new Target(id, host, address, keepIdleNs));
        }
    }

    void remove(long id) {
        Target t = targets.remove(id);
        if (t != null) {
            t.gone = true;
            removed.add(t);
            List.copyOf(t.idle).forEach(EgressConnection::close);
            List<Exchange> waiting = new ArrayList<>(t.queue);
            t.queue.clear();
            queued.remove(t);
            waiting.forEach(each -> {
                if (each.wanted()) {
                    each.broken(true);
                }
            });
        }
    }

    void retain(Set<Long> named) {
        for (Long id : List.copyOf(targets.keySet())) {
            if (!named.contains(id)) {
                remove(id);
            }
        }
    }

    /** Sends it on an idle connection, a new one, or when one frees. */
    void send(Target t, Exchange exchange) {
        EgressConnection idle = idle(t);
        if (idle != null) {
            t.busy.add(idle);
            if (!idle.begin(exchange)) {
                idle(idle);
            }
            return;
        }
        if (t.open >= mostPerTarget || open >= mostOpen && !closeAnIdleOne()) {
            enqueue(t, exchange);
            return;
        }
        EgressConnection fresh;
        try {
            fresh = new EgressConnection(this, t);
        } catch (IOException e) { // out of descriptors
            sendLater(t, exchange, e);
            loop.whenDescriptorFreed(descriptorFreed);
            return;
        }
        t.open++;
        open++;
        t.busy.add(fresh);
        fresh.open(exchange);
    }

    private void enqueue(Target t, Exchange exchange) {
        t.queue.add(exchange);
        queued.add(t);
    }

    /**
     * This machine is out of descriptors or ports: that says nothing of the executor, which must not be
     * doubted for it. The exchange waits, for as long as it is wanted, until a socket can be opened.
     */
    void sendLater(Target t, Exchange exchange, IOException why) {
        LOG.log(localFailures++ == 0 ? Level.WARNING : Level.DEBUG, "no socket: " + why.getMessage());
        enqueue(t, exchange);
        if (!pause.armed()) {
            pauseNs = pauseNs == 0 ? FIRST_PAUSE_NS : Math.min(2 * pauseNs, LONGEST_PAUSE_NS);
            loop.timers.set(pause, loop.now() + pauseNs);
        }
    }

    /** A connection has come up: this machine opens sockets again. */
    void connected() {
        if (localFailures > 0) {
            LOG.log(Level.INFO, "sockets again after " + localFailures + " failures");
        }
        localFailures = 0;
        pauseNs = 0;
    }

    private void descriptorFreed() {
        loop.timers.cancel(pause);
        sendQueued();
    }

    /** Sends what waits, as far as there is room for connections. */
    private void sendQueued() {
        for (Target t : List.copyOf(queued)) {
            int most = t.queue.size();
            for (int i = 0; i < most && !t.queue.isEmpty() && t.open < mostPerTarget; i++) {
                if (pause.armed() || open >= mostOpen && !closeAnIdleOne()) {
                    return; // no further target has room either
                }
                send(t, poll(t));
            }
        }
    }

    private Exchange poll(Target t) {
        Exchange next = t.queue.poll();
        if (t.queue.isEmpty()) {
            queued.remove(t);
        }
        return next;
    }

    /**
     * The idle connection used last that has rested, or null. Its peer may have closed it in this very turn,
     * and a request written to it then may have run for all that is known: so what it has said is read first.
     */
    private EgressConnection idle(Target t) {
        long now = loop.now();
        while (!t.idle.isEmpty() && now - t.idle.peekLast().lastActivity() > t.keepIdleNs) {
            t.idle.peekLast().close();
        }
        boolean full = t.open >= mostPerTarget || open >= mostOpen;
        for (EgressConnection c : List.copyOf(t.idle)) {
            if (full && c == t.idle.peekLast() || now - c.lastActivity() >= REST_NS) {
                c.catchUp();
                if (!c.closed() && t.idle.remove(c)) {
                    return c;
                }
            }
        }
        return null;
    }

    private boolean closeAnIdleOne() {
        for (Target t : targets.values()) {
            EgressConnection oldest = t.idle.pollLast();
            if (oldest != null) {
                oldest.close();
                return true;
            }
        }
        return false;
    }

    /** A connection has no exchange: the next that waits for one takes it. */
    void idle(EgressConnection c) {
        Target t = c.target();
        if (c.closed()) {
            return;
        }
        if (t.gone) {
            c.close();
            return;
        }
        for (Exchange next = poll(t); next != null; next = poll(t)) {
            if (c.begin(next)) {
                return;
            }
        }
        t.busy.remove(c);
        t.idle.addFirst(c);
        sendQueuedAtTurnEnd(); // another executor's may wait for its descriptor
    }

    /** Not within: a long queue before a dead executor would nest as deep. */
    private void sendQueuedAtTurnEnd() {
        if (!queued.isEmpty() && !sendsAtTurnEnd) {
            sendsAtTurnEnd = true;
            loop.atTurnEnd(() -> {
                sendsAtTurnEnd = false;
                if (!pause.armed()) {
                    sendQueued();
                }
            });
        }
    }

    /**
     * A connection that had stood idle broke at its next request, which may have run for all that is known:
     * those that stand so long are not used again, but closed in favour of new ones.
     */
    void shortenIdleTimeout(Target t, long stoodIdleNs) {
        if (stoodIdleNs >= LEAST_KEPT_NS) {
            t.keepIdleNs = Math.max(LEAST_KEPT_NS, Math.min(t.keepIdleNs, stoodIdleNs * 3 / 4));
            t.staleAt = loop.now();
        }
    }

    void released(EgressConnection c) {
        Target t = c.target();
        t.open--;
        open--;
        t.idle.remove(c);
        t.busy.remove(c);
        sendQueuedAtTurnEnd();
    }

    int open() {
        return open;
    }

    void sweep(long now) {
        for (Target t : targets.values()) {
            if (t.keepIdleNs < keepIdleNs && now - t.staleAt > STALE_NS) {
                t.keepIdleNs = Math.min(keepIdleNs, 2 * t.keepIdleNs);
                t.staleAt = now;
            }
            while (!t.idle.isEmpty() && now - t.idle.peekLast().lastActivity() > t.keepIdleNs) {
                t.idle.peekLast().close();
            }
            sweepBusy(t, now);
        }
        removed.removeIf(t -> t.open == 0);
        List.copyOf(removed).forEach(t -> sweepBusy(t, now));
    }

    private static void sweepBusy(Target t, long now) {
        List.copyOf(t.busy).forEach(each -> each.sweep(now, STALL_NS));
    }

    void close() {
        loop.timers.cancel(pause);
        List.copyOf(targets.keySet()).forEach(this::remove);
    }
}
