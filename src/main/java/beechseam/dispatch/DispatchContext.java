package beechseam.dispatch;

/**
 * The state that all parts of one dispatcher share: its settings, values derived from them, and the time of the event
 * being handled. The parts read no clock; {@link Dispatcher} sets the time at the start of each event.
 */
final class DispatchContext {
    /** Up to this many dispatchers can each infer all sends from load reports and own sends; more see only a part. */
    static final double MOST_VISIBLE_DISPATCHERS = 8;
    /** How long own sends are remembered to date a load report; no report is assumed to be older. */
    static final double HISTORY_NS = 4e9;

    /** Minimum length of the tick. */
    static final long MIN_TICK_NS = 20_000_000L;

    /** Number of ticks in the shortest latency objective. */
    private static final int TICKS_PER_OBJECTIVE = 8;

    final DispatchSettings settings;
    final DispatchLimits limits;
    final WorkerRules rules;
    /** Fraction of all dispatchers' sends that this one can account for, from 0 to 1. */
    final double visibleFraction;

    final long shortestObjectiveNs;
    final long tickNs;
    /** Time of the event being handled, by the host's clock, in nanoseconds. */
    long now;

    DispatchContext(long now, DispatchSettings settings) {
        this.now = now;
        this.settings = settings;
        limits = settings.limits();
        rules = settings.rules();
        double visible = Math.min(1, MOST_VISIBLE_DISPATCHERS / Math.max(1, settings.dispatcherCount()));
        // Squared: own sends are a fraction of all sends, and the reports in own answers a fraction of all reports.
        visibleFraction = visible * visible;
        long shortest = Long.MAX_VALUE;
        for (JobClass jobClass : settings.classes()) {
            shortest = Math.min(shortest, Math.max(jobClass.latencyObjectiveNs(), MIN_TICK_NS));
        }
        shortestObjectiveNs = settings.classes().isEmpty() ? MIN_TICK_NS * TICKS_PER_OBJECTIVE : shortest;
        tickNs = Math.max(MIN_TICK_NS, shortestObjectiveNs / TICKS_PER_OBJECTIVE);
    }

    /** Whether so few dispatchers share the workers that each can account for all sends. */
    boolean seesAllSends() {
        return visibleFraction == 1;
    }

    boolean isLocal(WorkerState worker) {
        return worker.endpoint.zone().equals(settings.zone());
    }
}
