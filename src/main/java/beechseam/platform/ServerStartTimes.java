package beechseam.platform;

import beechseam.config.MemberList;
import beechseam.dispatch.EndpointState;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Start times of servers on the node's steady clock. Discovery dates starts by a wall clock, which may be
 * stepped at any time, on the machine that dates them as well as on the node's. Independent of any clock is
 * this: a server whose date differs from that of the previous list has started between the two lists.
 *
 * <p>Where lists are consecutive such a start is taken as now: the error is less than the gap between the
 * lists, and a server taken for younger than it is gets less work, never too much. After a longer gap, such as
 * an outage of discovery, its date is trusted if it lies within the gap and this machine's wall clock has not
 * been stepped meanwhile. The first list of a process has no baseline to compare with: a date is taken as it
 * is, and one in the future as now. A date that has not changed keeps the time first assigned to it. No I/O.
 */
final class ServerStartTimes {
    /** Largest gap between consecutive lists: that of a long poll with a response in time. */
    static final long MAX_CONSECUTIVE_GAP_NS = ListWatch.WATCH_WAIT_NS + ListWatch.RESPONSE_TIMEOUT_NS;
    /** The two clocks are not read at the same instant, and the wall clock has a resolution of milliseconds. */
    private static final long READING_TOLERANCE_NS = 20_000_000L;
    /** A slewed wall clock runs fast or slow by up to 1/2000; a larger deviation is a step. */
    private static final long SLEW_DIVISOR = 1000;

    private static final long NANOS_PER_MS = 1_000_000L;

    /** A server's start: the list's date in Unix milliseconds, and the time on the steady clock in nanoseconds. */
    private record Start(long dateMs, long startedAt) {}

    private final LongSupplier clock;
    private final LongSupplier wallClockMs;
    private final Map<String, Start> starts = new HashMap<>();
    private boolean hasBaseline;
    /** When the previous list was applied, and the offset of the wall clock from the steady clock then. */
    private long baselineAt;

    private long baselineOffsetNs;
    private long now;
    private long wallNowMs;
    private long earliestAt = Long.MIN_VALUE;
    private boolean datesTrusted;

    /**
     * @param clock the node's steady clock, in nanoseconds
     * @param wallClockMs Unix time by the machine's wall clock, in milliseconds
     */
    ServerStartTimes(LongSupplier clock, LongSupplier wallClockMs) {
        this.clock = clock;
        this.wallClockMs = wallClockMs;
    }

    /**
     * Begins the update by a list.
     *
     * @param cached whether the list is from before this process, of unknown age
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

    /** When the server started on the steady clock, in nanoseconds; 0 for long ago. */
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
        return startedAt >= earliestAt ? Math.max(1, startedAt) : now; // 0 would stand for long ago
    }

    /** Removes all servers but these, after a full list has been applied. */
    void retain(Set<String> listed) {
        starts.keySet().retainAll(listed);
    }
}
