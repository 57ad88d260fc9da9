package beechseam.gearman.queue;

/**
 * Whether a new job is taken in. Each bound has a name of its own, so that who is turned away can tell which
 * it was; a job once taken is never dropped for another. O(1).
 */
public final class Admission {
    /** A bound that a submission is past: a code for programs and words for people. */
    public record Refusal(String code, String why) {}

    /** The bounds, each a number of jobs. */
    public record Limits(int jobs, int perClient) {}

    private final Limits limits;

    public Admission(Limits limits) {
        this.limits = limits;
    }

    /**
     * Null where the job may come in.
     *
     * @param jobs     jobs that are held in all
     * @param ofClient jobs that this client has open
     * @param line     the function's lines
     * @param level    of the job's priority
     * @param bytes    of its workload
     * @param budget   of bytes; taken from where the answer is null
     */
    public Refusal check(int jobs, int ofClient, JobLines<?> line, int level, long bytes, ByteBudget budget) {
        if (jobs >= limits.jobs()) {
            return new Refusal("QUEUE_FULL", "max_jobs: this server holds " + jobs + " jobs, the most it may");
        }
        if (ofClient >= limits.perClient()) {
            return new Refusal(
                    "CLIENT_LIMIT",
                    "max_jobs_per_client: this connection has " + ofClient + " jobs open, the most it may");
        }
        if (line.full(level)) {
            return new Refusal(
                    "QUEUE_FULL",
                    "maxqueue: " + line.waitingWith(level)
                            + " jobs of this function and priority wait, the most that may");
        }
        if (!budget.takeJob(bytes)) {
            return new Refusal(
                    "MEMORY_LIMIT",
                    "max_memory_mb: workloads hold " + budget.jobs() + " bytes of " + budget.mostJobs());
        }
        return null;
    }
}
