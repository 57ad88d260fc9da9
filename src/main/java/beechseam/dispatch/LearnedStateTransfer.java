package beechseam.dispatch;

import java.util.Map;

/** Exports what the parts of a dispatcher have learned to a {@link LearnedState}, and imports it. */
final class LearnedStateTransfer {
    private final DispatchContext context;
    private final WorkerTable table;
    private final RunTimeModel runTimes;
    private final LoadEstimator loads;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;

    LearnedStateTransfer(FleetModel fleet) {
        context = fleet.context();
        table = fleet.table();
        runTimes = fleet.runTimes();
        loads = fleet.loads();
        outliers = fleet.outliers();
        slowStart = fleet.slowStart();
    }

    /**
     * Exports the learned state. It includes the record of sends to workers that are warming up, so this dispatcher
     * does not send to them for one overload window afterwards.
     */
    LearnedState exportState() {
        slowStart.releaseSends();
        LearnedState state = LearnedState.empty();
        state.putFleet(new LearnedState.Fleet(
                runTimes.meanRunNs,
                runTimes.runs,
                loads.meanUtilizationElsewhere,
                loads.reportIntervalNs,
                outliers.startLagNs,
                loads.everReported));
        for (ClassRunTimes each : runTimes.classes()) {
            state.putClass(
                    each.jobClass.name(),
                    new LearnedState.ClassEntry(
                            each.meanLogRun, each.meanRunNs, each.runs, each.meanRequiredSlots, each.longestBudgetNs));
        }
        for (Map.Entry<String, PerformanceIndex> each : table.kinds().entrySet()) {
            PerformanceIndex index = each.getValue();
            state.putKind(each.getKey(), new LearnedState.KindEntry(index.meanLog, index.runs));
        }
        for (WorkerState worker : table.all()) {
            exportWorker(worker, state);
        }
        return state;
    }

    private void exportWorker(WorkerState worker, LearnedState state) {
        long id = worker.endpoint.id();
        state.putWorker(
                id,
                new LearnedState.WorkerEntry(
                        worker.speed.meanLog,
                        worker.speed.runs,
                        worker.meanReportedSlots,
                        worker.reports,
                        worker.estimatedElsewhere + worker.inFlightHere,
                        outliers.suspicion(worker)));
        state.putSentWhileWarming(id, context.now, worker.sentWhileWarming);
    }

    /** Imports what another dispatcher has learned; entries that are absent or of another length change nothing. */
    void importState(LearnedState state) {
        LearnedState.Fleet fleet = state.fleet();
        if (fleet != null) {
            runTimes.meanRunNs = fleet.meanRunNs();
            runTimes.runs = fleet.runs();
            loads.meanUtilizationElsewhere = fleet.meanUtilizationElsewhere();
            loads.reportIntervalNs = fleet.reportIntervalNs();
            outliers.startLagNs = fleet.startLagNs();
            loads.everReported |= fleet.everReported();
            slowStart.adoptSends();
        }
        for (ClassRunTimes each : runTimes.classes()) {
            importClass(each, state.jobClass(each.jobClass.name()));
        }
        for (Map.Entry<String, PerformanceIndex> each : table.kinds().entrySet()) {
            LearnedState.KindEntry entry = state.kind(each.getKey());
            if (entry != null) {
                each.getValue().set(entry.meanLog(), entry.runs());
            }
        }
        for (WorkerState worker : table.all()) {
            importWorker(worker, state.worker(worker.endpoint.id()));
            worker.sentWhileWarming.addAll(state.sentWhileWarming(worker.endpoint.id(), context.now));
        }
        table.refresh(0);
    }

    private static void importClass(ClassRunTimes runTimes, LearnedState.ClassEntry entry) {
        if (entry != null) {
            runTimes.meanLogRun = entry.meanLogRun();
            runTimes.meanRunNs = entry.meanRunNs();
            runTimes.runs = entry.runs();
            runTimes.meanRequiredSlots = entry.meanRequiredSlots();
            runTimes.longestBudgetNs = entry.longestBudgetNs();
        }
    }

    private void importWorker(WorkerState worker, LearnedState.WorkerEntry entry) {
        if (entry == null) {
            return;
        }
        worker.speed.set(entry.meanLog(), entry.runs());
        worker.meanReportedSlots = entry.meanReportedSlots();
        worker.reports = entry.reports();
        worker.slotsKnown = entry.reports() > 0;
        if (worker.slotsKnown) {
            loads.adoptSlots(worker, entry.meanReportedSlots());
        }
        worker.estimatedElsewhere = entry.estimatedElsewhere();
        worker.reportedAt = context.now;
        outliers.suspect(worker, entry.suspicion());
    }
}
