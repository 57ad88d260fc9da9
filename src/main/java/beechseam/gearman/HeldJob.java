package beechseam.gearman;

import beechseam.core.Attempt;
import beechseam.core.Timer;
import beechseam.dispatch.Outcome;
import beechseam.gearman.queue.WorkerGroups.Member;

/**
 * A job that a worker holds, even after its last client has left, since only the worker can end the run. The time
 * limit that the worker set for the function ends the attempt, not the run.
 */
final class HeldJob {
    final Attempt attempt;
    final GearmanFunction function;
    /** In nanoseconds of the host's clock. */
    final long startedAtNs;
    /** Whether the worker reported an exception; without a later result the job has then failed. */
    boolean exceptionReported;

    private Timer timeLimit;

    HeldJob(Attempt attempt, GearmanFunction function, long startedAtNs) {
        this.attempt = attempt;
        this.function = function;
        this.startedAtNs = startedAtNs;
    }

    /** Ends the attempt as timed out after {@code limitNs} nanoseconds; the worker may still run the job. */
    void startTimeLimit(Member<WorkerSession> member, long limitNs) {
        timeLimit = new Timer() {
            @Override
            protected void fire() {
                timeLimit = null;
                if (!attempt.hasEnded()) {
                    function.workers.recordOutcome(member, Outcome.TIMEOUT, 0);
                    function.workers.attemptEnded(attempt, Outcome.TIMEOUT, null, null);
                }
            }
        };
        function.server.loop.timers.set(timeLimit, function.server.loop.now() + limitNs);
    }

    void cancelTimeLimit() {
        if (timeLimit != null) {
            function.server.loop.timers.cancel(timeLimit);
            timeLimit = null;
        }
    }

    /** Reports the progress from the job's last WORK_STATUS if it is a fraction from 0 to 1. */
    void reportProgress() {
        GearmanJob job = GearmanFunction.job(attempt);
        try {
            double share = Double.parseDouble(job.numerator()) / Double.parseDouble(job.denominator());
            if (share >= 0 && share <= 1) {
                function.engine().attemptProgressed(attempt, share);
            }
        } catch (NumberFormatException e) {
            // The protocol allows any text in WORK_STATUS; the clients get it, the engine does not.
        }
    }
}
