package beechseam.dispatch;

/** Logs at most one status line in five seconds while workers are ejected or jobs are not served. */
final class StatusLog {
    private static final long INTERVAL_NS = 5_000_000_000L;

    private final FleetModel fleet;
    private final DispatchActions actions;
    private long loggedAt;
    /** Jobs shed since the latest line. */
    private long shed;
    /** Jobs failed since the latest line. */
    private long failed;

    StatusLog(FleetModel fleet, DispatchActions actions) {
        this.fleet = fleet;
        this.actions = actions;
    }

    void recordShed() {
        shed++;
    }

    void recordFailed() {
        failed++;
    }

    void logIfDegraded(int queued, boolean discoveryFailed) {
        long now = fleet.context().now;
        if (now - loggedAt < INTERVAL_NS) {
            return;
        }
        int ready = 0;
        int ejected = 0;
        for (WorkerState worker : fleet.table().all()) {
            ready += worker.isReady() ? 1 : 0;
            ejected += fleet.outliers().isEjected(worker) ? 1 : 0;
        }
        if (ejected > 0 || shed > 0 || failed > 0) {
            loggedAt = now;
            actions.log("service degraded ready=" + ready + " ejected=" + ejected + " queued=" + queued + " shed="
                    + shed + " failed=" + failed + " discovery=" + (discoveryFailed ? "failed" : "ok"));
            shed = 0;
            failed = 0;
        }
    }
}
