package beechseam.fleet.membership;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

/** Tests the time-out of a suspicion, which follows Lifeguard's formula. */
class SuspicionTest {
    private static final long STARTED_NS = 100;
    private static final long MIN_TIMEOUT_NS = 1_000;
    private static final long MAX_TIMEOUT_NS = 6_000;
    private static final int EXPECTED_CONFIRMATIONS = 3;

    private final Timers timers = new Timers(STARTED_NS);
    private int timeouts;

    private Suspicion start(int expectedConfirmations, long maxTimeoutNs) {
        Suspicion suspicion = new Suspicion("first", STARTED_NS, MIN_TIMEOUT_NS, maxTimeoutNs, expectedConfirmations);
        suspicion.start(timers, () -> timeouts++);
        return suspicion;
    }

    private void runUntil(long atNs) {
        timers.advanceTo(atNs);
        timers.runDue();
    }

    @Test
    void oneAccuserWaitsForTheMaximumTimeout() {
        start(EXPECTED_CONFIRMATIONS, MAX_TIMEOUT_NS);
        runUntil(STARTED_NS + MAX_TIMEOUT_NS - 1);
        assertEquals(0, timeouts);
        runUntil(STARTED_NS + MAX_TIMEOUT_NS);
        assertEquals(1, timeouts);
    }

    @Test
    void confirmationsShortenTheTimeoutByTheLogarithmOfTheirNumber() {
        Suspicion suspicion = start(EXPECTED_CONFIRMATIONS, MAX_TIMEOUT_NS);
        assertTrue(suspicion.confirm("second", timers));
        assertEquals(
                STARTED_NS + 3_500, suspicion.deadlineNs(), "log 2 / log 4 = 1/2 of the way from maximum to minimum");
        assertEquals(STARTED_NS + 3_500, timers.nextDueNs());
        assertTrue(suspicion.confirm("third", timers));
        assertEquals(STARTED_NS + 2_037, suspicion.deadlineNs(), "log 3 / log 4 of the way from maximum to minimum");
        assertTrue(suspicion.confirm("fourth", timers));
        assertEquals(STARTED_NS + MIN_TIMEOUT_NS, suspicion.deadlineNs());
        runUntil(STARTED_NS + MAX_TIMEOUT_NS);
        assertEquals(1, timeouts, "the earlier deadlines must be cancelled");
    }

    @Test
    void eachAccuserCountsOnceAndNoMoreThanExpected() {
        Suspicion suspicion = start(1, MAX_TIMEOUT_NS);
        assertFalse(suspicion.confirm("first", timers));
        assertTrue(suspicion.confirm("second", timers));
        assertFalse(suspicion.confirm("third", timers));
        assertEquals(STARTED_NS + MIN_TIMEOUT_NS, timers.nextDueNs());
    }

    @Test
    void confirmationAfterTheShortenedDeadlineTimesOutImmediately() {
        Suspicion suspicion = start(1, MAX_TIMEOUT_NS);
        runUntil(STARTED_NS + 4_000);
        assertTrue(suspicion.confirm("second", timers));
        assertEquals(STARTED_NS + 4_000, timers.nextDueNs());
    }

    @Test
    void pauseOfThisProcessExtendsTheTimeout() {
        Suspicion suspicion = start(EXPECTED_CONFIRMATIONS, MAX_TIMEOUT_NS);
        suspicion.extend(500, STARTED_NS + 2_000, timers);
        assertEquals(STARTED_NS + MAX_TIMEOUT_NS + 500, timers.nextDueNs());
        suspicion.extend(9_000, STARTED_NS + 12_000, timers);
        assertEquals(
                STARTED_NS + 12_000 + 9_000,
                timers.nextDueNs(),
                "at least the length of the pause remains after the pause");
    }

    @Test
    void cancelledSuspicionDoesNotTimeOut() {
        start(EXPECTED_CONFIRMATIONS, MAX_TIMEOUT_NS).cancel();
        assertEquals(Long.MAX_VALUE, timers.nextDueNs());
        runUntil(STARTED_NS + 2 * MAX_TIMEOUT_NS);
        assertEquals(0, timeouts);
    }
}
