package beechseam.dispatch;

import java.util.List;
import java.util.Random;

/** The estimators and policies of a dispatcher without the dispatcher; tests set the time and add the workers. */
final class DispatchFixture {
    static final long MS = DispatcherHarness.MS;
    static final long S = DispatcherHarness.S;

    final DispatchContext context;
    final FleetModel fleet;

    DispatchFixture(DispatchSettings settings) {
        context = new DispatchContext(100 * S, settings);
        fleet = FleetModel.create(context, new Random(7));
    }

    static DispatchFixture of(Idempotency idempotency, DeduplicationScope scope) {
        return new DispatchFixture(DispatcherHarness.settings(DispatcherHarness.of(idempotency, scope)));
    }

    /** Adds a worker in cell 0 of the zone that started at this time, in nanoseconds, or long ago (0). */
    WorkerState worker(long id, String zone, long startedNs) {
        WorkerEndpoint entry = DispatcherHarness.worker(id, zone, startedNs, EndpointState.READY);
        fleet.table().applyEndpointUpdate(EndpointUpdate.DELTA, List.of(entry));
        return fleet.table().get(id);
    }

    /** A job of class 0 that requires one slot. */
    PendingJob job(long id) {
        Job job = new Job(id, 0, 4 * S, 0, 1, 0);
        return new PendingJob(context.now, job, fleet.runTimes().classes()[0]);
    }

    /** Records an attempt that is sent now. */
    Attempt attempt(PendingJob job, WorkerState worker) {
        Attempt attempt = new Attempt(job, worker, context.now, true);
        job.attempts.add(attempt);
        job.inFlight++;
        worker.inFlight.add(attempt);
        fleet.loads().recordInFlight(worker, job.requiredSlots);
        return attempt;
    }

    /** Records that the attempt ends now. */
    void end(Attempt attempt, boolean neverRan) {
        attempt.ended = true;
        attempt.neverRan = neverRan;
        attempt.job.inFlight--;
        attempt.worker.inFlight.remove(attempt);
        fleet.loads().recordInFlight(attempt.worker, -attempt.job.requiredSlots);
    }
}
