package beechseam.net;

/**
 * Exponential backoff for a local operation that fails: each pause is twice the previous one, up to a limit. A success
 * resets the backoff to the first pause. Failures and pauses are counted separately, since several calls may fail
 * within one pause. Not thread-safe: each instance is used by one event loop.
 */
public final class RetryBackoff {
    private static final long FIRST_SOCKET_PAUSE_NS = 10_000_000L;
    /** Short compared with the time-outs of clients. */
    private static final long MAX_SOCKET_PAUSE_NS = 160_000_000L;

    private final long firstPauseNs;
    private final long maxPauseNs;
    private long pauseNs;
    private long failures;

    /**
     * Creates a backoff with no failure counted.
     *
     * @param firstPauseNs the pause after the first failure, in nanoseconds, above 0
     * @param maxPauseNs the longest pause, in nanoseconds, at least {@code firstPauseNs}
     */
    public RetryBackoff(long firstPauseNs, long maxPauseNs) {
        this.firstPauseNs = firstPauseNs;
        this.maxPauseNs = maxPauseNs;
    }

    /** A backoff of 10 to 160 ms, for sockets that cannot be opened or accepted for lack of descriptors or ports. */
    public static RetryBackoff forSockets() {
        return new RetryBackoff(FIRST_SOCKET_PAUSE_NS, MAX_SOCKET_PAUSE_NS);
    }

    /** Counts a failure; returns whether it is the first since the last success. The pause does not change. */
    public boolean recordFailure() {
        failures++;
        return failures == 1;
    }

    /** Advances to the next pause and returns it, in nanoseconds. */
    public long nextPauseNs() {
        pauseNs = pauseNs == 0 ? firstPauseNs : Math.min(2 * pauseNs, maxPauseNs);
        return pauseNs;
    }

    /** Returns the current pause, in nanoseconds; 0 before the first call of {@link #nextPauseNs} or after a reset. */
    public long pauseNs() {
        return pauseNs;
    }

    /** Resets the backoff after a success; returns the number of failures counted before it. */
    public long recordSuccess() {
        long counted = failures;
        failures = 0;
        pauseNs = 0;
        return counted;
    }
}
