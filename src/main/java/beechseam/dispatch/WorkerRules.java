package beechseam.dispatch;

/**
 * The rules for draining and for workers that have just started.
 *
 * @param drainGraceNs        how long after a worker was listed as draining an attempt may still reach it,
 *     in nanoseconds
 * @param pollIntervalLimitNs the longest time between two polls of discovery, in nanoseconds
 * @param initialCapacity     the share of its capacity that a worker has at its start
 * @param slowStartNs         how long a worker takes to warm up, in nanoseconds
 * @param overloadFactor      how many times its capacity overloads a worker that is warming up
 * @param overloadWindowNs    the time over which that is counted, in nanoseconds
 * @param rejectionMayHaveRun whether a worker may answer {@link Outcome#REJECTED} for work that it had begun, so that
 *                            this outcome proves nothing
 */
public record WorkerRules(
        long drainGraceNs,
        long pollIntervalLimitNs,
        double initialCapacity,
        long slowStartNs,
        double overloadFactor,
        long overloadWindowNs,
        boolean rejectionMayHaveRun) {}
