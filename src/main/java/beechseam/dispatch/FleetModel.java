package beechseam.dispatch;

import java.util.Random;

/**
 * State and estimates of the workers that a dispatcher's policies read, one component for each aspect.
 *
 * @param context      settings and the time of the event being handled
 * @param runTimes     expected run times and speeds
 * @param slowStart    capacity and send budget of workers that are warming up
 * @param loads        estimated raw load of each worker
 * @param outliers     suspicion of each worker
 * @param table        the listed workers
 * @param transferCost costs of sending a job to a worker other than load
 */
record FleetModel(
        DispatchContext context,
        RunTimeModel runTimes,
        SlowStart slowStart,
        LoadEstimator loads,
        OutlierDetector outliers,
        WorkerTable table,
        TransferCost transferCost) {
    /** Creates a model without workers; {@code random} sets the order of workers that have not been used yet. */
    static FleetModel create(DispatchContext context, Random random) {
        RunTimeModel runTimes = new RunTimeModel(context);
        SlowStart slowStart = new SlowStart(context, runTimes);
        LoadEstimator loads = new LoadEstimator(context, runTimes);
        OutlierDetector outliers = new OutlierDetector(context, runTimes, loads);
        WorkerTable table = new WorkerTable(context, runTimes, loads, outliers, slowStart, random);
        return new FleetModel(context, runTimes, slowStart, loads, outliers, table, new TransferCost(context));
    }
}
