package beechseam.dispatch;

import static beechseam.dispatch.DispatchFixture.MS;
import static beechseam.dispatch.DispatchFixture.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Settings: at most three attempts, a latency objective of 400 ms and an idempotency window of 2 s. */
class RetryPolicyTest {
    private DispatchFixture fixture;
    private RetryPolicy retries;
    private WorkerState worker;
    private PendingJob job;

    private void setUp(Idempotency idempotency, DeduplicationScope scope) {
        fixture = DispatchFixture.of(idempotency, scope);
        retries = new RetryPolicy(fixture.context);
        worker = fixture.worker(1, "z1", 0);
        job = fixture.job(1);
    }

    @Test
    void budgetGrowsByATenthForEachArrivalUpToItsMaximum() {
        setUp(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        assertTrue(retries.hasBudget());
        retries.spend();
        assertFalse(retries.hasBudget());
        for (int i = 0; i < 1000; i++) {
            retries.recordArrival();
        }
        for (int i = 0; i < 20; i++) {
            assertTrue(retries.hasBudget(), "after " + i);
            retries.spend();
        }
        assertFalse(retries.hasBudget());
    }

    @Test
    void nonIdempotentJobIsRetriedOnlyIfItNeverRan() {
        setUp(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
        fixture.end(fixture.attempt(job, worker), true);
        assertTrue(retries.mayAttempt(job));
        assertFalse(retries.isCharged(job));
        fixture.end(fixture.attempt(job, worker), false);
        assertFalse(retries.mayAttempt(job));
    }

    @Test
    void attemptsAreLimitedByCountAndBudget() {
        setUp(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        fixture.end(fixture.attempt(job, worker), false);
        assertTrue(retries.mayAttempt(job));
        assertTrue(retries.isCharged(job));
        retries.spend();
        assertFalse(retries.mayAttempt(job), "no budget");
        PendingJob other = fixture.job(2);
        for (int i = 0; i < 3; i++) {
            assertTrue(retries.mayAttempt(other));
            fixture.end(fixture.attempt(other, worker), true);
        }
        assertFalse(retries.mayAttempt(other), "three attempts");
    }

    @Test
    void workerIsSkippedWhileInFlightBarredOrRecent() {
        setUp(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
        assertFalse(retries.attemptedRecently(job, worker));
        Attempt attempt = fixture.attempt(job, worker);
        fixture.context.now += S;
        assertTrue(retries.attemptedRecently(job, worker), "in flight");
        assertFalse(retries.attemptedRecently(job, fixture.worker(2, "z1", 0)));
        fixture.end(attempt, false);
        assertFalse(retries.attemptedRecently(job, worker));
        fixture.context.now -= S - 399 * MS;
        assertTrue(retries.attemptedRecently(job, worker), "ended, sent 399 ms ago");
        attempt.barsWorker = true;
        fixture.context.now += 100 * S;
        assertTrue(retries.attemptedRecently(job, worker), "a bar does not expire");
    }

    @Test
    void keyedRetryStaysInScopeUntilATickBeforeTheWindowEnds() {
        setUp(Idempotency.KEYED, DeduplicationScope.ZONE);
        WorkerState sameZone = fixture.worker(2, "z1", 0);
        WorkerState otherZone = fixture.worker(3, "z2", 0);
        assertTrue(retries.deduplicationScopeAllows(job, otherZone), "no attempt may have run");
        Attempt first = fixture.attempt(job, worker);
        fixture.end(first, false);
        assertTrue(retries.deduplicationScopeAllows(job, sameZone));
        assertFalse(retries.deduplicationScopeAllows(job, otherZone));
        assertEquals(first.sentAt + 2 * S, RetryPolicy.retryDeadline(job, 1));
        assertEquals(Long.MAX_VALUE, RetryPolicy.retryDeadline(job, 0), "the first attempt is no retry");
        assertEquals(Long.MAX_VALUE, RetryPolicy.retryDeadline(null, 1), "the job is unknown");
        fixture.context.now = first.sentAt + 2 * S - fixture.context.tickNs;
        assertTrue(retries.deduplicationScopeAllows(job, sameZone));
        fixture.context.now++;
        assertFalse(retries.deduplicationScopeAllows(job, sameZone));
    }

    @Test
    void scopeOfAllWorkersAllowsAnyZone() {
        setUp(Idempotency.KEYED, DeduplicationScope.ALL);
        fixture.end(fixture.attempt(job, worker), false);
        assertTrue(retries.deduplicationScopeAllows(job, fixture.worker(3, "z2", 0)));
    }

    @Test
    void scopeOfACellRequiresZoneAndCell() {
        setUp(Idempotency.KEYED, DeduplicationScope.CELL);
        fixture.end(fixture.attempt(job, worker), false);
        assertTrue(retries.deduplicationScopeAllows(job, fixture.worker(2, "z1", 0)));
        assertFalse(retries.deduplicationScopeAllows(job, fixture.worker(3, "z2", 0)), "cell 0 of another zone");
    }
}
