package beechseam.gearman;

import beechseam.core.Attempt;
import beechseam.core.Timer;
import beechseam.dispatch.Outcome;
import beechseam.gearman.queue.WorkerGroups.Member;

/**
 * A job that a worker holds, also once nobody waits for it any more: only the worker can end that. The time
 * limit that the worker gave for the function ends the attempt, not the run.
 */
final class HeldJob {
    final Attempt attempt;
    final GearmanFunction function;
    /** In nanoseconds of the host's clock. */
    final long startedAtNs;
    /** It has reported an exception; unless it says otherwise that was the end. */
    boolean exceptionReported;

    private Timer timeLimit;

    HeldJob(Attempt attempt, GearmanFunction function, long startedAtNs) {
        this.attempt = attempt;
        this.function = function;
        this.startedAtNs = startedAtNs;
    }

    /** Ends the attempt after so many nanoseconds; the worker may still run it. */
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

    /** Reports the share of the work that its job's last WORK_STATUS gave, where that is a share. */
    void reportProgress() {
        GearmanJob job = GearmanFunction.job(attempt);
        try {
            double share = Double.parseDouble(job.numerator) / Double.parseDouble(job.denominator);
            if (share >= 0 && share <= 1) {
                function.engine().attemptProgressed(attempt, share);
            }
        } catch (NumberFormatException e) {
            // by the protocol it is for the clients, whatever it says
        }
    }
}
