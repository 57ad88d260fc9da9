package beechseam.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * A job from its arrival until it is answered and none of its attempts is in flight. Its times are derived once, on
 * arrival; all are by the host's clock, in nanoseconds.
 */
final class PendingJob {
    final Job job;
    final JobClass jobClass;
    final ClassRunTimes runTimes;
    /** The larger of its demands for slots and for memory. */
    final double requiredSlots;

    final long arrivedAt;
    final long clientDeadlineAt;
    /** When its latency objective ends, and the latest start that is expected to meet it. */
    final long objectiveAt;

    final long latestStart;
    final double expectedRunNs;
    final List<Attempt> attempts = new ArrayList<>(1);
    int inFlight;
    boolean answered;
    boolean streaming;

    /** The run times of the class know the job's budget already: {@link ClassRunTimes#recordBudget}. */
    PendingJob(long now, Job job, ClassRunTimes runTimes) {
        this.job = job;
        this.runTimes = runTimes;
        jobClass = runTimes.jobClass;
        requiredSlots = Math.max(job.slots(), job.memory());
        arrivedAt = now;
        clientDeadlineAt = now + job.budgetNs();
        // The objective runs from the client's first attempt. Where retries are not marked, a shorter budget shows one;
        // where they are, it shows an impatient client: taken for a retry its job would be late at once.
        double elapsed = job.firstAttempt() ? 0 : runTimes.longestBudgetNs - job.budgetNs();
        expectedRunNs = Math.exp(runTimes.expectedLog(job));
        double objective =
                Math.min(jobClass.latencyObjectiveNs() + jobClass.stretch() * expectedRunNs - elapsed, job.budgetNs());
        objectiveAt = now + (long) objective;
        latestStart = (long) (objectiveAt - expectedRunNs);
    }

    /** The first attempt that may have run or is still in flight, or null. */
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

    /** The attempt of this number, or null when there is none or it has ended. */
    Attempt openAttempt(int number) {
        return number < 0 || number >= attempts.size() || attempts.get(number).ended ? null : attempts.get(number);
    }
}
