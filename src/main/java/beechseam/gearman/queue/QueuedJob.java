package beechseam.gearman.queue;

/** The view of a job that the queues need. */
public interface QueuedJob {
    /** Whether the job is still queued; queues skip a removed job when they reach it, so removal is O(1). */
    boolean isQueued();

    /** When the job was enqueued, in nanoseconds of the host's clock. */
    long enqueuedAtNs();
}
