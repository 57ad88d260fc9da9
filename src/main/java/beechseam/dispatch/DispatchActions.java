package beechseam.dispatch;

/** The actions of a dispatcher. The attempts of a job are numbered from 0 in the order of {@code send}. */
public interface DispatchActions {
    /** Sends an attempt; {@code timeoutNs} limits its duration, in nanoseconds, 0 for no limit of its own. */
    void send(long job, long worker, long timeoutNs);

    /** Cancels an attempt; the host must still report its end by {@link DispatchEvents#attemptEnded}. */
    void cancel(long job, int attempt);

    /** Gives the final answer: not done, harmless to retry after {@code retryAfterNs} nanoseconds (0 for no advice). */
    void shed(long job, long retryAfterNs);

    /** Gives the final answer: failed, and it is unknown whether the job had an effect. */
    void fail(long job);

    /** Asks a worker for its load; the host must call {@link DispatchEvents#healthCheckCompleted} exactly once. */
    void healthCheck(long worker);

    /** Schedules a call of {@link DispatchEvents#timerFired} with the tag after {@code delayNs} nanoseconds. */
    void scheduleTimer(long delayNs, long tag);

    /** Requests the endpoint list and its changes. */
    void watchEndpoints();

    /** Writes a line to the log. */
    void log(String text);
}
