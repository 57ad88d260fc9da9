package beechseam.dispatch;

/** Retries a failed watch of the endpoint list with exponential backoff, up to a limit set by the rules. */
final class DiscoveryWatch {
    /** Tag of the timer of a retry. */
    static final long TIMER = 2;
    /** The longest backoff is the limit on the poll interval of discovery, divided by this. */
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

    /** Whether the latest call to discovery failed and has not been retried yet. */
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

    /** Handles the timer of {@link #recordFailure}; does nothing if an update has arrived in the meantime. */
    void retry() {
        if (failed) {
            failed = false;
            actions.watchEndpoints();
        }
    }
}
