package beechseam.dispatch;

/**
 * The reject threshold: whether a job may be sent to a worker, by the wait that is expected there against the time the
 * job has left. Where no worker is under the threshold a job is queued, and shed once its time has passed.
 */
final class AdmissionPolicy {
    /** Share of a job's slack that may pass waiting at a worker; of the slack of a class of more weight. */
    private static final double QUEUE_FRACTION = 0.7;

    private static final double YIELD_FRACTION = 0.5;
    /** Share of a worker's slots that a class of less weight leaves to one of more. */
    private static final double RESERVED_FRACTION = 0.1;
    /** The least slack of a job, as a share of its class's objective: a late job still counts for something. */
    private static final double MIN_SLACK_FRACTION = 0.25;
    /** Until so much of its slack has passed a job looks for better, where much is sent unseen. */
    private static final double SEARCH_FRACTION = 0.8;
    /** How much of its slack a job waits for a slot of its own zone, for each unit of the cost of crossing. */
    private static final double CROSS_ZONE_WAIT = 3;
    /** A little above 1: a job that costs nothing to send has no such wait at all. */
    private static final double CROSS_ZONE_MARGIN = 1.05;
    /** Suspicion from which a run is expected to be slow, so that it has to fit into the slack as well. */
    private static final double SLOW_SUSPICION = 1.5;

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

    /** Whether the load there is under the reject threshold; a hedge needs free slots and has to be in time. */
    boolean isUnderThreshold(PendingJob job, WorkerState worker, boolean hedge) {
        double visibleFraction = context.visibleFraction;
        double suspicion = outliers.suspicion(worker);
        double relativeRunTime =
                worker.performanceIndex * worker.slots * suspicion / slowStart.slowStartCapacity(worker);
        double remainingNs = job.latestStart - context.now;
        double maxRemainingNs = Math.max(0, job.latestStart - job.arrivedAt)
                * (CROSS_ZONE_MARGIN - CROSS_ZONE_WAIT * visibleFraction * transferCost.crossZoneCost(job, worker));
        if (remainingNs > maxRemainingNs) {
            return false; // a slot may yet free nearer by: the dearer the crossing, the longer the wait
        }
        // Where much is sent unseen, an expected wait is often a longer one: for a while it looks for better.
        boolean searches = remainingNs > SEARCH_FRACTION * (job.latestStart - job.arrivedAt);
        double queueFraction = QUEUE_FRACTION * (searches ? visibleFraction : 1);
        double slackNs = Math.max(remainingNs, job.jobClass.latencyObjectiveNs() * MIN_SLACK_FRACTION)
                * queueFraction
                * job.runTimes.waitTolerance();
        double reservedSlots = 0; // a job of less weight leaves some room to the next of a class of more
        for (ClassRunTimes each : runTimes.classes()) {
            if (each.weightPerWork() > job.runTimes.weightPerWork()) {
                slackNs = Math.min(slackNs, each.usualSlackNs() * YIELD_FRACTION * each.waitTolerance());
                reservedSlots = RESERVED_FRACTION * worker.slots;
            }
        }
        // What others hold is a mean among many: one that leaves part of a slot leaves a whole one at times.
        double claimed = hedge ? job.requiredSlots : visibleFraction * (job.requiredSlots + reservedSlots);
        double excessSlots = Math.max(0, loads.rawLoad(worker) + claimed - worker.slots);
        if (hedge) {
            return excessSlots == 0
                    && isReportFresh(worker)
                    && context.now + job.expectedRunNs * relativeRunTime <= job.objectiveAt;
        }
        return expectedWaitNs(worker, excessSlots) <= slackNs
                && (suspicion < SLOW_SUSPICION || job.expectedRunNs * (relativeRunTime - 1) <= slackNs);
    }

    /** Whether what is known of the worker's load is recent, where health checks could renew it. */
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

    /** Whether no start can be of use any more, or the client is about to disconnect. */
    boolean isExpired(PendingJob job) {
        return context.now >= job.clientDeadlineAt - EXPIRY_TICKS * context.tickNs
                || job.jobClass.lateWeight() <= 0 && context.now > job.latestStart;
    }

    /** Whether the final answer to a job that is not served may promise that a further try is harmless. */
    static boolean mayShed(PendingJob job) {
        JobClass jobClass = job.jobClass;
        return job.firstThatMayHaveRun() == null
                || jobClass.idempotency() == Idempotency.IDEMPOTENT
                || jobClass.idempotency() == Idempotency.KEYED
                        && jobClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
