package beechseam.dispatch;

import java.util.List;
import java.util.Random;

/**
 * Decides which worker runs each job, by speed-scaled least-loaded dispatch (eLL). The host reports {@link
 * DispatchEvents}; the dispatcher responds with {@link DispatchActions}. {@link WorkerSelector} chooses the worker for
 * a job. If all workers exceed the reject threshold, the job is queued while its latency objective can still be met,
 * then shed.
 *
 * <p>This class passes each event to the policies and estimators that it concerns, in a fixed order. It is
 * single-threaded, reads no clock and does no I/O: the same events, seed and settings produce the same actions. The
 * design is described in docs/DESIGN.md.
 */
public final class Dispatcher implements DispatchEvents {
    private static final long TICK_TIMER = 1;

    private final DispatchContext context;
    private final DispatchActions actions;
    private final FleetModel fleet;
    private final RetryPolicy retries;
    private final HedgingPolicy hedging;
    private final WorkerSelector selector;
    private final JobLifecycle jobs;
    private final HealthChecker healthChecker;
    private final DiscoveryWatch discovery;
    private final StatusLog statusLog;
    private final LearnedStateTransfer learnedState;
    private boolean ticking;

    /**
     * Creates a dispatcher without workers. It requests the endpoint list at once if {@link
     * DispatchSettings#pollsEndpoints} is set.
     *
     * @param now      the time by the host's clock, in nanoseconds
     * @param settings the settings, fixed for the life of this dispatcher
     * @param seed     the seed of all random draws
     * @param actions  carries out the dispatcher's actions; called from within the event methods
     */
    public Dispatcher(long now, DispatchSettings settings, long seed, DispatchActions actions) {
        this.actions = actions;
        context = new DispatchContext(now, settings);
        Random random = new Random(seed);
        fleet = FleetModel.create(context, random);
        AdmissionPolicy admission = new AdmissionPolicy(fleet);
        retries = new RetryPolicy(context);
        hedging = new HedgingPolicy(context, retries, fleet.outliers());
        selector = new WorkerSelector(fleet, retries, admission, random);
        statusLog = new StatusLog(fleet, actions);
        jobs = new JobLifecycle(
                fleet, new JobLifecycle.Policies(selector, admission, retries, hedging), statusLog, actions);
        healthChecker = new HealthChecker(fleet, actions);
        discovery = new DiscoveryWatch(context, actions);
        learnedState = new LearnedStateTransfer(fleet);
        if (settings.pollsEndpoints()) {
            actions.watchEndpoints();
        }
    }

    @Override
    public void jobArrived(long now, Job job) {
        context.now = now;
        ClassRunTimes classRunTimes = fleet.runTimes().classes()[job.jobClass()];
        classRunTimes.recordBudget(job.budgetNs());
        PendingJob pending = new PendingJob(now, job, classRunTimes);
        fleet.runTimes().recordArrival(pending);
        fleet.transferCost().recordArrival(pending.jobClass);
        retries.recordArrival();
        hedging.recordArrival();
        healthChecker.recordArrival();
        jobs.add(pending);
        startTicking();
        jobs.resolve(pending);
    }

    @Override
    public void attemptStarted(long now, long job, int number) {
        context.now = now;
        Attempt attempt = jobs.openAttempt(job, number);
        if (attempt == null) {
            return;
        }
        attempt.startedAt = now;
        attempt.lastProgressAt = now;
        fleet.loads().recordStart(attempt);
        fleet.outliers().recordStart(attempt);
        jobs.cancelWaitingAttempts(attempt.job);
    }

    @Override
    public void attemptProgressed(long now, long job, int number, double done) {
        context.now = now;
        Attempt attempt = jobs.openAttempt(job, number);
        if (attempt != null && now > attempt.lastProgressAt) {
            fleet.outliers().recordProgress(attempt, done);
        }
    }

    @Override
    public void streamingStarted(long now, long job, int number) {
        context.now = now;
        Attempt attempt = jobs.openAttempt(job, number);
        if (attempt != null) {
            attempt.job.streaming = true;
            jobs.cancelAttempts(attempt.job, attempt);
        }
    }

    @Override
    public void barWorker(long now, long job, int number) {
        context.now = now;
        Attempt attempt = jobs.openAttempt(job, number);
        if (attempt != null) {
            attempt.barsWorker = true;
        }
    }

