package beechseam.dispatch;

/**
 * Which worker is asked for its load and when: those that have not reported for long, sooner where there are no other
 * reports or the worker is ejected, as far as a budget in proportion to arrivals goes.
 */
final class HealthChecker {
    /** What health checks may cost for each job that arrives, in the points that the settings price them at. */
    private static final double COST_PER_JOB = 0.003;

    private static final double MIN_COST = 1e-6;

    private final DispatchContext context;
    private final WorkerTable table;
    private final LoadEstimator loads;
    private final OutlierDetector outliers;
    private final DispatchActions actions;
    /** Checks that may be made; unlimited until the first job arrives. */
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

    /** Checks all workers that are due, in the order of the table. */
    void checkSilentWorkers() {
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

    /** One that answers no check has no newer report: it has a pause all the same. */
    private boolean isDue(WorkerState worker) {
        boolean soon =
                context.settings.loadReportSource() == LoadReportSource.HEALTH_CHECKS || outliers.isEjected(worker);
        return context.now - Math.max(worker.reportedAt, worker.healthCheckedAt)
                > (soon ? 2 * loads.reportIntervalNs : DispatchContext.HISTORY_NS);
    }

    /** The check of this worker is over; {@code load} may be null. */
    void recordResult(WorkerState worker, boolean answered, LoadReport load) {
        worker.healthCheckPending = false;
        if (answered) {
            loads.applyLoadReport(worker, load);
        }
        outliers.recordHealthCheck(worker, answered);
    }
}
