package beechseam.dispatch;

/**
 * Costs of sending a job to a worker other than load: crossing zones and opening a connection. The settings state both
 * for a job of mean priority weight; for other jobs they are divided by the job's weight relative to the mean.
 */
final class TransferCost {
    /** Load per slot that a cost equal to the job's whole weight counts as. */
    private static final double LOAD_PER_COST = 8;
    /** Share of the idle timeout for which a connection is assumed to stay open, because hosts close it earlier. */
    private static final double ASSUMED_OPEN_FRACTION = 0.5;

    /** Weight of one arrival in the mean priority weight. */
    private static final double WEIGHT_GAIN = 0.01;

    private static final double MIN_WEIGHT = 1e-9;

    private final DispatchContext context;
    private double meanPriorityWeight;

    TransferCost(DispatchContext context) {
        this.context = context;
        double sum = 0;
        for (JobClass jobClass : context.settings.classes()) {
            sum += jobClass.priorityWeight();
        }
        int classes = context.settings.classes().size();
        meanPriorityWeight = classes == 0 ? 1 : sum / classes;
    }

    void recordArrival(JobClass jobClass) {
        meanPriorityWeight += WEIGHT_GAIN * (jobClass.priorityWeight() - meanPriorityWeight);
    }

    /** Cost of sending the job to the worker, as additional load of the worker in slots. */
    double transferCost(PendingJob job, WorkerState worker) {
        double cost = crossZoneCost(job, worker)
                + (hasIdleConnection(worker) ? 0 : context.settings.handshakeCost() * costFactor(job));
        return cost * LOAD_PER_COST * worker.slots;
    }

    /** Cost of crossing zones for the job at the worker, as a share of the job's weight; 0 in the same zone. */
    double crossZoneCost(PendingJob job, WorkerState worker) {
        return context.isLocal(worker) ? 0 : context.settings.crossZoneCost() * costFactor(job);
    }

    /** Whether the worker is assumed to have an idle connection open. */
    boolean hasIdleConnection(WorkerState worker) {
        return worker.idleConnections > 0
                && context.now - worker.connectionIdleSince < ASSUMED_OPEN_FRACTION * context.limits.idleTimeoutNs();
    }

    /** Records that an attempt was sent, which uses an idle connection or opens one. */
    void recordSend(WorkerState worker) {
        worker.idleConnections = Math.max(0, worker.idleConnections - 1);
    }

    /** Records that an attempt has ended and whether its connection stays open. */
    void recordEnd(WorkerState worker, boolean connectionStaysOpen) {
        worker.idleConnections += connectionStaysOpen ? 1 : 0;
        worker.connectionIdleSince = context.now;
    }

    /** Mean priority weight relative to the job's, by which costs are multiplied. */
    private double costFactor(PendingJob job) {
        return meanPriorityWeight / Math.max(job.jobClass.priorityWeight(), MIN_WEIGHT);
    }
}
