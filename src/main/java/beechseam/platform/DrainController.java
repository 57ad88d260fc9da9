package beechseam.platform;

import beechseam.core.Timer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Drains clients from a node: during standby, which can be reversed, and during the shutdown of its process, which
 * cannot. Both set a {@link DrainSchedule}. A timer then closes idle connections by that schedule and, during
 * shutdown, closes the node once no request and no connection is open.
 *
 * <p>During shutdown, connected clients are served as usual until shortly before the platform kills the process,
 * because the other nodes may be restarting as well and unable to take them. If a successor process accepts
 * connections, the clients are sent there at once. Every request that was read is answered before the kill.
 */
final class DrainController {
    private static final Logger LOG = System.getLogger(DrainController.class.getName());

    /**
     * The platform kills a node after SIGTERM when this time plus the longest deadline has passed; of the deadline, at
     * most {@link #MAX_COUNTED_DEADLINE_NS} counts. The last responses are sent {@link #KILL_MARGIN_NS} before the
     * kill, and clients are drained {@link #LAST_REQUEST_MARGIN_NS} before the last responses.
     */
    private static final long KILL_DELAY_NS = 700_000_000L;

    private static final long MAX_COUNTED_DEADLINE_NS = 3_000_000_000L;
    private static final long KILL_MARGIN_NS = 300_000_000L;
    private static final long LAST_REQUEST_MARGIN_NS = 1_000_000_000L;
    /** For this long after SIGTERM new connections still arrive, and a drained client could reconnect to this node. */
    private static final long NEW_CONNECTIONS_NS = 400_000_000L;

    private static final long CHECK_INTERVAL_NS = 20_000_000L;

    private final PlatformNode node;
    private DrainSchedule schedule = DrainSchedule.NONE;
    private boolean stopping;
    /** Run once the node is closed; null until the shutdown begins. */
    private Runnable onClosed;

    private final Timer check = new Timer() {
        @Override
        protected void fire() {
            check();
        }
    };

    DrainController(PlatformNode node) {
        this.node = node;
    }

    /** Whether the shutdown of the process has begun. */
    boolean stopping() {
        return stopping;
    }

    /** Whether the node is on standby and may become active again. */
    boolean standby() {
        return !stopping && schedule != DrainSchedule.NONE;
    }

    /**
     * Whether responses to clients close their connections. Without a successor process this begins only some time
     * after SIGTERM, because the other nodes may be restarting as well.
     */
    boolean isDraining() {
        return node.loop.now() >= schedule.drainsAt();
    }

    /** Whether responses on connections that have carried callbacks close these connections. */
    boolean isDrainingCallbacks() {
        return isDraining() && !schedule.sparesCallbacks();
    }

    /** Whether new jobs are shed. */
    boolean shedsNewJobs() {
        return node.loop.now() >= schedule.shedsAt();
    }

    /** Begins or ends standby and returns whether that changed anything. Must not be called during shutdown. */
    boolean setStandby(boolean on) {
        if (on == standby()) {
            return false;
        }
        schedule = on ? DrainSchedule.standby(node.loop.now()) : DrainSchedule.NONE;
        LOG.log(Level.INFO, on ? "standby on" : "standby off");
        check();
        return true;
    }

    /**
     * Begins the shutdown of the process; a second call has no effect.
     *
     * @param whenClosed run on the event loop once all accepted requests are answered and the node is closed
     */
    void stop(Runnable whenClosed) {
        if (stopping) {
            return;
        }
        // During standby the clients have moved to other nodes, so the drain need not wait for them.
        boolean clientsHaveLeft = standby();
        stopping = true;
        onClosed = whenClosed;
        long now = node.loop.now();
        long lastResponseNs =
                KILL_DELAY_NS + Math.min(MAX_COUNTED_DEADLINE_NS, node.longestDeadlineNs()) - KILL_MARGIN_NS;
        node.engine.answerAllBy(now + lastResponseNs);
        long serveNs = clientsHaveLeft ? 0 : Math.max(NEW_CONNECTIONS_NS, lastResponseNs - LAST_REQUEST_MARGIN_NS);
        LOG.log(Level.INFO, "shutdown started open_requests=" + node.engine.openRequests());
        drainBy(node.loop.now() + serveNs);
        // The delay lets the listener accept the connections that wait in the kernel before the first check.
        node.loop.timers.set(check, node.loop.now() + CHECK_INTERVAL_NS);
    }

    /** Updates the schedule after a successor process has appeared or ended during the shutdown. */
    void update() {
        drainBy(schedule.closesIdleAt());
    }

    /** Drains clients to a successor process now or, if none accepts them, at {@code closesIdleAt}. */
    private void drainBy(long closesIdleAt) {
        boolean handedOver = node.handOverClients();
        schedule =
                handedOver ? DrainSchedule.handOver(node.loop.now(), closesIdleAt) : DrainSchedule.stop(closesIdleAt);
    }

    /** Closes idle connections when they are due and, during shutdown, the node when it is drained. */
    private void check() {
        long now = node.loop.now();
        if (now >= schedule.closesIdleAt()) {
            node.ingress().closeIdle(now, schedule.sparesCallbacks());
        }
        if (stopping
                && isDraining()
                && node.engine.openRequests() == 0
                && node.ingress().isDrained(schedule.sparesCallbacks())) {
            node.close();
            onClosed.run();
        } else if (schedule != DrainSchedule.NONE) {
            node.loop.timers.set(check, now + CHECK_INTERVAL_NS);
        }
    }
}
