package beechseam.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beechseam.config.MemberList.Server;
import beechseam.dispatch.EndpointState;
import java.net.InetSocketAddress;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Start times on the steady clock when the wall clocks of discovery and of the node are stepped. */
class ServerStartTimesTest {
    private static final long MILLISECOND = 1_000_000L;
    private static final long SECOND = 1000 * MILLISECOND;
    private static final long LONG_GAP = ServerStartTimes.MAX_CONSECUTIVE_GAP_NS + 5 * SECOND;

    /** The node's steady clock. Its wall clock adds {@code nodeStepMs}, the one of lists {@code listStepMs}. */
    private long now = 500 * SECOND;

    private long nodeStepMs;
    private long listStepMs;
    private final ServerStartTimes times = new ServerStartTimes(() -> now, () -> now / MILLISECOND + nodeStepMs);

    private static Server server(String id, long startedMs) {
        return new Server(id, "", new InetSocketAddress(1), "a", "k", 0, EndpointState.READY, 1, startedMs);
    }

    private long listed(String id, long startedMs) {
        times.beginUpdate(false);
        return times.startedAtNs(server(id, startedMs));
    }

    private long date() {
        return now / MILLISECOND + listStepMs;
    }

    @Test
    void firstListIsDatedByWallClock() {
        times.beginUpdate(true);
        assertEquals(now - 3 * SECOND, times.startedAtNs(server("a", date() - 3000)));
        assertEquals(now, times.startedAtNs(server("b", date() + 3_600_000)), "a date in the future counts as now");
        assertEquals(0, times.startedAtNs(server("c", 0)), "long ago");
        assertEquals(now - 3 * SECOND, listed("a", date() - 3000), "the time assigned before");
        assertEquals(
                now - 2 * SECOND, times.startedAtNs(server("d", date() - 2000)), "another server on the same list");
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1500, 0, 1500, 3_600_000})
    void startBetweenConsecutiveListsIsNowWhateverItsDate(long stepMs) {
        listed("a", 0);
        now += SECOND;
        listStepMs = stepMs;
        long date = date() - 400;
        long first = now;
        assertEquals(first, listed("a", date));
        assertEquals(first, listed("new", date), "also for a server that was not listed before");
        now += SECOND;
        nodeStepMs = stepMs;
        assertEquals(first, listed("a", date), "the same date is the same start");
        now += SECOND;
        assertEquals(now, listed("a", date + 1), "a second restart");
    }

    @Test
    void dateWithinLongGapIsTrusted() {
        listed("a", 0);
        long before = now;
        now += LONG_GAP;
        long at = now - 2 * SECOND;
        assertEquals(at, listed("a", at / MILLISECOND));
        now += LONG_GAP;
        assertEquals(now, listed("b", before / MILLISECOND), "a date before the gap: the server was not listed then");
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1000, 1000, 3_600_000})
    void noDateIsTrustedAfterClockStepInLongGap(long stepMs) {
        listed("a", 0);
        now += LONG_GAP;
        nodeStepMs = stepMs;
        assertEquals(now, listed("a", date() - 4000));
        now += LONG_GAP;
        assertEquals(
                now - 2 * SECOND,
                listed("a", now / MILLISECOND + stepMs - 2000),
                "the clock has not been stepped again");
    }

    @Test
    void unlistedServerIsRemoved() {
        listed("a", 5);
        now += SECOND;
        times.retain(Set.of("b"));
        assertEquals(now, listed("a", 5));
    }

    @Test
    void latestDateDoesNotOverflow() {
        assertEquals(now, listed("a", Long.MAX_VALUE));
    }

    @Test
    void dateBeforeSteadyClockOriginIsNotZero() {
        assertEquals(1, listed("a", 1 - 3_600_000), "not 0, which means long ago");
    }
}
