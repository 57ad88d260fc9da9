package beechseam.net;

/**
 * Pauses between retries of an operation that fails here: each twice the one before, up to a bound. A success
 * starts again at the first pause. It counts failures apart from pauses, since several calls may fail within
 * one pause. Not thread-safe: it belongs to one event loop.
 */
public final class RetryBackoff {
    private static final long FIRST_SOCKET_PAUSE_NS = 10_000_000L;
    /** Short beside any client's patience. */
    private static final long MAX_SOCKET_PAUSE_NS = 160_000_000L;

    private final long firstPauseNs;
    private final long maxPauseNs;
    private long pauseNs;
    private long failures;

    /**
     * Creates one with no failure counted.
     *
     * @param firstPauseNs the pause after the first failure, in nanoseconds, above 0
     * @param maxPauseNs the longest pause, in nanoseconds, at least {@code firstPauseNs}
     */
    public RetryBackoff(long firstPauseNs, long maxPauseNs) {
        this.firstPauseNs = firstPauseNs;
        this.maxPauseNs = maxPauseNs;
    }

    /** For sockets that cannot be opened or accepted for want of descriptors or ports: 10 to 160 ms. */
    public static RetryBackoff forSockets() {
        return new RetryBackoff(FIRST_SOCKET_PAUSE_NS, MAX_SOCKET_PAUSE_NS);
    }

    /** Counts a failure; true for the first since the last success. The pause stays as it is. */
    public boolean recordFailure() {
        failures++;
        return failures == 1;
    }

    /** Lengthens the pause and returns it, in nanoseconds. */
    public long nextPauseNs() {
        pauseNs = pauseNs == 0 ? firstPauseNs : Math.min(2 * pauseNs, maxPauseNs);
        return pauseNs;
    }

    /** The pause that {@link #nextPauseNs} returned last, in nanoseconds; 0 where there was none. */
    public long pauseNs() {
        return pauseNs;
    }

    /** Starts again after a success; returns how many failures were counted before it, 0 for none. */
    public long recordSuccess() {
        long counted = failures;
        failures = 0;
        pauseNs = 0;
        return counted;
    }
}
