package beechseam.gearman.queue;

/**
 * Admission control of new jobs. Each bound has a name of its own, so that who is turned away can tell which
 * it was; a job once taken is never dropped for another. O(1).
 */
public final class Admission {
    /** A bound that a submission is past: a code for programs and a reason for people. */
    public record Rejection(String code, String reason) {}

    /** The bounds, each a number of jobs. */
    public record Limits(int maxJobs, int maxJobsPerClient) {}

    private final Limits limits;

    /** @param limits bounds that hold for all functions together */
    public Admission(Limits limits) {
        this.limits = limits;
    }

    /**
     * The bound that rejects the job, or null where it is admitted and its bytes are reserved.
     *
     * @param jobs       jobs alive in all
     * @param clientJobs jobs that this client has open
     * @param queues     queues of the function
     * @param level      of the job, 0 the most urgent
     * @param bytes      of its workload
     * @param budget     of bytes; reserved from where the answer is null
     */
    public Rejection check(
            int jobs, int clientJobs, PriorityQueues<?> queues, int level, long bytes, ByteBudget budget) {
        if (jobs >= limits.maxJobs()) {
            return new Rejection("QUEUE_FULL", "max_jobs: this server holds " + jobs + " jobs, the most it may");
        }
        if (clientJobs >= limits.maxJobsPerClient()) {
            return new Rejection(
                    "CLIENT_LIMIT",
                    "max_jobs_per_client: this connection has " + clientJobs + " jobs open, the most it may");
        }
        if (queues.isFull(level)) {
            return new Rejection(
                    "QUEUE_FULL",
                    "maxqueue: " + queues.queuedSharingBound(level)
                            + " jobs of this function and priority wait, the most that may");
        }
        if (!budget.reserveWorkload(bytes)) {
            return new Rejection(
                    "MEMORY_LIMIT",
                    "max_memory_mb: workloads hold " + budget.workloadBytes() + " bytes of "
                            + budget.maxWorkloadBytes());
        }
        return null;
    }
}
