package beechseam.dispatch;

/**
 * Applies the reject threshold: a job may be sent to a worker if the wait expected there fits into the job's slack, the
 * time left until its latest start. If no worker is under the threshold, the job is queued, and shed when it expires.
 */
final class AdmissionPolicy {
    /** Share of its slack that a job may spend waiting at a worker. */
    private static final double QUEUE_FRACTION = 0.7;
    /** Share of the usual slack of a class of higher weight that a job of lower weight may wait at a worker. */
    private static final double YIELD_FRACTION = 0.5;
    /** Share of a worker's slots that a class of lower weight leaves free for classes of higher weight. */
    private static final double RESERVED_FRACTION = 0.1;
    /** Minimum slack of a job, as a share of its class's latency objective: a late job still has some value. */
    private static final double MIN_SLACK_FRACTION = 0.25;
    /** While more than this share of its slack is left, a job accepts only short queues if many sends are unseen. */
    private static final double SHORT_QUEUE_FRACTION = 0.8;
    /** Share of its slack that a job waits for a slot in its own zone, for each unit of cross-zone cost. */
    private static final double CROSS_ZONE_WAIT = 3;
    /** Slightly above 1, so that a job without a cross-zone cost is never made to wait for a local slot. */
    private static final double CROSS_ZONE_MARGIN = 1.05;
    /** Suspicion from which runs are expected to be slow, so that the slack must cover the added run time as well. */
    private static final double SLOW_SUSPICION = 1.5;

    /** A job expires this many ticks before its client's deadline. */
    private static final int EXPIRY_TICKS = 2;

    private final DispatchContext context;
    private final RunTimeModel runTimes;
    private final LoadEstimator loads;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final TransferCost transferCost;

    AdmissionPolicy(FleetModel fleet) {
        context = fleet.context();
        runTimes = fleet.runTimes();
        loads = fleet.loads();
        outliers = fleet.outliers();
        slowStart = fleet.slowStart();
        transferCost = fleet.transferCost();
    }

    /**
     * Whether the worker is under the reject threshold for the job. A hedge instead requires free slots, a recent load
     * report and an expected end within the latency objective.
     */
    boolean isUnderThreshold(PendingJob job, WorkerState worker, boolean hedge) {
        double visibleFraction = context.visibleFraction;
        double suspicion = outliers.suspicion(worker);
        double relativeRunTime =
                worker.performanceIndex * worker.slots * suspicion / slowStart.slowStartCapacity(worker);
        double remainingNs = job.latestStart - context.now;
        double maxRemainingNs = Math.max(0, job.latestStart - job.arrivedAt)
                * (CROSS_ZONE_MARGIN - CROSS_ZONE_WAIT * visibleFraction * transferCost.crossZoneCost(job, worker));
        if (remainingNs > maxRemainingNs) {
            return false; // waits for a slot in its own zone: the higher the cross-zone cost, the longer
        }
        // If many sends are unseen, the real wait is often longer than expected, so at first only short queues are
        // accepted.
        boolean acceptsOnlyShortQueues = remainingNs > SHORT_QUEUE_FRACTION * (job.latestStart - job.arrivedAt);
        double queueFraction = QUEUE_FRACTION * (acceptsOnlyShortQueues ? visibleFraction : 1);
        double slackNs = Math.max(remainingNs, job.jobClass.latencyObjectiveNs() * MIN_SLACK_FRACTION)
                * queueFraction
                * job.runTimes.waitTolerance();
        double reservedSlots = 0; // slots that a job of lower weight leaves free for classes of higher weight
        for (ClassRunTimes each : runTimes.classes()) {
            if (each.weightPerWork() > job.runTimes.weightPerWork()) {
                slackNs = Math.min(slackNs, each.usualSlackNs() * YIELD_FRACTION * each.waitTolerance());
                reservedSlots = RESERVED_FRACTION * worker.slots;
            }
        }
        // With many dispatchers the load of the others is a mean: a worker with part of a slot free on average has a
        // whole slot free at times.
        double claimedSlots = hedge ? job.requiredSlots : visibleFraction * (job.requiredSlots + reservedSlots);
        double excessSlots = Math.max(0, loads.rawLoad(worker) + claimedSlots - worker.slots);
        if (hedge) {
            return excessSlots == 0
                    && isReportFresh(worker)
                    && context.now + job.expectedRunNs * relativeRunTime <= job.objectiveAt;
        }
        return expectedWaitNs(worker, excessSlots) <= slackNs
                && (suspicion < SLOW_SUSPICION || job.expectedRunNs * (relativeRunTime - 1) <= slackNs);
    }

    /** Whether the worker's load report is recent; always true without health checks, which could renew it. */
    private boolean isReportFresh(WorkerState worker) {
        return !context.limits.healthChecks() || loads.reportAge(worker) <= 2 * loads.reportIntervalNs;
    }

    private double expectedWaitNs(WorkerState worker, double excessSlots) {
        return Math.max(0, excessSlots)
                * runTimes.meanRunNs
                / runTimes.meanRequiredSlots
                * worker.performanceIndex
                * outliers.suspicion(worker)
                / slowStart.slowStartCapacity(worker);
    }

    /** Whether starting the job is useless: its client's deadline is near, or it is late and has no late weight. */
    boolean isExpired(PendingJob job) {
        return context.now >= job.clientDeadlineAt - EXPIRY_TICKS * context.tickNs
                || job.jobClass.lateWeight() <= 0 && context.now > job.latestStart;
    }

    /** Whether a job that is not served may be shed, which promises the client that a retry is harmless. */
    static boolean mayShed(PendingJob job) {
        JobClass jobClass = job.jobClass;
        return job.firstThatMayHaveRun() == null
                || jobClass.idempotency() == Idempotency.IDEMPOTENT
                || jobClass.idempotency() == Idempotency.KEYED
                        && jobClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
