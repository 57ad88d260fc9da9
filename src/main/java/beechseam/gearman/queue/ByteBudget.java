package beechseam.gearman.queue;

/**
 * The bytes that workloads and results may take together. A quarter is reserved for results: if queued workloads
 * could take the whole budget, no result could be received, and the queue would never drain. A workload or result
 * of any size is admitted when no other of its kind is stored, since a budget smaller than one packet would
 * otherwise reject it forever.
 */
public final class ByteBudget {
    private final long maxWorkloadBytes;
    private final long maxResultBytes;
    private long workloadBytes;
    private long resultBytes;

    /** @param maxBytes size of the whole budget in bytes */
    public ByteBudget(long maxBytes) {
        maxResultBytes = maxBytes / 4;
        maxWorkloadBytes = maxBytes - maxResultBytes;
    }

    /**
     * Reserves bytes for a workload until {@link #releaseWorkload}; false when the budget is exhausted, or nearly so
     * and the client holds much of it (see {@link DynamicThreshold}).
     */
    public boolean reserveWorkload(Submitter submitter, long bytes) {
        long free = maxWorkloadBytes - workloadBytes;
        boolean allowed = bytes <= free && DynamicThreshold.allows(submitter.reservedBytes(), bytes, free);
        if (workloadBytes > 0 && !allowed) {
            return false;
        }
        workloadBytes += bytes;
        submitter.changeReservedBytes(bytes);
        return true;
    }

    /** Releases the bytes of a workload whose job has ended, which are reserved for {@code submitter}. */
    public void releaseWorkload(Submitter submitter, long bytes) {
        workloadBytes -= bytes;
        submitter.changeReservedBytes(-bytes);
    }

    /**
     * Reserves bytes for a worker's packet to clients until {@link #releaseResult}; false when the budget is
     * exhausted.
     *
     * @param unreadBytes bytes that are buffered for clients that have not read them; they count as well
     */
    public boolean reserveResult(long bytes, long unreadBytes) {
        if (resultBytes + unreadBytes > 0 && resultBytes + unreadBytes + bytes > maxResultBytes) {
            return false;
        }
        resultBytes += bytes;
        return true;
    }

    /**
     * Whether packets to clients take their whole share of the budget.
     *
     * @param unreadBytes bytes that are buffered for clients that have not read them
     */
    public boolean resultsExhausted(long unreadBytes) {
        return resultBytes + unreadBytes > maxResultBytes;
    }

    /** Releases the bytes of a packet that has been forwarded to clients. */
    public void releaseResult(long bytes) {
        resultBytes -= bytes;
    }

    /** Bytes that are reserved for workloads now. */
    public long workloadBytes() {
        return workloadBytes;
    }

    /** Bytes that are reserved for workers' packets to clients now. */
    public long resultBytes() {
        return resultBytes;
    }

    /** The most bytes that may be reserved for workloads. */
    public long maxWorkloadBytes() {
        return maxWorkloadBytes;
    }
}
