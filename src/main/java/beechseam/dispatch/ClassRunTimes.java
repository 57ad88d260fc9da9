package beechseam.dispatch;

/** Run times of a class of jobs, by which a job's own is expected, and what its worth weighs. */
final class ClassRunTimes {
    /** Runs after which the scale of run times and indices is held: else the two drift apart. */
    static final int MANY_RUNS = 5000;
    /** Runs for which a hint is believed as it stands, before what hints have told outweighs that. */
    private static final double HINT_TRUST = 10;

    final JobClass of;
    private final boolean worthByWork;
    /** The mean logarithm of run times and their mean, in nanoseconds, and of how many runs. */
    double logRun;

    double meanRunNs;
    double runs;
    /** The mean of the slots that a job needs. */
    double meanNeed = 1;
    /** The most time that a client has given, in nanoseconds. */
    double longestBudgetNs;
    /** The mean logarithm of hints, how it varies and varies with run times, and of how many hints. */
    private double logHint;

    private double hintVariance;
    private double hintCovariance;
    private double hints;

    ClassRunTimes(JobClass of, boolean worthByWork) {
        this.of = of;
        this.worthByWork = worthByWork;
        meanRunNs = Math.max(of.latencyObjectiveNs(), 1);
        logRun = Math.log(meanRunNs);
    }

    /** Logarithm of the expected run time; a hint counts for as much as hints have told so far. */
    double expectedLog(Job job) {
        if (job.workNs() <= 0) {
            return logRun;
        }
        double hint = Math.log(job.workNs());
        double trust =
                (HINT_TRUST + hints * (hintVariance > 0 ? hintCovariance / hintVariance : 1)) / (HINT_TRUST + hints);
        return hints == 0 ? hint : logRun + Math.max(0, Math.min(1, trust)) * (hint - logHint);
    }

    /** Worth of a unit of work. */
    double density() {
        return worthByWork ? of.priorityWeight() : of.priorityWeight() / (meanRunNs * meanNeed);
    }

    /** What being late loses of the worth, inverted: where it loses less, queues may be longer. */
    double patience() {
        return 1 / Math.max(0.1, 1 - of.lateWeight());
    }

    /** How long a usual job may wait, in nanoseconds. */
    double slackNs() {
        return of.latencyObjectiveNs() + Math.max(0, of.stretch() - 1) * Math.exp(logRun);
    }

    /** A run has ended; {@code log} is the logarithm of its time at mean speed. */
    void learn(Job job, double log, double runNs) {
        double gain = Math.max(0.01, 1 / (runs + 1));
        if (job.workNs() > 0) {
            double hint = Math.log(job.workNs());
            double off = hint - logHint;
            double hintGain = Math.max(0.01, 1 / ++hints);
            logHint += off * hintGain;
            hintVariance += (off * (hint - logHint) - hintVariance) * hintGain;
            hintCovariance += (off * (log - logRun) - hintCovariance) * hintGain;
        }
        double most = runs > MANY_RUNS ? PerformanceIndex.MOST_CHANGE : 1e3; // as indices are
        logRun += Math.max(-most, Math.min(most, log - logRun)) * gain;
        meanRunNs += (runNs - meanRunNs) * gain;
        runs++;
    }
}
