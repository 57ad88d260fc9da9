package beechseam.gearman.queue;

/**
 * Admission control of new jobs. The rejection names the bound that was reached, so that the client can tell
 * which one it was. An accepted job is never dropped to admit another. O(1).
 */
public final class Admission {
    /** Why a submission is rejected: an error code for programs and a reason for people. */
    public record Rejection(String code, String reason) {}

    /** The bounds on the number of jobs, of the server and of one client. */
    public record Limits(int maxJobs, int maxJobsPerClient) {}

    private final Limits limits;

    /** @param limits bounds that apply to all functions together */
    public Admission(Limits limits) {
        this.limits = limits;
    }

    /**
     * Checks a new job against all bounds. Returns the rejection, or null if the job is admitted; its bytes are
     * then reserved.
     *
     * @param jobs       jobs of the whole server that have not ended
     * @param submitter  the client, for which an admitted job's bytes are reserved
     * @param queues     queues of the function
     * @param level      level of the job; 0 is the most urgent
     * @param bytes      size of its workload
     * @param budget     budget from which an admitted job's bytes are reserved
     */
    public Rejection check(
            int jobs, Submitter submitter, PriorityQueues<?> queues, int level, long bytes, ByteBudget budget) {
        int clientJobs = submitter.openJobs();
        if (jobs >= limits.maxJobs()) {
            return new Rejection("QUEUE_FULL", "max_jobs: this server holds " + jobs + " jobs, the most it may");
        }
        if (!DynamicThreshold.allows(clientJobs, 1, limits.maxJobs() - jobs)) {
            return new Rejection(
                    "QUEUE_FULL",
                    "max_jobs: this connection has " + clientJobs + " of the " + jobs
                            + " jobs on this server, which leaves the rest to others");
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
        if (!budget.reserveWorkload(submitter, bytes)) {
            return memoryLimit(submitter, budget);
        }
        return null;
    }

    /**
     * Checks whether a function may be created. Returns the rejection, or null if it may.
     *
     * @param functions    functions that exist
     * @param maxFunctions the most that may
     * @param creator      the client that named it first; null if a worker or an operator did
     */
    public static Rejection checkFunction(int functions, int maxFunctions, Submitter creator) {
        if (functions >= maxFunctions) {
            return new Rejection(
                    "FUNCTION_LIMIT", "max_functions: " + functions + " functions are alive, the most that may");
        }
        if (creator != null
                && !DynamicThreshold.allows(creator.createdFunctions(), 1, (long) maxFunctions - functions)) {
            return new Rejection(
                    "FUNCTION_LIMIT",
                    "max_functions: " + functions + " functions are alive, of which this connection named "
                            + creator.createdFunctions() + ", which leaves the rest to others");
        }
        return null;
    }

    /** The rejection of whatever no bytes could be reserved for. */
    public static Rejection memoryLimit(Submitter submitter, ByteBudget budget) {
        return new Rejection(
                "MEMORY_LIMIT",
                "max_memory_mb: workloads hold " + budget.workloadBytes() + " bytes of " + budget.maxWorkloadBytes()
                        + ", those of this connection " + submitter.reservedBytes());
    }
}
