package beechseam.dispatch;

/**
 * Outlier detection. Failures, slowed progress and overdue reports raise a worker's suspicion, a factor from 1 to a
 * maximum on its effective load. Suspicion decays over time, and each success halves its excess over 1. A suspected
 * worker gets fewer jobs and no hedges but is not removed: when all workers are suspected, the least suspected ones
 * still run jobs.
 */
final class OutlierDetector {
    private static final double MAX_SUSPICION = 16;
    /** Time constant of the decay: the excess of suspicion over 1 falls by a factor of e in this time. */
    private static final double DECAY_NS = 4e9;
    /** Suspicion above which a worker counts as ejected. */
    private static final double EJECTED_SUSPICION = 2;
    /** Suspicion above which an answered health check counts as a success. */
    private static final double HIGH_SUSPICION = 4;
    /** Factor by which a failure raises suspicion. */
    private static final double FAILURE_FACTOR = 2;
    /** Factor by which a rejection or an unanswered health check raises suspicion. */
    private static final double MINOR_FAILURE_FACTOR = 1.5;
    /** A run has slowed down if its best progress rate is more than this multiple of the current one. */
    private static final double SLOWDOWN_FACTOR = 1.3;
    /** Weight of one start in the mean start lag. */
    private static final double START_LAG_GAIN = 0.05;

    private final DispatchContext context;
    private final RunTimeModel runTimes;
    private final LoadEstimator loads;
    /** Mean time from sending a job to a worker with free slots until its start is reported, in nanoseconds. */
    double startLagNs = DispatchContext.MIN_TICK_NS;

    OutlierDetector(DispatchContext context, RunTimeModel runTimes, LoadEstimator loads) {
        this.context = context;
        this.runTimes = runTimes;
        this.loads = loads;
    }

    /** The worker's current suspicion; 1 means none. */
    double suspicion(WorkerState worker) {
        return worker.suspicion <= 1
                ? 1
                : 1 + (worker.suspicion - 1) * Math.exp((worker.suspectedAt - context.now) / DECAY_NS);
    }

    /** Raises the worker's suspicion to the given value, limited to the maximum; never lowers it. */
    void suspect(WorkerState worker, double suspicion) {
        worker.suspicion = Math.max(suspicion(worker), Math.min(MAX_SUSPICION, suspicion));
        worker.suspectedAt = context.now;
    }

    /** Halves the excess of the worker's suspicion over 1. */
    void recordSuccess(WorkerState worker) {
        worker.suspicion = 1 + (suspicion(worker) - 1) / 2;
        worker.suspectedAt = context.now;
    }

    void recordFailure(WorkerState worker) {
        suspect(worker, suspicion(worker) * FAILURE_FACTOR);
    }

    void recordRejection(WorkerState worker) {
        suspect(worker, suspicion(worker) * MINOR_FAILURE_FACTOR);
    }

    /**
     * Raises suspicion after an unanswered health check. An answered one counts as a success only while suspicion is
     * high: such a worker gets no jobs, so a health check is the only sign that it responds again.
     */
    void recordHealthCheck(WorkerState worker, boolean answered) {
        if (!answered) {
            suspect(worker, suspicion(worker) * MINOR_FAILURE_FACTOR);
        } else if (suspicion(worker) > HIGH_SUSPICION) {
            recordSuccess(worker);
        }
    }

    /** Whether the worker is ready but normally not selected because of its suspicion. */
    boolean isEjected(WorkerState worker) {
        return worker.isReady() && isHighlySuspected(worker);
    }

    /** Whether the worker's suspicion is above the ejection threshold, regardless of its endpoint state. */
    boolean isHighlySuspected(WorkerState worker) {
        return suspicion(worker) > EJECTED_SUSPICION;
    }

    /** Updates the mean start lag, by which overdue starts are detected, if the worker had free slots at the send. */
    void recordStart(Attempt attempt) {
        if (attempt.foundSlotsAvailable) {
            double lag = Math.min(context.now - attempt.sentAt, context.shortestObjectiveNs);
            startLagNs += START_LAG_GAIN * (lag - startLagNs);
        }
    }

    /**
     * Records the reported progress of a run. A run that has slowed down raises its worker's suspicion to the ratio of
     * its best progress rate to the current one; any other positive progress counts as a success.
     */
    void recordProgress(Attempt attempt, double progress) {
        double rate = (progress - attempt.progress) / (context.now - attempt.lastProgressAt);
        attempt.progress = progress;
        attempt.lastProgressAt = context.now;
        if (rate > 0 && attempt.bestProgressRate > SLOWDOWN_FACTOR * rate) {
            suspect(attempt.worker, attempt.bestProgressRate / rate);
        } else if (rate > 0) {
            recordSuccess(attempt.worker);
        }
        attempt.bestProgressRate = Math.max(attempt.bestProgressRate, rate);
    }

    /**
     * Checks an attempt for overdue reports. If the start is later than a worker with free slots would report it, the
     * job waits behind jobs of other dispatchers: this raises the estimate of their load, not suspicion. Suspicion
     * rises when the start is still missing after the time that the worker needs for the jobs of the others, or when a
     * running attempt reports no progress for longer than the progress interval.
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
