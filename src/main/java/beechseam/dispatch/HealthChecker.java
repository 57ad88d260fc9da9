package beechseam.dispatch;

/**
 * Sends health checks to workers that have not reported their load for long. A check is due sooner if health checks are
 * the only source of reports or the worker is ejected. A budget in proportion to arrivals limits the checks.
 */
final class HealthChecker {
    /** Cost of health checks allowed for each arriving job, in the unit of {@link DispatchSettings#healthCheckCost}. */
    private static final double COST_PER_JOB = 0.003;

    private static final double MIN_COST = 1e-6;

    private final DispatchContext context;
    private final WorkerTable table;
    private final LoadEstimator loads;
    private final OutlierDetector outliers;
    private final DispatchActions actions;
    /** Checks that may be sent now; unlimited until the first job arrives. */
    private double budget = Double.MAX_VALUE;

    HealthChecker(FleetModel fleet, DispatchActions actions) {
        context = fleet.context();
        table = fleet.table();
        loads = fleet.loads();
        outliers = fleet.outliers();
        this.actions = actions;
    }

    void recordArrival() {
        double perJob = COST_PER_JOB / Math.max(context.settings.healthCheckCost(), MIN_COST);
        budget = Math.min(2 * table.size(), budget + perJob);
    }

    /** Sends a health check to each worker that is due, in the order of the table, while the budget lasts. */
    void sendDueHealthChecks() {
        if (!context.limits.healthChecks()) {
            return;
        }
        for (WorkerState worker : table.all()) {
            if (worker.isReady() && !worker.healthCheckPending && budget >= 1 && isDue(worker)) {
                budget--;
                worker.healthCheckPending = true;
                worker.healthCheckedAt = context.now;
                actions.healthCheck(worker.endpoint.id());
            }
        }
    }

    /** Whether a check is due. An unanswered check, which brings no newer report, delays the next one as well. */
    private boolean isDue(WorkerState worker) {
        boolean soon =
                context.settings.loadReportSource() == LoadReportSource.HEALTH_CHECKS || outliers.isEjected(worker);
        return context.now - Math.max(worker.reportedAt, worker.healthCheckedAt)
                > (soon ? 2 * loads.reportIntervalNs : DispatchContext.HISTORY_NS);
    }

    /** Records the result of the worker's health check; {@code load} may be null. */
    void recordResult(WorkerState worker, boolean answered, LoadReport load) {
        worker.healthCheckPending = false;
        if (answered) {
            loads.applyLoadReport(worker, load);
        }
        outliers.recordHealthCheck(worker, answered);
    }
}
