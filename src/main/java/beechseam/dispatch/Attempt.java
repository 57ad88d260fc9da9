package beechseam.dispatch;

/** One attempt of a job at one worker, from its send to its end. */
final class Attempt {
    /** Value of {@link #startedAt} until the worker reports the start. */
    private static final long NOT_STARTED = -1;

    final PendingJob job;
    final WorkerState worker;
    /** Its number among the attempts of the job, from 0. */
    final int number;

    /** Time of the send. Like all times here it is by the host's clock, in nanoseconds. */
    final long sentAt;

    long startedAt = NOT_STARTED;
    /** Time of the latest known progress; at first the time of the send. */
    long lastProgressAt;

    /** Latest reported progress, from 0 to 1. */
    double progress;
    /** Highest rate of progress seen, per nanosecond. */
    double bestProgressRate;
    /** Whether the worker was estimated to have enough free slots for it when it was sent. */
    final boolean foundSlotsAvailable;

    boolean cancelled;
    boolean ended;
    /** Whether it is certain that the worker did not run the job. */
    boolean neverRan;
    /** Whether the worker must get no further attempt of the job. */
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
