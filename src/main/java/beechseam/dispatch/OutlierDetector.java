package beechseam.dispatch;

/**
 * Outlier detection: failures, slow progress and silence raise a worker's suspicion, a factor on its load from 1 up to
 * a maximum; it decays by itself, and each sign of health halves it. A suspected worker gets fewer jobs and no hedges,
 * yet is not removed: where all are suspected the least suspected still serve.
 */
final class OutlierDetector {
    private static final double MAX_SUSPICION = 16;
    /** Suspicion decays by e in this time. */
    private static final double DECAY_NS = 4e9;
    /** Suspicion above which a worker counts as ejected, and above which an answered health check halves it. */
    private static final double EJECTED_SUSPICION = 2;

    private static final double HIGH_SUSPICION = 4;
    /** By what a failure, or a rejection or failed health check, multiplies suspicion. */
    private static final double FAILURE_FACTOR = 2;

    private static final double MILD_FACTOR = 1.5;
    /** A run that has been so much faster than it is now is slow. */
    private static final double SLOWDOWN = 1.3;

    private static final double START_LAG_GAIN = 0.05;

    private final DispatchContext context;
    private final RunTimeModel runTimes;
    private final LoadEstimator loads;
    /** Mean time from a send to a worker with free slots until the report that the job has begun, in nanoseconds. */
    double startLagNs = DispatchContext.MIN_TICK_NS;

    OutlierDetector(DispatchContext context, RunTimeModel runTimes, LoadEstimator loads) {
        this.context = context;
        this.runTimes = runTimes;
        this.loads = loads;
    }

    /** The worker's suspicion now, 1 for none. */
    double suspicion(WorkerState worker) {
        return worker.suspicion <= 1
                ? 1
                : 1 + (worker.suspicion - 1) * Math.exp((worker.suspectedAt - context.now) / DECAY_NS);
    }

    /** Raises suspicion to this, or leaves it where it is higher. */
    void suspect(WorkerState worker, double suspicion) {
        worker.suspicion = Math.max(suspicion(worker), Math.min(MAX_SUSPICION, suspicion));
        worker.suspectedAt = context.now;
    }

    /** A sign of health halves suspicion. */
    void recordSuccess(WorkerState worker) {
        worker.suspicion = 1 + (suspicion(worker) - 1) / 2;
        worker.suspectedAt = context.now;
    }

    void recordFailure(WorkerState worker) {
        suspect(worker, suspicion(worker) * FAILURE_FACTOR);
    }

    void recordRejection(WorkerState worker) {
        suspect(worker, suspicion(worker) * MILD_FACTOR);
    }

    /** So suspected no job goes there to show that a silence has ended: an answered health check does. */
    void recordHealthCheck(WorkerState worker, boolean answered) {
        if (!answered) {
            suspect(worker, suspicion(worker) * MILD_FACTOR);
        } else if (suspicion(worker) > HIGH_SUSPICION) {
            recordSuccess(worker);
        }
    }

    /** Whether the worker is ready, yet as a rule passed over for its suspicion. */
    boolean isEjected(WorkerState worker) {
        return worker.isReady() && isHighlySuspected(worker);
    }

    /** Whether suspicion alone would eject the worker, ready or not. */
    boolean isHighlySuspected(WorkerState worker) {
        return suspicion(worker) > EJECTED_SUSPICION;
    }

    /** A worker with free slots reported a start: how late is what silence of others is measured by. */
    void recordStart(Attempt attempt) {
        if (attempt.foundSlotsAvailable) {
            double lag = Math.min(context.now - attempt.sentAt, context.shortestObjectiveNs);
            startLagNs += START_LAG_GAIN * (lag - startLagNs);
        }
    }

    /** A run has come so far: one that was faster before is slow now. */
    void recordProgress(Attempt attempt, double progress) {
        double rate = (progress - attempt.progress) / (context.now - attempt.lastProgressAt);
        attempt.progress = progress;
        attempt.lastProgressAt = context.now;
        if (rate > 0 && attempt.bestProgressRate > SLOWDOWN * rate) {
            suspect(attempt.worker, attempt.bestProgressRate / rate);
        } else if (rate > 0) {
            recordSuccess(attempt.worker);
        }
        attempt.bestProgressRate = Math.max(attempt.bestProgressRate, rate);
    }

    /**
     * A job that has not begun when a free worker would have reported it waits behind others': that is load, not a
     * fault. Silence past the time in which what they hold is worked off is one, and so is silence of a run.
     */
    void detectStall(Attempt attempt) {
        if (attempt.ended || !context.settings.reportsStart()) {
            return;
        }
        WorkerState worker = attempt.worker;
        double graceNs = 2 * startLagNs + 2 * context.tickNs;
        double silentNs = context.now - attempt.lastProgressAt;
        long progressIntervalNs = context.settings.progressIntervalNs();
        double dueNs = progressIntervalNs > 0 ? progressIntervalNs : Double.MAX_VALUE;
        if (!attempt.hasStarted()) {
            if (silentNs > graceNs - context.tickNs) {
                loads.clampEstimate(worker, loads.slotsAvailableToOthers(worker), Double.MAX_VALUE);
            }
            dueNs = (loads.rawLoad(worker) - worker.inFlightHere + 1) * runTimes.meanRunNs * worker.performanceIndex;
        }
        if (silentNs > dueNs + graceNs) {
            suspect(
                    worker,
                    attempt.hasStarted() ? (silentNs - dueNs) / graceNs : 1 + (silentNs - dueNs) / (dueNs + graceNs));
        }
    }
}
