package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.core.Timer;
import beechseam.net.TimerQueue;
import beechseam.platform.RouteTableFreshness.State;
import org.junit.jupiter.api.Test;

/** Freshness of the route table in virtual time, also in a process that stalls. */
class RouteTableFreshnessTest {
    private static final long MILLISECOND = 1_000_000L;
    private static final long STALL = 150 * MILLISECOND;
    private static final long RESPONSE_TIMEOUT = 1000 * MILLISECOND;
    private static final long HEARTBEAT = STALL / 2;

    private final TimerQueue timers = new TimerQueue();
    private long now = 77_000 * MILLISECOND;
    private long callStartedAt = now;
    private int recheckCount;
    private int openCount;
    private final RouteTableFreshness freshness =
            new RouteTableFreshness(() -> now, timers, STALL, RESPONSE_TIMEOUT, this::readUnread, () -> {
                recheckCount++;
                callStartedAt = now;
            });
    /** Action of the next read of the sockets; null if nothing is unread. */
    private Runnable unread;

    RouteTableFreshnessTest() {
        freshness.onOpen(() -> openCount++);
        freshness.start();
    }

    private boolean readUnread() {
        if (unread == null) {
            return false;
        }
        Runnable reading = unread;
        unread = null;
        reading.run();
        return true;
    }

    /** Advances the clock without a stall. */
    private void run(long durationNs) {
        long end = now + durationNs;
        for (Timer due = timers.due(end); due != null; due = timers.due(end)) {
            now = Math.max(now, due.due());
            due.run();
        }
        now = end;
    }

    /** Stops the process for this time, then fires the timers that are due. */
    private void stall(long durationNs) {
        now += durationNs;
        for (Timer due = timers.due(now); due != null; due = timers.due(now)) {
            due.run();
        }
    }

    private void confirm() {
        freshness.onResponse(callStartedAt, 0);
        assertEquals(State.CONFIRMED, freshness.state());
    }

    @Test
    void closedFromStartUntilFirstResponse() {
        assertFalse(freshness.open() || freshness.hasOpened());
        run(20 * MILLISECOND);
        assertFalse(freshness.open());
        assertTrue(freshness.onResponse(callStartedAt, 0));
        assertTrue(freshness.open() && freshness.hasOpened());
        assertEquals(1, openCount);
        assertEquals(0, freshness.opensWithinNs());
    }

    @Test
    void opensUnconfirmedAfterResponseTimeout() {
        run(RESPONSE_TIMEOUT - MILLISECOND);
        assertFalse(freshness.open());
        assertTrue(freshness.opensWithinNs() <= HEARTBEAT);
        run(HEARTBEAT);
        assertEquals(State.UNCONFIRMED, freshness.state());
        assertTrue(freshness.open());
        assertEquals(1, openCount);
        assertTrue(freshness.onResponse(callStartedAt, 0));
        assertEquals(State.CONFIRMED, freshness.state());
        assertEquals(1, openCount, "the gate was already open");
    }

    /** Time in which the process did not run does not count, since it could not read a response then. */
    @Test
    void responseTimeoutDoesNotElapseDuringStall() {
        stall(10 * RESPONSE_TIMEOUT);
        assertFalse(freshness.open());
        for (int i = 0; i < 5; i++) {
            stall(400 * MILLISECOND);
            assertFalse(freshness.open());
        }
        run(RESPONSE_TIMEOUT);
        assertTrue(freshness.open());
    }

    /** The response is still unread in the socket when the timeout expires. */
    @Test
    void unreadResponseIsReadBeforeTimeout() {
        run(RESPONSE_TIMEOUT - 10 * MILLISECOND);
        unread = () -> assertTrue(freshness.onResponse(now - 10 * MILLISECOND, 0));
        run(HEARTBEAT);
        assertEquals(State.CONFIRMED, freshness.state());
    }

