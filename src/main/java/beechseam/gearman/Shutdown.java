package beechseam.gearman;

import beechseam.core.Timer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Map;
import java.util.TreeMap;

/**
 * How a server ends, in two steps: jobs that clients wait for are answered until a deadline, then connections
 * get a moment to read their last answers. Checked by a timer, since both wait for others.
 */
final class Shutdown {
    private static final Logger LOG = System.getLogger(GearmanServer.class.getName());
    private static final long CHECK_INTERVAL_NS = 20_000_000L;
    /** Time for the last answers to be read. */
    private static final long LAST_READ_NS = 1_000_000_000L;

    private final GearmanServer server;
    private boolean stopping;
    private long deadlineNs;
    private boolean closing;
    private Runnable onRequest = () -> {};

    Shutdown(GearmanServer server) {
        this.server = server;
    }

    boolean stopping() {
        return stopping;
    }

    /** What an operator's request brings about. */
    void onRequest(Runnable action) {
        onRequest = action;
    }

    /** An operator's request; without {@code graceful} nothing is waited for. */
    void request(boolean graceful) {
        LOG.log(Level.INFO, "shutdown requested source=admin graceful=" + graceful);
        if (!graceful) {
            deadlineNs = server.loop.now() + CHECK_INTERVAL_NS;
        }
        server.loop.post(onRequest);
    }

    /** Begins, or goes on with, the end; {@code done} is called when all is closed. */
    void stop(Runnable done) {
        if (!stopping) {
            stopping = true;
            deadlineNs = deadlineNs > 0
                    ? deadlineNs
                    : server.loop.now() + server.config.turns().stopWithinNs();
            dropJobs(false);
        }
        long now = server.loop.now();
        if (now >= deadlineNs && server.jobs.size() > 0) {
            dropJobs(true);
        }
        if (server.jobs.size() == 0 && !closing) {
            closing = true;
            deadlineNs = now + LAST_READ_NS;
            server.closeWhenWritten();
        }
        if (closing && (server.connections().isEmpty() || now >= deadlineNs)) {
            server.closeNow();
            done.run();
            return;
        }
        server.loop.timers.set(
                new Timer() {
                    @Override
                    protected void fire() {
                        stop(done);
                    }
                },
                now + CHECK_INTERVAL_NS);
    }

    /** Jobs that nobody waits for and that have not begun; with {@code all}, whatever remains, answered. */
    private void dropJobs(boolean all) {
        Map<String, Integer> dropped = new TreeMap<>();
        for (GearmanJob job : new ArrayList<>(server.jobs.all())) {
            boolean awaited = job.clientCount() > 0;
            if (job.hasEnded() || !all && (awaited || job.running())) {
                continue;
            }
            if (!awaited) {
                dropped.merge(job.function.name, 1, Integer::sum);
                server.abandon(job, Jobs.End.LOST);
            } else if (job.placed) { // it may have run
                GearmanServer.giveUp(job, () -> job.failed(job.request, "the server is stopping"));
            } else {
                GearmanServer.giveUp(
                        job, () -> job.shed(job.request, server.config.limits().maxRetryAfterNs()));
            }
        }
        dropped.forEach((name, count) -> LOG.log(
                Level.WARNING,
                "background jobs dropped function=" + name + " count=" + count + " reason="
                        + (all ? "not_ended" : "not_run")));
    }
}
