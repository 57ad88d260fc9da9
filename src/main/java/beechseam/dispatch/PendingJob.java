package beechseam.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * A job from its arrival until it is answered and has no attempt in flight. Its times are computed once, on arrival,
 * and all are by the host's clock, in nanoseconds.
 */
final class PendingJob {
    final Job job;
    final JobClass jobClass;
    final ClassRunTimes runTimes;
    /** The larger of its slot demand and its memory demand, in slots of a worker. */
    final double requiredSlots;

    final long arrivedAt;
    final long clientDeadlineAt;
    /** End of its latency objective. */
    final long objectiveAt;
    /** Latest start that is expected to meet the latency objective. */
    final long latestStart;

    final double expectedRunNs;
    final List<Attempt> attempts = new ArrayList<>(1);
    int inFlight;
    boolean answered;
    boolean streaming;

    /** The run times of the class must already include the job's budget: {@link ClassRunTimes#recordBudget}. */
    PendingJob(long now, Job job, ClassRunTimes runTimes) {
        this.job = job;
        this.runTimes = runTimes;
        jobClass = runTimes.jobClass;
        requiredSlots = Math.max(job.slots(), job.memory());
        arrivedAt = now;
        clientDeadlineAt = now + job.budgetNs();
        // The objective runs from the client's first attempt. If clients do not mark retries, a budget below the
        // longest seen indicates a retry. If they do, an unmarked job with a short budget is a first attempt with an
        // early deadline; treated as a retry, it would be late on arrival.
        double elapsed = job.firstAttempt() ? 0 : runTimes.longestBudgetNs - job.budgetNs();
        expectedRunNs = Math.exp(runTimes.expectedLog(job));
        double objective =
                Math.min(jobClass.latencyObjectiveNs() + jobClass.stretch() * expectedRunNs - elapsed, job.budgetNs());
        objectiveAt = now + (long) objective;
        latestStart = (long) (objectiveAt - expectedRunNs);
    }

    /** The first attempt that may have run, including one still in flight, or null. */
    Attempt firstThatMayHaveRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }

    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** The attempt with this number, or null if it does not exist or has ended. */
    Attempt openAttempt(int number) {
        return number < 0 || number >= attempts.size() || attempts.get(number).ended ? null : attempts.get(number);
    }
}