    @Override
    public void attemptEnded(long now, long jobId, int number, Outcome outcome, boolean closed, LoadReport load) {
        context.now = now;
        Attempt attempt = jobs.openAttempt(jobId, number);
        if (attempt == null) {
            return;
        }
        PendingJob job = attempt.job;
        WorkerState worker = attempt.worker;
        attempt.ended = true;
        attempt.neverRan = outcome.neverRan() && !(outcome == Outcome.REJECTED && context.rules.rejectionMayHaveRun());
        job.inFlight--;
        worker.inFlight.remove(attempt);
        fleet.loads().recordInFlight(worker, -job.requiredSlots);
        fleet.transferCost().recordEnd(worker, load != null || outcome == Outcome.SERVED);
        selector.recordEnd(worker);
        fleet.loads().applyLoadReport(worker, load);
        job.answered |= closed;
        recordOutcome(attempt, outcome);
        if (job.answered) {
            jobs.cancelAttempts(job, null);
        }
        jobs.resolve(job);
        jobs.dispatchQueue();
    }

    private void recordOutcome(Attempt attempt, Outcome outcome) {
        WorkerState worker = attempt.worker;
        switch (outcome) {
            case SERVED -> {
                recordRun(attempt);
                fleet.outliers().recordSuccess(worker);
            }
            case ERROR, LOST, UNREACHABLE -> fleet.outliers().recordFailure(worker);
            case REJECTED -> {
                fleet.loads().recordRejection(worker);
                fleet.outliers().recordRejection(worker);
            }
            case TIMEOUT, CANCELLED, NOT_SENT -> {
                // no evidence about the worker
            }
        }
    }

    /** Records the run time scaled to a warm worker, since worker selection accounts for slow start separately. */
    private void recordRun(Attempt attempt) {
        long from = attempt.hasStarted() ? attempt.startedAt : attempt.sentAt;
        double capacity = fleet.slowStart().slowStartCapacity(attempt.worker, from);
        fleet.runTimes().recordRun(attempt, Math.max(1, (context.now - from) * capacity));
    }

    @Override
    public void clientDisconnected(long now, long jobId) {
        context.now = now;
        PendingJob job = jobs.job(jobId);
        if (job != null) {
            jobs.abandon(job);
        }
    }

    private void startTicking() {
        if (!ticking) {
            ticking = true;
            actions.scheduleTimer(context.tickNs, TICK_TIMER);
        }
    }

    @Override
    public void timerFired(long now, long tag) {
        context.now = now;
        if (tag == DiscoveryWatch.TIMER) {
            discovery.retry();
        } else {
            tick();
        }
    }

    private void tick() {
        ticking = false;
        fleet.table().refresh(context.shortestObjectiveNs);
        healthChecker.sendDueHealthChecks();
        jobs.checkAttempts();
        jobs.expireQueue();
        jobs.dispatchQueue();
        statusLog.logIfDegraded(jobs.queued(), discovery.hasFailed());
        if (!jobs.isIdle()) {
            startTicking();
        }
    }

    @Override
    public void endpointsUpdated(long now, EndpointUpdate update, List<WorkerEndpoint> entries) {
        context.now = now;
        if (update == EndpointUpdate.FAILED) {
            discovery.recordFailure();
            return;
        }
        if (update != EndpointUpdate.CACHED) {
            discovery.recordSuccess();
        }
        fleet.table().applyEndpointUpdate(update, entries);
        jobs.dispatchQueue();
    }

    @Override
    public void healthCheckCompleted(long now, long workerId, boolean answered, LoadReport load) {
        context.now = now;
        WorkerState worker = fleet.table().get(workerId);
        if (worker != null) {
            healthChecker.recordResult(worker, answered, load);
        }
    }

    /** Whether the worker is ready but usually not selected because of its suspicion; false for an unknown worker. */
    public boolean isEjected(long now, long workerId) {
        context.now = now;
        WorkerState worker = fleet.table().get(workerId);
        return worker != null && fleet.outliers().isEjected(worker);
    }

    /**
     * The latest time at which this attempt may begin if it retries an attempt of a keyed job that may have run, by the
     * host's clock in nanoseconds; otherwise {@link Long#MAX_VALUE}. The host checks it again before it sends the
     * attempt, which may have waited for a connection.
     */
    public long retryDeadline(long job, int number) {
        return RetryPolicy.retryDeadline(jobs.job(job), number);
    }

    /**
     * Exports what was learned, for the dispatcher of the successor process. For one overload window afterwards this
     * dispatcher sends nothing to workers that are warming up.
     */
    public LearnedState exportLearnedState(long now) {
        context.now = now;
        return learnedState.exportState();
    }

    /** Imports what another dispatcher has learned; entries that are missing or malformed leave the state unchanged. */
    public void importLearnedState(long now, LearnedState state) {
        context.now = now;
        learnedState.importState(state);
    }
}