    /** An idle process does not count as stalled. */
    @Test
    void staysOpenWithoutStall() {
        confirm();
        for (int i = 0; i < 10_000; i++) {
            run(3 * MILLISECOND);
            assertTrue(freshness.open());
        }
        assertEquals(0, recheckCount);
    }

    @Test
    void closesAfterStallUntilResponseToLaterCall() {
        confirm();
        run(500 * MILLISECOND);
        now += STALL + MILLISECOND; // a stall, after which a request is handled first
        assertFalse(freshness.open());
        assertEquals(1, recheckCount);
        assertFalse(
                freshness.onResponse(callStartedAt - 400 * MILLISECOND, 0),
                "a response to a call from before the stall");
        assertFalse(freshness.open());
        now += MILLISECOND;
        assertTrue(freshness.onResponse(callStartedAt, 0));
        assertTrue(freshness.open());
    }

    /** A list that was unread during the stall is applied, but later changes are unknown. */
    @Test
    void responseUnreadDuringStallDoesNotConfirm() {
        confirm();
        run(500 * MILLISECOND);
        unread = () -> {
            assertFalse(freshness.open(), "the gate stays closed during the read");
            assertFalse(freshness.onResponse(now - 2000 * MILLISECOND, 0));
        };
        stall(1000 * MILLISECOND);
        assertNull(unread);
        assertFalse(freshness.open());
        assertEquals(1, recheckCount);
        assertTrue(freshness.onResponse(callStartedAt, 0));
    }

    /** The loop reads discovery's socket before any timer or request checks the gate. */
    @Test
    void responseReadAfterStallDoesNotConfirm() {
        confirm();
        run(500 * MILLISECOND);
        now += 1000 * MILLISECOND;
        assertFalse(freshness.onResponse(now - 1200 * MILLISECOND, 0));
        assertFalse(freshness.open());
        assertTrue(freshness.onResponse(now, 0));
    }

    /** A long list on a slow connection does not confirm the table before changes during its transfer are known. */
    @Test
    void slowlyReceivedListDoesNotConfirm() {
        run(900 * MILLISECOND);
        assertFalse(freshness.onResponse(callStartedAt, now - STALL - 1));
        assertFalse(freshness.open());
        callStartedAt = now;
        run(STALL);
        assertTrue(freshness.onResponse(callStartedAt, now - STALL));
    }

    /** During an outage of discovery the cached list stays in use after a stall of the process. */
    @Test
    void staysOpenAfterStallDuringDiscoveryOutage() {
        run(2 * RESPONSE_TIMEOUT);
        assertEquals(State.UNCONFIRMED, freshness.state());
        stall(1000 * MILLISECOND);
        assertTrue(freshness.open());
        assertEquals(0, recheckCount);
        unread = () -> {}; // discovery recovers: part of a response, of unknown age
        stall(1000 * MILLISECOND);
        assertFalse(freshness.open());
        assertEquals(1, recheckCount);
    }

    @Test
    void addressChangeClosesAndRestartsResponseTimeout() {
        confirm();
        run(300 * MILLISECOND);
        long earlierCallAt = callStartedAt;
        freshness.addressChanged();
        callStartedAt = now;
        assertFalse(freshness.open());
        assertFalse(freshness.onResponse(earlierCallAt, 0));
        assertEquals(RESPONSE_TIMEOUT, freshness.opensWithinNs());
        run(RESPONSE_TIMEOUT - HEARTBEAT);
        assertFalse(freshness.open());
        assertTrue(freshness.opensWithinNs() <= 2 * HEARTBEAT);
        freshness.addressChanged();
        assertEquals(RESPONSE_TIMEOUT, freshness.opensWithinNs());
        assertFalse(freshness.onResponse(now - RESPONSE_TIMEOUT, 0));
    }

    @Test
    void stopCancelsHeartbeat() {
        freshness.stop();
        assertNull(timers.due(Long.MAX_VALUE));
    }
}
