package beechseam.gearman.queue;

/**
 * The bytes that workloads and results may take together. Of the whole, a quarter is kept for what workers
 * say: a queue of workloads that fills everything would shut out the results that empty it. One packet of the
 * greatest size is let through whenever nothing else of its kind is held, else a small budget would shut it
 * out for good.
 */
public final class ByteBudget {
    private final long maxWorkloadBytes;
    private final long maxResultBytes;
    private long workloadBytes;
    private long resultBytes;

    /** @param maxBytes bytes in all */
    public ByteBudget(long maxBytes) {
        maxResultBytes = maxBytes / 4;
        maxWorkloadBytes = maxBytes - maxResultBytes;
    }

    /** Room for a workload, held until {@link #releaseWorkload}; false when there is none. */
    public boolean reserveWorkload(long bytes) {
        if (workloadBytes > 0 && workloadBytes + bytes > maxWorkloadBytes) {
            return false;
        }
        workloadBytes += bytes;
        return true;
    }

    /** Gives back the bytes of a workload that has ended. */
    public void releaseWorkload(long bytes) {
        workloadBytes -= bytes;
    }

    /**
     * Room for something on its way to clients, held until {@link #releaseResult}.
     *
     * @param unreadBytes bytes that clients have been sent and have not read yet: they count, too
     */
    public boolean reserveResult(long bytes, long unreadBytes) {
        if (resultBytes + unreadBytes > 0 && resultBytes + unreadBytes + bytes > maxResultBytes) {
            return false;
        }
        resultBytes += bytes;
        return true;
    }

    /** Gives back the bytes of something that clients have been sent. */
    public void releaseResult(long bytes) {
        resultBytes -= bytes;
    }

    /** Bytes that workloads hold now. */
    public long workloadBytes() {
        return workloadBytes;
    }

    /** Bytes reserved on their way to clients. */
    public long resultBytes() {
        return resultBytes;
    }

    /** The most bytes that workloads may hold together. */
    public long maxWorkloadBytes() {
        return maxWorkloadBytes;
    }
}
