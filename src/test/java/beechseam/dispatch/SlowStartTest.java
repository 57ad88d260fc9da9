package beechseam.dispatch;

import static beechseam.dispatch.DispatchFixture.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Rules of the harness: capacity grows from a quarter to all of it in 8 s, and a warming worker is overloaded by 3
 * times its capacity within a window of 1 s.
 */
class SlowStartTest {
    private final DispatchFixture fixture = DispatchFixture.of(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private final SlowStart slowStart = fixture.fleet.slowStart();

    @Test
    void capacityGrowsLinearlyFromTheInitialShare() {
        long start = fixture.context.now;
        WorkerState worker = fixture.worker(1, "z1", start);
        assertEquals(0.25, slowStart.slowStartCapacity(worker), 1e-12);
        assertEquals(0.625, slowStart.slowStartCapacity(worker, start + 4 * S), 1e-12);
        assertEquals(1, slowStart.slowStartCapacity(worker, start + 8 * S), 1e-12);
        assertEquals(1, slowStart.slowStartCapacity(worker, start + 80 * S), 1e-12);
        assertEquals(0.25, slowStart.slowStartCapacity(worker, start - S), 1e-12, "before its start");
        assertEquals(1, slowStart.slowStartCapacity(fixture.worker(2, "z1", 0)), 1e-12, "started long ago");
    }

    @Test
    void warmsUpUntilAWindowAfterFullCapacity() {
        WorkerState worker = fixture.worker(1, "z1", fixture.context.now);
        assertTrue(slowStart.isWarmingUp(worker));
        fixture.context.now += 9 * S - 1;
        assertTrue(slowStart.isWarmingUp(worker));
        fixture.context.now += 1;
        assertFalse(slowStart.isWarmingUp(worker));
        assertFalse(slowStart.isWarmingUp(fixture.worker(2, "z1", 0)));
    }

    @Test
    void budgetIsSpentBySendsAndFreedAfterAWindow() {
        fixture.context.now += S;
        WorkerState worker = fixture.worker(1, "z1", fixture.context.now);
        int sent = 0;
        while (slowStart.slowStartBudgetAllows(worker, fixture.job(sent))) {
            slowStart.recordSend(worker, fixture.job(sent));
            sent++;
            assertTrue(sent < 100, "the budget is limited");
        }
        // Two slots at a quarter of capacity for 1 s, times factor 3, of which half is used, allow 0.75 s of work; a
        // job is charged as 1.25 times 0.4 s.
        assertEquals(1, sent);
        fixture.context.now += S - 1;
        assertFalse(slowStart.slowStartBudgetAllows(worker, fixture.job(50)));
        fixture.context.now += 1;
        assertTrue(slowStart.slowStartBudgetAllows(worker, fixture.job(51)));
    }

    @Test
    void budgetIsClosedWhileEarlierSendsAreUnknown() {
        WorkerState worker = fixture.worker(1, "z1", fixture.context.now);
        assertFalse(
                slowStart.slowStartBudgetAllows(worker, fixture.job(1)),
                "an earlier process may have sent jobs to the worker");
        slowStart.adoptSends();
        assertTrue(
                slowStart.slowStartBudgetAllows(worker, fixture.job(1)),
                "the earlier process has handed over its record of sends");
        slowStart.releaseSends();
        assertFalse(
                slowStart.slowStartBudgetAllows(worker, fixture.job(1)), "another process may send to the worker now");
        assertTrue(
                slowStart.slowStartBudgetAllows(fixture.worker(2, "z1", 0), fixture.job(1)),
                "a warm worker is not limited by the budget");
    }
}
