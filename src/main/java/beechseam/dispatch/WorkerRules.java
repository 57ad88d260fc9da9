package beechseam.dispatch;

/**
 * Rules of the deployment for draining workers and for workers that have just started.
 *
 * @param drainGraceNs        how long after a worker was listed as draining an attempt may still reach it,
 *                            in nanoseconds
 * @param pollIntervalLimitNs the longest time between two polls of discovery, in nanoseconds
 * @param initialCapacity     the share of its warm capacity that a worker has at its start
 * @param slowStartNs         how long a worker takes to warm up, in nanoseconds
 * @param overloadFactor      the multiple of its capacity at which a worker that is warming up is overloaded
 * @param overloadWindowNs    the window over which the work sent to such a worker is summed, in nanoseconds
 * @param rejectionMayHaveRun whether a worker may answer {@link Outcome#REJECTED} for a job that it had begun, so that
 *                            this outcome does not prove that the job has not run
 */
public record WorkerRules(
        long drainGraceNs,
        long pollIntervalLimitNs,
        double initialCapacity,
        long slowStartNs,
        double overloadFactor,
        long overloadWindowNs,
        boolean rejectionMayHaveRun) {}
