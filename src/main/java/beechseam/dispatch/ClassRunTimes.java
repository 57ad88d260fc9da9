package beechseam.dispatch;

/**
 * Run times of a class of jobs, by which the run time of the next is expected. Hints of clients are weighed by the
 * regression of run times on them, both as logarithms: hints that have told nothing so far count for nothing.
 */
final class ClassRunTimes {
    /** Runs after which the scale of run times and indices is held: else the two drift apart. */
    static final int MANY_RUNS = 5000;
    /** Runs for which a hint counts as it stands, before the regression outweighs that. */
    private static final double HINT_PRIOR_RUNS = 10;
    /** Weight of one run or hint once there are many. */
    private static final double GAIN = 0.01;
    /** Until {@link #MANY_RUNS} the mean logarithm moves as far as a run takes it. */
    private static final double UNLIMITED_CHANGE = 1e3;

    final JobClass jobClass;
    private final boolean weightByWork;
    /** The mean logarithm of run times and their mean, in nanoseconds, and of how many runs. */
    double meanLogRun;

    double meanRunNs;
    double runs;
    double meanRequiredSlots = 1;
    /** The most time that a client has given, in nanoseconds. */
    double longestBudgetNs;
    /** The mean logarithm of hints, how it varies and varies with run times, and of how many hints. */
    private double meanLogHint;

    private double hintVariance;
    private double hintCovariance;
    private double hints;

    ClassRunTimes(JobClass jobClass, boolean weightByWork) {
        this.jobClass = jobClass;
        this.weightByWork = weightByWork;
        meanRunNs = Math.max(jobClass.latencyObjectiveNs(), 1);
        meanLogRun = Math.log(meanRunNs);
    }

    /** Logarithm of the expected run time in nanoseconds; a hint counts for as much as hints have told so far. */
    double expectedLog(Job job) {
        if (job.workNs() <= 0) {
            return meanLogRun;
        }
        double logHint = Math.log(job.workNs());
        double hintWeight = (HINT_PRIOR_RUNS + hints * (hintVariance > 0 ? hintCovariance / hintVariance : 1))
                / (HINT_PRIOR_RUNS + hints);
        return hints == 0 ? logHint : meanLogRun + Math.max(0, Math.min(1, hintWeight)) * (logHint - meanLogHint);
    }

    /** Priority weight of a unit of work: the order in which classes are served from the queue. */
    double weightPerWork() {
        return weightByWork ? jobClass.priorityWeight() : jobClass.priorityWeight() / (meanRunNs * meanRequiredSlots);
    }

    /** What being late loses of the weight, inverted: where it loses less, queues may be longer. */
    double waitTolerance() {
        return 1 / Math.max(0.1, 1 - jobClass.lateWeight());
    }

    /** How long a usual job may wait, in nanoseconds. */
    double usualSlackNs() {
        return jobClass.latencyObjectiveNs() + Math.max(0, jobClass.stretch() - 1) * Math.exp(meanLogRun);
    }

    /** A job has arrived whose client gives it so much time. */
    void recordBudget(long budgetNs) {
        longestBudgetNs = Math.max(longestBudgetNs, budgetNs);
    }

    /** A run has ended; {@code logRun} is the logarithm of {@code runNs}, its time at mean speed. */
    void recordRun(Job job, double logRun, double runNs) {
        double gain = Math.max(GAIN, 1 / (runs + 1));
        if (job.workNs() > 0) {
            double logHint = Math.log(job.workNs());
            double deviation = logHint - meanLogHint;
            double hintGain = Math.max(GAIN, 1 / ++hints);
            meanLogHint += deviation * hintGain;
            hintVariance += (deviation * (logHint - meanLogHint) - hintVariance) * hintGain;
            hintCovariance += (deviation * (logRun - meanLogRun) - hintCovariance) * hintGain;
        }
        double maxChange = runs > MANY_RUNS ? PerformanceIndex.MAX_CHANGE : UNLIMITED_CHANGE; // as indices are
        meanLogRun += Math.max(-maxChange, Math.min(maxChange, logRun - meanLogRun)) * gain;
        meanRunNs += (runNs - meanRunNs) * gain;
        runs++;
    }
}
