package beechseam.gearman.queue;

/** A job as the queues see it. */
public interface QueuedJob {
    /** Whether it is still queued; a removed one is skipped when it is reached, so removal costs O(1). */
    boolean isQueued();

    /** When it was enqueued, in nanoseconds of the host's clock. */
    long enqueuedAtNs();
}
