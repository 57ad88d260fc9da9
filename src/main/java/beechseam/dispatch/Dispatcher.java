package beechseam.dispatch;

import java.util.List;
import java.util.Random;

/**
 * The decision module: speed-scaled least-loaded dispatch (eLL), one dispatcher. It is told {@link DispatchEvents} and
 * answers with {@link DispatchActions}. Each job goes to the worker that {@link WorkerSelector} chooses; where all
 * exceed the reject threshold it is queued while its latency objective can still be met, then shed.
 *
 * <p>This class tells each event to the parts that it concerns, in a fixed order; each part decides one thing.
 * Single-threaded, with no clock and no I/O: the same events, seed and settings give the same actions. More:
 * docs/DESIGN.md.
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
     * A dispatcher that knows no worker yet; where the settings say so it asks for the endpoint list at once.
     *
     * @param now      the time by the host's clock, in nanoseconds
     * @param settings what holds for the life of this dispatcher
     * @param seed     of all random draws
     * @param actions  called from within the events
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

    /** The run counts as if the worker had been warm: selection takes slow start into account by itself. */
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
        healthChecker.checkSilentWorkers();
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

    /** Whether the worker is passed over for its suspicion, as a rule; false when it is not known. */
    public boolean isEjected(long now, long workerId) {
        context.now = now;
        WorkerState worker = fleet.table().get(workerId);
        return worker != null && fleet.outliers().isEjected(worker);
    }

    /**
     * When the attempt must have begun where it repeats one that may have run, by the host's clock in nanoseconds, else
     * {@link Long#MAX_VALUE}; the host asks again, as an attempt may wait for a connection.
     */
    public long retryDeadline(long job, int number) {
        return RetryPolicy.retryDeadline(jobs.job(job), number);
    }

    /** What was learned, for the dispatcher of the next process: for a while this one sends warming workers nothing. */
    public LearnedState exportLearnedState(long now) {
        context.now = now;
        return learnedState.exportState();
    }

    /** Takes over what another dispatcher has learned; what that lacks, or has otherwise, stays as it is. */
    public void importLearnedState(long now, LearnedState state) {
        context.now = now;
        learnedState.importState(state);
    }
}
