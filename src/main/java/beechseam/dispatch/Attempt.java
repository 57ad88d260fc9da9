package beechseam.dispatch;

/** One attempt of a job at one worker, from its send to its end. */
final class Attempt {
    /** Value of {@link #startedAt} until the worker reports the start. */
    private static final long NOT_STARTED = -1;

    final PendingJob job;
    final WorkerState worker;
    /** Its number among the attempts of the job, from 0. */
    final int number;

    /** Times by the host's clock, in nanoseconds; the last is when it was last known to make progress. */
    final long sentAt;

    long startedAt = NOT_STARTED;
    long lastProgressAt;

    /** The latest reported progress, from 0 to 1, and the fastest progress seen, a nanosecond. */
    double progress;

    double bestProgressRate;
    /** Whether the worker was estimated to have enough free slots for it when it was sent. */
    final boolean foundSlotsAvailable;

    boolean cancelled;
    boolean ended;
    boolean neverRan;
    boolean barsWorker;

    Attempt(PendingJob job, WorkerState worker, long sentAt, boolean foundSlotsAvailable) {
        this.job = job;
        this.worker = worker;
        this.number = job.attempts.size();
        this.sentAt = sentAt;
        this.lastProgressAt = sentAt;
        this.foundSlotsAvailable = foundSlotsAvailable;
    }

    boolean hasStarted() {
        return startedAt >= 0;
    }
}
