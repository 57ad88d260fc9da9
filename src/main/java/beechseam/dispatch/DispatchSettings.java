package beechseam.dispatch;

import java.util.List;

/**
 * What holds for the life of a dispatcher.
 *
 * @param classes            the classes of jobs; a job names its class by its place here
 * @param limits             what the deployment permits
 * @param rules              the rules for draining and for workers that have just started
 * @param loadReportSource   where load reports come from
 * @param pollsEndpoints     whether the dispatcher has to ask for the endpoint list
 * @param dispatcherCount    how many dispatchers share the workers
 * @param dispatcherIndex    this dispatcher's number among them
 * @param zone               this dispatcher's zone
 * @param reportsStart       whether workers report that a job has begun
 * @param progressIntervalNs the time between two progress reports of a run, in nanoseconds; 0 for none
 * @param crossZoneCost      what a job in another zone costs, as a share of the mean priority weight
 * @param handshakeCost      what a new connection costs, likewise
 * @param healthCheckCost    what a health check costs, likewise
 * @param weightByWork       whether a class's priority weight is that of a unit of work, else that of a job
 * @param liveWeights        whether a worker's weight is its size over 1 + what it holds for each slot, as
 *     of a while ago
 */
public record DispatchSettings(
        List<JobClass> classes,
        DispatchLimits limits,
        WorkerRules rules,
        LoadReportSource loadReportSource,
        boolean pollsEndpoints,
        int dispatcherCount,
        int dispatcherIndex,
        String zone,
        boolean reportsStart,
        long progressIntervalNs,
        double crossZoneCost,
        double handshakeCost,
        double healthCheckCost,
        boolean weightByWork,
        boolean liveWeights) {
    /** The same without live weights. */
    public DispatchSettings(
            List<JobClass> classes,
            DispatchLimits limits,
            WorkerRules rules,
            LoadReportSource loadReportSource,
            boolean pollsEndpoints,
            int dispatcherCount,
            int dispatcherIndex,
            String zone,
            boolean reportsStart,
            long progressIntervalNs,
            double crossZoneCost,
            double handshakeCost,
            double healthCheckCost,
            boolean weightByWork) {
        this(
                classes,
                limits,
                rules,
                loadReportSource,
                pollsEndpoints,
                dispatcherCount,
                dispatcherIndex,
                zone,
                reportsStart,
                progressIntervalNs,
                crossZoneCost,
                handshakeCost,
                healthCheckCost,
                weightByWork,
                false);
    }
}
