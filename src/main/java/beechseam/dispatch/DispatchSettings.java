package beechseam.dispatch;

import java.util.List;

/**
 * The settings of a dispatcher, fixed for its life.
 *
 * @param classes            the job classes; a job refers to its class by the index in this list
 * @param limits             the limits that the deployment sets
 * @param rules              the rules for draining and for workers that have just started
 * @param loadReportSource   where load reports come from
 * @param pollsEndpoints     whether the dispatcher has to request the endpoint list
 * @param dispatcherCount    how many dispatchers share the workers
 * @param dispatcherIndex    this dispatcher's index among them, from 0
 * @param zone               this dispatcher's zone
 * @param reportsStart       whether workers report the start of a job
 * @param progressIntervalNs the interval of a run's progress reports, in nanoseconds; 0 for none
 * @param crossZoneCost      the cost of sending a job to another zone, as a share of the mean priority weight
 * @param handshakeCost      the cost of a new connection, in the same unit
 * @param healthCheckCost    the cost of a health check, in the same unit
 * @param weightByWork       whether a class's priority weight applies to a unit of work instead of a job
 * @param liveWeights        whether a worker's weight in the endpoint list is its size divided by 1 + its load
 *     per slot, with some delay
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
    /** Creates settings without live weights. */
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
