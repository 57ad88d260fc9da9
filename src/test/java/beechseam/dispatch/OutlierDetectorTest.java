package beechseam.dispatch;

import static beechseam.dispatch.DispatchFixture.MS;
import static beechseam.dispatch.DispatchFixture.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class OutlierDetectorTest {
    private final DispatchFixture fixture = DispatchFixture.of(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private final OutlierDetector outliers = fixture.fleet.outliers();
    private final WorkerState worker = fixture.worker(1, "z1", 0);

    @Test
    void suspicionDoublesWithFailuresUpToAMaximum() {
        assertEquals(1, outliers.suspicion(worker));
        for (double expected : new double[] {2, 4, 8, 16, 16}) {
            outliers.recordFailure(worker);
            assertEquals(expected, outliers.suspicion(worker), 1e-12);
        }
    }

    @Test
    void suspicionDecaysAndSuccessHalvesIt() {
        outliers.suspect(worker, 5);
        outliers.recordSuccess(worker);
        assertEquals(3, outliers.suspicion(worker), 1e-12);
        fixture.context.now += 4 * S;
        assertEquals(1 + 2 / Math.E, outliers.suspicion(worker), 1e-12);
    }

    @Test
    void ejectedAboveTheThresholdAndOnlyWhileReady() {
        outliers.suspect(worker, 2);
        assertFalse(outliers.isEjected(worker));
        outliers.suspect(worker, 2.1);
        assertTrue(outliers.isEjected(worker));
        fixture.fleet
                .table()
                .applyEndpointUpdate(
                        EndpointUpdate.DELTA,
                        java.util.List.of(DispatcherHarness.worker(1, "z1", 0, EndpointState.DRAINING)));
        assertFalse(outliers.isEjected(worker));
    }

    @Test
    void answeredHealthCheckHalvesHighSuspicionOnly() {
        outliers.suspect(worker, 4);
        outliers.recordHealthCheck(worker, true);
        assertEquals(4, outliers.suspicion(worker), 1e-12);
        outliers.recordHealthCheck(worker, false);
        assertEquals(6, outliers.suspicion(worker), 1e-12);
        outliers.recordHealthCheck(worker, true);
        assertEquals(3.5, outliers.suspicion(worker), 1e-12);
    }

    @Test
    void progressThatSlowsDownRaisesSuspicionByItsRatio() {
        Attempt attempt = fixture.attempt(fixture.job(1), worker);
        attempt.startedAt = fixture.context.now;
        fixture.context.now += 100 * MS;
        outliers.recordProgress(attempt, 0.4);
        assertEquals(1, outliers.suspicion(worker));
        fixture.context.now += 100 * MS;
        outliers.recordProgress(attempt, 0.5);
        assertEquals(4, outliers.suspicion(worker), 1e-9);
    }

    @Test
    void silenceOfARunIsAStallOncePastItsProgressInterval() {
        Attempt attempt = fixture.attempt(fixture.job(1), worker);
        attempt.startedAt = fixture.context.now;
        // The report is due after 1 s, and the grace time is two start lags of 20 ms plus two ticks of 50 ms.
        fixture.context.now += S + 140 * MS;
        outliers.detectStall(attempt);
        assertEquals(1, outliers.suspicion(worker));
        fixture.context.now += 140 * MS;
        outliers.detectStall(attempt);
        assertEquals(2, outliers.suspicion(worker), 1e-9);
        fixture.end(attempt, false);
        fixture.context.now += 10 * S;
        double before = outliers.suspicion(worker);
        outliers.detectStall(attempt);
        assertEquals(before, outliers.suspicion(worker), "an ended attempt changes nothing");
    }

    @Test
    void lateStartIsLoadBeforeItIsAStall() {
        Attempt attempt = fixture.attempt(fixture.job(1), worker);
        fixture.fleet.loads().everReported = true;
        fixture.context.now += 141 * MS;
        outliers.detectStall(attempt);
        assertEquals(1, outliers.suspicion(worker));
        assertEquals(
                worker.slots,
                worker.estimatedElsewhere,
                1e-9,
                "other dispatchers are estimated to use all slots of the worker");
        fixture.context.now += 20 * S;
        outliers.detectStall(attempt);
        assertTrue(outliers.suspicion(worker) > 2);
    }
}
