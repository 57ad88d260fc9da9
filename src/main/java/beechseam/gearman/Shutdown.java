package beechseam.gearman;

import beechseam.core.Timer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stops a server in two phases. Jobs that clients wait for may finish until a deadline; then the connections get a
 * short time to read their last answers. A timer checks the progress, since both phases depend on the peers.
 */
final class Shutdown {
    private static final Logger LOG = System.getLogger(GearmanServer.class.getName());
    private static final long CHECK_INTERVAL_NS = 20_000_000L;
    /** Time that peers have to read their last answers. */
    private static final long FINAL_READ_TIMEOUT_NS = 1_000_000_000L;

    private final GearmanServer server;
    private boolean stopping;
    private long deadlineNs;
    private boolean closing;
    private Runnable onRequest = () -> {};
    /** Run once when the server has stopped; null until the shutdown begins. */
    private Runnable onStopped;

    Shutdown(GearmanServer server) {
        this.server = server;
    }

    boolean stopping() {
        return stopping;
    }

    /** Sets the action that runs on an operator's shutdown command. */
    void onRequest(Runnable action) {
        onRequest = action;
    }

    /**
     * Handles an operator's shutdown command. Without {@code graceful}, the deadline for jobs is only one check
     * interval away.
     */
    void request(boolean graceful) {
        LOG.log(Level.INFO, "shutdown requested source=admin graceful=" + graceful);
        if (!graceful) {
            deadlineNs = server.loop.now() + CHECK_INTERVAL_NS;
        }
        server.loop.post(onRequest);
    }

    /** Starts the shutdown; {@code done} is called once all connections are closed. A second call has no effect. */
    void stop(Runnable done) {
        if (stopping) {
            return;
        }
        stopping = true;
        onStopped = done;
        deadlineNs = deadlineNs > 0
                ? deadlineNs
                : server.loop.now() + server.config.turns().stopWithinNs();
        dropJobs(false);
        advance();
    }

    private void advance() {
        long now = server.loop.now();
        if (now >= deadlineNs && server.jobs.size() > 0) {
            dropJobs(true);
        }
        if (server.jobs.size() == 0 && !closing) {
            closing = true;
            deadlineNs = now + FINAL_READ_TIMEOUT_NS;
            server.closeWhenWritten();
        }
        if (closing && (server.connections().isEmpty() || now >= deadlineNs)) {
            server.closeNow();
            onStopped.run();
            return;
        }
        server.loop.timers.set(
                new Timer() {
                    @Override
                    protected void fire() {
                        advance();
                    }
                },
                now + CHECK_INTERVAL_NS);
    }

    /**
     * Drops queued jobs that no client waits for. With {@code all}, also drops running jobs that none waits for, and
     * answers the clients of the remaining jobs.
     */
    private void dropJobs(boolean all) {
        Map<String, Integer> dropped = new TreeMap<>();
        for (GearmanJob job : new ArrayList<>(server.jobs.all())) {
            boolean awaited = job.clientCount() > 0;
            if (job.hasEnded() || !all && (awaited || job.running())) {
                continue;
            }
            if (!job.isWanted()) { // its clients left while a worker ran it
                server.abandon(job, Jobs.End.LEFT);
            } else if (!awaited) {
                dropped.merge(job.function.name, 1, Integer::sum);
                server.abandon(job, Jobs.End.LOST);
            } else if (job.placed) { // a worker may have run it
                GearmanServer.withdrawAndEnd(job, () -> job.failed(job.request, "the server is stopping"));
            } else {
                GearmanServer.withdrawAndEnd(
                        job, () -> job.shed(job.request, server.config.limits().maxRetryAfterNs()));
            }
        }
        dropped.forEach((name, count) -> LOG.log(
                Level.WARNING,
                "background jobs dropped function=" + name + " count=" + count + " reason="
                        + (all ? "not_ended" : "not_run")));
    }
}
