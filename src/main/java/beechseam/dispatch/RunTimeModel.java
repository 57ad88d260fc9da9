package beechseam.dispatch;

/**
 * Expected run times: a mean for each class of jobs ({@link ClassRunTimes}) times an index for each worker
 * ({@link PerformanceIndex}). A run moves both; a worker of few runs is drawn towards the index of its kind.
 */
final class RunTimeModel {
    /** Runs after which a worker's own index outweighs its kind's: sizes are heavy-tailed, small samples mislead. */
    private static final double KIND_PRIOR_RUNS = 4;
    /** Largest logarithm of a worker's relative run time that is divided out of one run. */
    private static final double MAX_LOG_RATIO = 4;
    /** Past {@link ClassRunTimes#MANY_RUNS} so much of the index is divided out: it holds the common scale. */
    private static final double SCALE_DECAY = 0.9;

    private static final double MIN_GAIN = 0.01;

    private final ClassRunTimes[] classes;
    /** Mean slots times nanoseconds of a run, of how many runs, and mean slots that an arriving job requires. */
    double meanRunNs;

    double runs = 3;
    double meanRequiredSlots = 1;

    RunTimeModel(DispatchContext context) {
        DispatchSettings settings = context.settings;
        classes = new ClassRunTimes[settings.classes().size()];
        for (int i = 0; i < classes.length; i++) {
            classes[i] = new ClassRunTimes(settings.classes().get(i), settings.weightByWork());
        }
        meanRunNs = context.shortestObjectiveNs;
    }

    /** All classes in the order of the settings; not to be written. */
    ClassRunTimes[] classes() {
        return classes;
    }

    void recordArrival(PendingJob job) {
        meanRequiredSlots += MIN_GAIN * (job.requiredSlots - meanRequiredSlots);
        job.runTimes.meanRequiredSlots += MIN_GAIN * (job.requiredSlots - job.runTimes.meanRequiredSlots);
    }

    /** An attempt was served in so many nanoseconds, as if its worker had been warm. */
    void recordRun(Attempt attempt, double warmRunNs) {
        PendingJob job = attempt.job;
        ClassRunTimes runTimes = job.runTimes;
        WorkerState worker = attempt.worker;
        double logRatio = Math.log(warmRunNs) - runTimes.expectedLog(job.job);
        double decay = runTimes.runs > ClassRunTimes.MANY_RUNS ? SCALE_DECAY : 1;
        double logSpeed = decay * Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, relativeLog(worker)));
        double atMeanSpeed = warmRunNs / Math.exp(logSpeed);
        runTimes.recordRun(job.job, Math.log(atMeanSpeed), atMeanSpeed);
        meanRunNs += Math.max(MIN_GAIN, 1 / ++runs) * (atMeanSpeed * job.requiredSlots - meanRunNs);
        worker.speed.add(logRatio);
        worker.kind.add(logRatio);
    }

    /** Renews the worker's performance index: its relative run time for each of its slots. */
    void refreshPerformanceIndex(WorkerState worker) {
        worker.performanceIndex = Math.exp(relativeLog(worker)) / worker.slots;
    }

    /** Logarithm of run time over expected, drawn towards the kind's while there are few runs. */
    private static double relativeLog(WorkerState worker) {
        return (worker.speed.runs * worker.speed.meanLog + KIND_PRIOR_RUNS * worker.kind.meanLog)
                / (worker.speed.runs + KIND_PRIOR_RUNS);
    }
}
