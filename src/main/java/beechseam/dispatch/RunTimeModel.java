package beechseam.dispatch;

/**
 * Model of expected run times: the mean of the job's class ({@link ClassRunTimes}) times the index of the worker
 * ({@link PerformanceIndex}). Each run updates both. While a worker has few runs, its index is weighted towards that of
 * its kind.
 */
final class RunTimeModel {
    /**
     * Runs after which a worker's own index outweighs that of its kind; run times are heavy-tailed, so small samples
     * mislead.
     */
    private static final double KIND_PRIOR_RUNS = 4;
    /** Limit on the logarithm of a worker's relative run time that is divided out of one run. */
    private static final double MAX_LOG_RATIO = 4;
    /**
     * Share of the logarithm of a worker's relative run time that is divided out of a run after
     * {@link ClassRunTimes#CALIBRATION_RUNS}; below 1, so that class means and worker indices keep a common scale.
     */
    private static final double SCALE_DECAY = 0.9;
    /** Least weight of one run or arrival in a mean. */
    private static final double MIN_GAIN = 0.01;

    private final ClassRunTimes[] classes;
    /** Mean work of a run, in slots times nanoseconds. */
    double meanRunNs;
    /** Runs in the mean; the initial value counts as three. */
    double runs = 3;
    /** Mean slots that an arriving job requires. */
    double meanRequiredSlots = 1;

    RunTimeModel(DispatchContext context) {
        DispatchSettings settings = context.settings;
        classes = new ClassRunTimes[settings.classes().size()];
        for (int i = 0; i < classes.length; i++) {
            classes[i] = new ClassRunTimes(settings.classes().get(i), settings.weightByWork());
        }
        meanRunNs = context.shortestObjectiveNs;
    }

    /** All classes in the order of the settings; callers must not modify the array. */
    ClassRunTimes[] classes() {
        return classes;
    }

    void recordArrival(PendingJob job) {
        meanRequiredSlots += MIN_GAIN * (job.requiredSlots - meanRequiredSlots);
        job.runTimes.meanRequiredSlots += MIN_GAIN * (job.requiredSlots - job.runTimes.meanRequiredSlots);
    }

    /**
     * Updates the model with the run of a served attempt; {@code warmRunNs} is the run time in nanoseconds, scaled to a
     * warm worker.
     */
    void recordRun(Attempt attempt, double warmRunNs) {
        PendingJob job = attempt.job;
        ClassRunTimes runTimes = job.runTimes;
        WorkerState worker = attempt.worker;
        double logRatio = Math.log(warmRunNs) - runTimes.expectedLog(job.job);
        double decay = runTimes.runs > ClassRunTimes.CALIBRATION_RUNS ? SCALE_DECAY : 1;
        double logSpeed = decay * Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRelativeRunTime(worker)));
        double atMeanSpeed = warmRunNs / Math.exp(logSpeed);
        runTimes.recordRun(job.job, Math.log(atMeanSpeed), atMeanSpeed);
        meanRunNs += Math.max(MIN_GAIN, 1 / ++runs) * (atMeanSpeed * job.requiredSlots - meanRunNs);
        worker.speed.add(logRatio);
        worker.kind.add(logRatio);
    }

    /** Recomputes the worker's performance index: its relative run time divided by its slots. */
    void refreshPerformanceIndex(WorkerState worker) {
        worker.performanceIndex = Math.exp(logRelativeRunTime(worker)) / worker.slots;
    }

    /** Logarithm of the worker's relative run time, weighted towards that of its kind while it has few runs. */
    private static double logRelativeRunTime(WorkerState worker) {
        return (worker.speed.runs * worker.speed.meanLog + KIND_PRIOR_RUNS * worker.kind.meanLog)
                / (worker.speed.runs + KIND_PRIOR_RUNS);
    }
}
