package beechseam.platform;

import beechseam.core.Timer;
import beechseam.dispatch.JobClass;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Sends clients away from a node: on standby, which may be reversed, and at the planned end of its process,
 * which may not. Either sets a {@link DrainSchedule}; a timer then closes idle connections as the schedule says
 * and, at the end of the process, closes the node once nothing is open.
 *
 * <p>At the end clients that are connected are served as ever until shortly before the platform kills the
 * process, since they have nowhere to go before; or, where a successor process accepts connections, are sent
 * there at once. Every request that was read is answered before the kill.
 */
final class DrainController {
    private static final Logger LOG = System.getLogger(DrainController.class.getName());

    /**
     * The platform kills a node so long after SIGTERM and the longest deadline, which counts as
     * {@link #MAX_COUNTED_DEADLINE_NS} at most. The last responses leave {@link #KILL_MARGIN_NS} before, and
     * clients are sent away {@link #LAST_REQUEST_NS} before these.
     */
    private static final long KILL_DELAY_NS = 700_000_000L;

    private static final long MAX_COUNTED_DEADLINE_NS = 3_000_000_000L;
    private static final long KILL_MARGIN_NS = 300_000_000L;
    private static final long LAST_REQUEST_NS = 1_000_000_000L;
    /** So long after SIGTERM new connections come, and clients that are sent away could come back here. */
    private static final long NEW_CONNECTIONS_NS = 400_000_000L;

    private static final long CHECK_INTERVAL_NS = 20_000_000L;

    private final PlatformNode node;
    private DrainSchedule schedule = DrainSchedule.NONE;
    private boolean stopping;
    /** Run once the node is closed; null until the end begins. */
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

    /** Whether the planned end of the process has begun. */
    boolean stopping() {
        return stopping;
    }

    /** Whether the node is on standby and may become active again. */
    boolean standby() {
        return !stopping && schedule != DrainSchedule.NONE;
    }

    /** Whether clients are sent away: not yet at SIGTERM, for the other nodes may be restarting as well. */
    boolean isDraining() {
        return node.loop.now() >= schedule.leavesAt();
    }

    /** The same for a connection that has carried call-backs. */
    boolean isDrainingCallbacks() {
        return isDraining() && !schedule.sparesCallbacks();
    }

    /** Whether further jobs are shed. */
    boolean shedsNewJobs() {
        return node.loop.now() >= schedule.shedsAt();
    }

    /** Sets or ends standby; returns whether that changed anything. Not for a node that is stopping. */
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
     * Begins the planned end of the process; a second call changes nothing.
     *
     * @param whenClosed run on the loop once all that was taken is answered and the node is closed
     */
    void stop(Runnable whenClosed) {
        if (stopping) {
            return;
        }
        // On standby clients have found other nodes: nothing is waited for.
        boolean clientsHaveLeft = standby();
        stopping = true;
        onClosed = whenClosed;
        long now = node.loop.now();
        long lastResponseNs = KILL_DELAY_NS + Math.min(MAX_COUNTED_DEADLINE_NS, longestDeadlineNs()) - KILL_MARGIN_NS;
        node.engine.answerAllBy(now + lastResponseNs);
        long serveNs = clientsHaveLeft ? 0 : Math.max(NEW_CONNECTIONS_NS, lastResponseNs - LAST_REQUEST_NS);
        LOG.log(Level.INFO, "shutdown started open_requests=" + node.engine.openRequests());
        drainBy(node.loop.now() + serveNs);
        // By the first check the connections that wait in the kernel are accepted.
        node.loop.timers.set(check, node.loop.now() + CHECK_INTERVAL_NS);
    }

    private long longestDeadlineNs() {
        return node.options.settings.classes().stream()
                .mapToLong(JobClass::deadlineNs)
                .max()
                .orElse(0);
    }

    /** A successor has come or gone while this process ends. */
    void update() {
        drainBy(schedule.clearsAt());
    }

    /** Clients go to a successor process now or, where none accepts them, stay until {@code clearsAt}. */
    private void drainBy(long clearsAt) {
        boolean handedOver = node.handOverClients();
        schedule = handedOver ? DrainSchedule.handOver(node.loop.now(), clearsAt) : DrainSchedule.stop(clearsAt);
    }

    private void check() {
        long now = node.loop.now();
        if (now >= schedule.clearsAt()) {
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
