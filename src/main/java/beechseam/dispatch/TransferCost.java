package beechseam.dispatch;

/**
 * What sending a job to a worker costs besides load: crossing zones and opening a connection. The settings price both
 * for a job of mean priority weight; a job of more weight bears them more easily.
 */
final class TransferCost {
    /** How a cost, as a share of the job's weight, counts as load of each slot. */
    private static final double LOAD_PER_COST = 8;
    /** Share of the limit on idle connections for which one is taken to be open: hosts close them sooner. */
    private static final double ASSUMED_OPEN_FRACTION = 0.5;

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

    /** What sending the job there costs, in slots of load of the worker. */
    double transferCost(PendingJob job, WorkerState worker) {
        double cost = crossZoneCost(job, worker)
                + (hasIdleConnection(worker) ? 0 : context.settings.handshakeCost() * relativePrice(job));
        return cost * LOAD_PER_COST * worker.slots;
    }

    /** What sending the job there costs for crossing zones, as a share of its weight. */
    double crossZoneCost(PendingJob job, WorkerState worker) {
        return context.isLocal(worker) ? 0 : context.settings.crossZoneCost() * relativePrice(job);
    }

    /** Whether a connection to the worker stands idle, as far as can be told from here. */
    boolean hasIdleConnection(WorkerState worker) {
        return worker.idleConnections > 0
                && context.now - worker.connectionIdleSince < ASSUMED_OPEN_FRACTION * context.limits.idleTimeoutNs();
    }

    /** An attempt takes an idle connection, or opens one. */
    void recordSend(WorkerState worker) {
        worker.idleConnections = Math.max(0, worker.idleConnections - 1);
    }

    /** An attempt has ended and left its connection idle, or not. */
    void recordEnd(WorkerState worker, boolean connectionStaysOpen) {
        worker.idleConnections += connectionStaysOpen ? 1 : 0;
        worker.connectionIdleSince = context.now;
    }

    /** The mean job's weight relative to this one's: what a price weighs for it. */
    private double relativePrice(PendingJob job) {
        return meanPriorityWeight / Math.max(job.jobClass.priorityWeight(), MIN_WEIGHT);
    }
}
