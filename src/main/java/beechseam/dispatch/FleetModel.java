package beechseam.dispatch;

import java.util.Random;

/**
 * What a dispatcher knows and estimates of the workers, part by part; the policies read it.
 *
 * @param context      settings and the time of the event being handled
 * @param runTimes     expected run times and speeds
 * @param slowStart    capacity and budget of workers that are warming up
 * @param loads        raw load of each worker now
 * @param outliers     suspicion of each worker
 * @param table        the workers themselves
 * @param transferCost what sending a job to a worker costs besides load
 */
record FleetModel(
        DispatchContext context,
        RunTimeModel runTimes,
        SlowStart slowStart,
        LoadEstimator loads,
        OutlierDetector outliers,
        WorkerTable table,
        TransferCost transferCost) {
    /** A model of no workers; {@code random} orders workers that were never used. */
    static FleetModel create(DispatchContext context, Random random) {
        RunTimeModel runTimes = new RunTimeModel(context);
        SlowStart slowStart = new SlowStart(context, runTimes);
        LoadEstimator loads = new LoadEstimator(context, runTimes);
        OutlierDetector outliers = new OutlierDetector(context, runTimes, loads);
        WorkerTable table = new WorkerTable(context, runTimes, loads, outliers, slowStart, random);
        return new FleetModel(context, runTimes, slowStart, loads, outliers, table, new TransferCost(context));
    }
}
