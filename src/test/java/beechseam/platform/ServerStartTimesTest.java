package beechseam.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beechseam.config.MemberList.Server;
import beechseam.dispatch.EndpointState;
import java.net.InetSocketAddress;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts on the steady clock while the wall clocks of the lists and of the node are stepped. */
class ServerStartTimesTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1000 * MS;
    private static final long LONG = ServerStartTimes.CLOSE_NS + 5 * S;

    /** The node's clocks; the lists are dated by {@code listMs}. */
    private long now = 500 * S;

    private long nodeStepMs;
    private long listStepMs;
    private final ServerStartTimes times = new ServerStartTimes(() -> now, () -> now / MS + nodeStepMs);

    private static Server server(String id, long startedMs) {
        return new Server(id, "", new InetSocketAddress(1), "a", "k", 0, EndpointState.READY, 1, startedMs);
    }

    private long listed(String id, long startedMs) {
        times.begin(false);
        return times.of(server(id, startedMs));
    }

    private long date() {
        return now / MS + listStepMs;
    }

    @Test
    void theFirstListOfAProcessIsDatedByTheWallClock() {
        times.begin(true);
        assertEquals(now - 3 * S, times.of(server("a", date() - 3000)));
        assertEquals(now, times.of(server("b", date() + 3_600_000)), "ahead: it may have started just now");
        assertEquals(0, times.of(server("c", 0)), "long ago");
        assertEquals(now - 3 * S, listed("a", date() - 3000), "as held");
        assertEquals(now - 2 * S, times.of(server("d", date() - 2000)), "on the same list");
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1500, 0, 1500, 3_600_000})
    void aStartBetweenTwoCloseListsIsNowWhateverItsDateSays(long stepMs) {
        listed("a", 0);
        now += S;
        listStepMs = stepMs;
        long date = date() - 400;
        long first = now;
        assertEquals(first, listed("a", date));
        assertEquals(first, listed("new", date), "and so is one that was not listed");
        now += S;
        nodeStepMs = stepMs;
        assertEquals(first, listed("a", date), "the same date is the same start");
        now += S;
        assertEquals(now, listed("a", date + 1), "a second restart");
    }

    @Test
    void afterALongGapADateWithinItCounts() {
        listed("a", 0);
        long before = now;
        now += LONG;
        long at = now - 2 * S;
        assertEquals(at, listed("a", at / MS));
        now += LONG;
        assertEquals(now, listed("b", before / MS), "it was not listed then");
    }

    @ParameterizedTest
    @ValueSource(longs = {-3_600_000, -1000, 1000, 3_600_000})
    void afterALongGapInWhichTheClockWasSteppedNoDateCounts(long stepMs) {
        listed("a", 0);
        now += LONG;
        nodeStepMs = stepMs;
        assertEquals(now, listed("a", date() - 4000));
        now += LONG;
        assertEquals(now - 2 * S, listed("a", now / MS + stepMs - 2000), "stepped alike, and for good");
    }

    @Test
    void whatIsNotListedIsForgotten() {
        listed("a", 5);
        now += S;
        times.retain(Set.of("b"));
        assertEquals(now, listed("a", 5));
    }

    @Test
    void noDateOverflows() {
        assertEquals(now, listed("a", Long.MAX_VALUE));
    }

    @Test
    void aDateBeforeTheSteadyClocksZeroIsLongAgo() {
        assertEquals(1, listed("a", 1 - 3_600_000), "and not 0, which stands for no date");
    }
}
