package beechseam.dispatch;

/**
 * Statistics of the run times of a class of jobs, which predict the run time of the next one. Clients' hints of run
 * times are weighted by the slope of the regression of run times on hints, both as logarithms, so that hints without
 * predictive value are ignored.
 */
final class ClassRunTimes {
    /** Runs after which the scale of run times is stabilized: else class means and worker indices drift apart. */
    static final int CALIBRATION_RUNS = 5000;
    /** Hints after which the regression outweighs the initial assumption that run times are proportional to hints. */
    private static final double HINT_PRIOR_RUNS = 10;
    /** Least weight of one run or hint in the means. */
    private static final double GAIN = 0.01;
    /** Limit on the change by one run before {@link #CALIBRATION_RUNS}; too high to take effect. */
    private static final double UNLIMITED_CHANGE = 1e3;

    final JobClass jobClass;
    private final boolean weightByWork;
    /** Mean logarithm of run times in nanoseconds. */
    double meanLogRun;
    /** Mean run time, in nanoseconds. */
    double meanRunNs;
    /** Number of runs in the means. */
    double runs;

    double meanRequiredSlots = 1;
    /** Longest budget that a client has given a job, in nanoseconds. */
    double longestBudgetNs;
    /** Mean logarithm of hints in nanoseconds. */
    private double meanLogHint;
    /** Variance of the logarithm of hints. */
    private double hintVariance;
    /** Covariance of the logarithms of hints and run times. */
    private double hintCovariance;
    /** Number of hints in the statistics. */
    private double hints;

    ClassRunTimes(JobClass jobClass, boolean weightByWork) {
        this.jobClass = jobClass;
        this.weightByWork = weightByWork;
        meanRunNs = Math.max(jobClass.latencyObjectiveNs(), 1);
        meanLogRun = Math.log(meanRunNs);
    }

    /** Logarithm of the expected run time in nanoseconds; a hint is weighted by how well earlier ones predicted. */
    double expectedLog(Job job) {
        if (job.workNs() <= 0) {
            return meanLogRun;
        }
        double logHint = Math.log(job.workNs());
        double hintWeight = (HINT_PRIOR_RUNS + hints * (hintVariance > 0 ? hintCovariance / hintVariance : 1))
                / (HINT_PRIOR_RUNS + hints);
        return hints == 0 ? logHint : meanLogRun + Math.max(0, Math.min(1, hintWeight)) * (logHint - meanLogHint);
    }

    /** Priority weight per unit of work; the queue serves classes in descending order of it. */
    double weightPerWork() {
        return weightByWork ? jobClass.priorityWeight() : jobClass.priorityWeight() / (meanRunNs * meanRequiredSlots);
    }

    /** Inverse of the share of its weight that a late job loses; classes that lose less tolerate longer queues. */
    double waitTolerance() {
        return 1 / Math.max(0.1, 1 - jobClass.lateWeight());
    }

    /** How long a job of typical run time may wait and still meet its latency objective, in nanoseconds. */
    double usualSlackNs() {
        return jobClass.latencyObjectiveNs() + Math.max(0, jobClass.stretch() - 1) * Math.exp(meanLogRun);
    }

    /** Records the budget of a job that has arrived, in nanoseconds. */
    void recordBudget(long budgetNs) {
        longestBudgetNs = Math.max(longestBudgetNs, budgetNs);
    }

    /** Records a run that has ended; {@code logRun} is the logarithm of {@code runNs}, its run time at mean speed. */
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
        // After calibration the limit is that of the performance indices: if only the indices were limited, skewed run
        // times would make class means and indices drift apart.
        double maxChange = runs > CALIBRATION_RUNS ? PerformanceIndex.MAX_CHANGE : UNLIMITED_CHANGE;
        meanLogRun += Math.max(-maxChange, Math.min(maxChange, logRun - meanLogRun)) * gain;
        meanRunNs += (runNs - meanRunNs) * gain;
        runs++;
    }
}
