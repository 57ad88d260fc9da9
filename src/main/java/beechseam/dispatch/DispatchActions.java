package beechseam.dispatch;

/** What a dispatcher can do. Attempts of a job are numbered from 0 in the order of {@code send}. */
public interface DispatchActions {
    /** Sends an attempt; {@code timeoutNs} is how long it may take, in nanoseconds, 0 for no limit of its own. */
    void send(long job, long worker, long timeoutNs);

    /** Cancels an attempt; its end is still owed to {@link DispatchEvents#attemptEnded}. */
    void cancel(long job, int attempt);

    /** Final answer: not done, and harmless to retry after {@code retryAfterNs} nanoseconds (0: no advice). */
    void shed(long job, long retryAfterNs);

    /** Final answer: failed, with no promise about its effect. */
    void fail(long job);

    /** Asks a worker for its load; {@link DispatchEvents#healthCheckCompleted} is owed once. */
    void healthCheck(long worker);

    /** Has {@link DispatchEvents#timerFired} called with the tag after so many nanoseconds. */
    void scheduleTimer(long delayNs, long tag);

    /** Asks for the endpoint list and its changes. */
    void watchEndpoints();

    /** Writes a line to the log. */
    void log(String text);
}
