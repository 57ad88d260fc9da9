package beechseam.gearman.queue;

/**
 * The bytes that workloads and results may take together. Of the whole, a quarter is kept for what workers
 * say: a queue of workloads that fills everything would shut out the results that empty it. One packet of the
 * greatest size is let through whenever nothing else of its kind is held, else a small budget would shut it
 * out for good.
 */
public final class ByteBudget {
    private final long mostJobs;
    private final long mostResults;
    private long jobs;
    private long results;

    /** @param most bytes in all */
    public ByteBudget(long most) {
        mostResults = most / 4;
        mostJobs = most - mostResults;
    }

    /** Room for a workload, held until {@link #releaseJob}; false when there is none. */
    public boolean takeJob(long bytes) {
        if (jobs > 0 && jobs + bytes > mostJobs) {
            return false;
        }
        jobs += bytes;
        return true;
    }

    public void releaseJob(long bytes) {
        jobs -= bytes;
    }

    /**
     * Room for something on its way to clients, held until {@link #releaseResult}.
     *
     * @param unread bytes that clients have been sent and have not read yet: they count, too
     */
    public boolean takeResult(long bytes, long unread) {
        if (results + unread > 0 && results + unread + bytes > mostResults) {
            return false;
        }
        results += bytes;
        return true;
    }

    public void releaseResult(long bytes) {
        results -= bytes;
    }

    /** Bytes that workloads hold. */
    public long jobs() {
        return jobs;
    }

    public long results() {
        return results;
    }

    public long mostJobs() {
        return mostJobs;
    }
}
