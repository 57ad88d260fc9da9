package beechseam.gearman.queue;

/**
 * What a client has submitted and the server still keeps. Jobs refer to this object and not to the client's session,
 * since a background job may outlive the connection by hours, and a connection with its decoder and buffers takes more
 * memory than the job. The queues are fair among submitters, and so are the bounds that all of them share.
 */
public final class Submitter {
    private int openJobs;
    private int createdFunctions;
    private long reservedBytes;

    /** Number of jobs that the client submitted and that have not ended, in the foreground or background. */
    public int openJobs() {
        return openJobs;
    }

    /** Bytes of the memory budget that are reserved for the client's jobs. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Records that a job of the client was accepted. */
    public void jobOpened() {
        openJobs++;
    }

    /** Records that a job of the client has ended. */
    public void jobEnded() {
        openJobs--;
    }

    /** Number of functions that exist because the client named them first. */
    public int createdFunctions() {
        return createdFunctions;
    }

    /** Records that a function exists because the client named it first. */
    public void functionCreated() {
        createdFunctions++;
    }

    /** Records that such a function was removed. */
    public void functionRemoved() {
        createdFunctions--;
    }

    /** Records that bytes were reserved, or released if {@code delta} is negative. */
    void changeReservedBytes(long delta) {
        reservedBytes += delta;
    }
}
