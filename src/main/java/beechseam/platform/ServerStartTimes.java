package beechseam.platform;

import beechseam.config.MemberList;
import beechseam.dispatch.EndpointState;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * When each server started, on the node's steady clock. Discovery dates starts by a wall clock, which may be
 * stepped at any time, on the machine that dates them as well as on the node's. What a list says without any
 * clock is this: a server whose date differs from the one listed before has started between the two lists.
 *
 * <p>While lists follow each other closely such a start counts as of now: that is later than it was by less
 * than the lists are apart or late, and a server taken for younger than it is gets less, never too much. Past
 * a longer gap, such as an outage of discovery, its date is believed where it lies within the gap and this
 * machine's wall clock has not been stepped meanwhile. Only the first list of a process has nothing to be
 * compared with; there a date is taken as it stands, and one that lies ahead as now. A date that has not
 * changed keeps the time that it was given first. I/O-free.
 */
final class ServerStartTimes {
    /** Lists that are no further apart follow each other closely: a watch that is answered in time. */
    static final long CLOSE_NS = ListWatch.WATCH_WAIT_NS + ListWatch.ANSWER_TIMEOUT_NS;
    /** The two clocks are not read at the same instant, and the wall clock counts in milliseconds. */
    private static final long READING_TOLERANCE_NS = 20_000_000L;
    /** A wall clock that is slewed runs fast or slow by up to a two-thousandth; a step is more. */
    private static final long SLEW_DIVISOR = 1000;

    private static final long MS = 1_000_000L;

    /** What a list said of a server's start, and when that was on the steady clock. */
    private record Start(long dateMs, long at) {}

    private final LongSupplier clock;
    private final LongSupplier wallClockMs;
    private final Map<String, Start> starts = new HashMap<>();
    private boolean confirmed;
    /** When the list before this one was taken in, and the wall clock's lead over the steady one then. */
    private long confirmedAt;

    private long confirmedLeadNs;
    private long now;
    private long wallNowMs;
    private long earliest = Long.MIN_VALUE;
    private boolean datesCount;

    /**
     * @param clock the node's steady clock, in nanoseconds
     * @param wallClockMs Unix time by the machine's wall clock, in milliseconds
     */
    ServerStartTimes(LongSupplier clock, LongSupplier wallClockMs) {
        this.clock = clock;
        this.wallClockMs = wallClockMs;
    }

    /** A list is about to be taken in; {@code held}: one from before this process, of unknown age. */
    void begin(boolean held) {
        now = clock.getAsLong();
        wallNowMs = wallClockMs.getAsLong();
        long leadNs = wallNowMs * MS - now;
        long gapNs = now - confirmedAt;
        long toleranceNs = READING_TOLERANCE_NS + gapNs / SLEW_DIVISOR;
        boolean stepped = Math.abs(leadNs - confirmedLeadNs) > toleranceNs;
        datesCount = !confirmed || gapNs > CLOSE_NS && !stepped;
        earliest = confirmed ? confirmedAt : Long.MIN_VALUE;
        if (!held) {
            confirmed = true;
            confirmedAt = now;
            confirmedLeadNs = leadNs;
        }
    }

    /** When the server started on the steady clock; 0 for long ago. */
    long of(MemberList.Server server) {
        if (server.startedMs() == 0 || server.state() == EndpointState.REMOVED) {
            starts.remove(server.id());
            return 0;
        }
        Start known = starts.get(server.id());
        if (known == null || known.dateMs() != server.startedMs()) {
            known = new Start(server.startedMs(), steadyTime(server.startedMs()));
            starts.put(server.id(), known);
        }
        return known.at();
    }

    private long steadyTime(long dateMs) {
        if (!datesCount || dateMs > wallNowMs) {
            return now;
        }
        long at = now - (wallNowMs - dateMs) * MS;
        return at >= earliest ? Math.max(1, at) : now; // 0 would stand for long ago
    }

    /** A whole list has been taken in: what it does not name is forgotten. */
    void retain(Set<String> listed) {
        starts.keySet().retainAll(listed);
    }
}
