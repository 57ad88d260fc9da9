package beechseam.dispatch;

/**
 * What all parts of one dispatcher share: its settings, what follows from them, and the time of the event that is
 * being handled. The parts have no clock; {@link Dispatcher} sets the time first thing in each event.
 */
final class DispatchContext {
    /** Of up to so many dispatchers each can tell by reports and own sends what the others do; of more, less. */
    static final double MOST_VISIBLE_DISPATCHERS = 8;
    /** How far back own sends are remembered to date a report; no report is taken to be older. */
    static final double HISTORY_NS = 4e9;

    /** The tick is this part of the shortest latency objective, and no shorter than a least. */
    static final long MIN_TICK_NS = 20_000_000L;

    private static final int TICKS_PER_OBJECTIVE = 8;

    final DispatchSettings settings;
    final DispatchLimits limits;
    final WorkerRules rules;
    /** Which part of all dispatchers' sends this one can account for, from 0 to 1. */
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
        visibleFraction =
                visible * visible; // its own sends are one part of all, its own answers one part of the reports
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
