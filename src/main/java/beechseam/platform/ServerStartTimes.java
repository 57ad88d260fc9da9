package beechseam.platform;

import beechseam.config.MemberList;
import beechseam.dispatch.EndpointState;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Converts the start times of servers to the node's steady clock. Discovery reports start dates by a wall clock,
 * and both that clock and this node's wall clock may be stepped at any time. One conclusion holds independently of
 * all clocks: a server whose date differs from that in the previous list has started between the two lists.
 *
 * <p>If two lists are consecutive, such a server is assumed to have started now. The error is less than the gap
 * between the lists, and a server that is assumed younger than it is receives less work, never too much. After a
 * longer gap, such as an outage of discovery, the date is trusted if it lies within the gap and this machine's wall
 * clock has not been stepped since the previous list. The first list of a process has no previous list to compare
 * with, so its dates are trusted; a date in the future counts as now. As long as a server's date does not change, it
 * keeps the time first assigned to it. The class performs no I/O.
 */
final class ServerStartTimes {
    /** Largest gap between consecutive lists: the wait of a long poll plus its response timeout. */
    static final long MAX_CONSECUTIVE_GAP_NS = ListWatch.WATCH_WAIT_NS + ListWatch.RESPONSE_TIMEOUT_NS;
    /** Allows for reading the two clocks at different instants, and for the wall clock's resolution of 1 ms. */
    private static final long READING_TOLERANCE_NS = 20_000_000L;
    /** A slewed wall clock deviates by up to 1/2000. A deviation of more than 1/1000 counts as a step. */
    private static final long SLEW_DIVISOR = 1000;

    private static final long NANOS_PER_MS = 1_000_000L;

    /** A server's start: the date in the list, in Unix milliseconds, and the steady clock's time in nanoseconds. */
    private record Start(long dateMs, long startedAt) {}

    private final LongSupplier clock;
    private final LongSupplier wallClockMs;
    private final Map<String, Start> starts = new HashMap<>();
    private boolean hasBaseline;
    /** When the previous list was applied; {@link #baselineOffsetNs} is the wall clock's offset at that time. */
    private long baselineAt;

    private long baselineOffsetNs;
    private long now;
    private long wallNowMs;
    private long earliestAt = Long.MIN_VALUE;
    private boolean datesTrusted;

    /**
     * Creates an instance that has seen no list.
     *
     * @param clock the node's steady clock, in nanoseconds
     * @param wallClockMs Unix time by the machine's wall clock, in milliseconds
     */
    ServerStartTimes(LongSupplier clock, LongSupplier wallClockMs) {
        this.clock = clock;
        this.wallClockMs = wallClockMs;
    }

    /**
     * Begins the update by a list; called before {@link #startedAtNs} for its servers.
     *
     * @param cached whether the list was received before this process started, so that its age is unknown
     */
    void beginUpdate(boolean cached) {
        now = clock.getAsLong();
        wallNowMs = wallClockMs.getAsLong();
        long offsetNs = wallNowMs * NANOS_PER_MS - now;
        long gapNs = now - baselineAt;
        long toleranceNs = READING_TOLERANCE_NS + gapNs / SLEW_DIVISOR;
        boolean stepped = Math.abs(offsetNs - baselineOffsetNs) > toleranceNs;
        datesTrusted = !hasBaseline || gapNs > MAX_CONSECUTIVE_GAP_NS && !stepped;
        earliestAt = hasBaseline ? baselineAt : Long.MIN_VALUE;
        if (!cached) {
            hasBaseline = true;
            baselineAt = now;
            baselineOffsetNs = offsetNs;
        }
    }

    /** Returns the server's start on the steady clock, in nanoseconds; 0 if it started long ago. */
    long startedAtNs(MemberList.Server server) {
        if (server.startedMs() == 0 || server.state() == EndpointState.REMOVED) {
            starts.remove(server.id());
            return 0;
        }
        Start known = starts.get(server.id());
        if (known == null || known.dateMs() != server.startedMs()) {
            known = new Start(server.startedMs(), steadyTime(server.startedMs()));
            starts.put(server.id(), known);
        }
        return known.startedAt();
    }

    private long steadyTime(long dateMs) {
        if (!datesTrusted || dateMs > wallNowMs) {
            return now;
        }
        long startedAt = now - (wallNowMs - dateMs) * NANOS_PER_MS;
        return startedAt >= earliestAt ? Math.max(1, startedAt) : now; // 0 means long ago
    }

    /** Removes all servers except these; called after a full list has been applied. */
    void retain(Set<String> listed) {
        starts.keySet().retainAll(listed);
    }
}
