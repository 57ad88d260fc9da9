package beechseam.dispatch;

/** Asks for the endpoint list again after a failure, at intervals that double up to a limit of the rules. */
final class DiscoveryWatch {
    /** Tag of the timer after which the list is asked for again. */
    static final long TIMER = 2;
    /** The longest interval is this part of the longest that polls of discovery may be apart. */
    private static final int RETRIES_PER_LIMIT = 4;

    private final DispatchContext context;
    private final DispatchActions actions;
    private boolean failed;
    private long backoffNs;

    DiscoveryWatch(DispatchContext context, DispatchActions actions) {
        this.context = context;
        this.actions = actions;
        backoffNs = context.shortestObjectiveNs;
    }

    /** Whether the latest call to discovery failed and was not repeated yet. */
    boolean hasFailed() {
        return failed;
    }

    void recordFailure() {
        failed = true;
        backoffNs = Math.min(2 * backoffNs, context.rules.pollIntervalLimitNs() / RETRIES_PER_LIMIT);
        actions.scheduleTimer(backoffNs, TIMER);
    }

    void recordSuccess() {
        failed = false;
        backoffNs = context.shortestObjectiveNs;
    }

    /** The timer of {@link #recordFailure} is due; an update may have come in meanwhile. */
    void retry() {
        if (failed) {
            failed = false;
            actions.watchEndpoints();
        }
    }
}
