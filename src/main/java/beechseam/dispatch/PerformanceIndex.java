package beechseam.dispatch;

/**
 * The performance index (PI) of a worker or of a kind of worker: the mean logarithm of run time over expected run
 * time. Logarithms are used because run times are heavy-tailed and workers differ by a ratio of run times, not by a
 * difference.
 */
final class PerformanceIndex {
    /** Least weight of one run; its inverse is the number of runs that the index remembers. */
    private static final double GAIN = 0.08;
    /** Limit on the deviation of a single run, because one very long run does not make a slow worker. */
    static final double MAX_CHANGE = 1.5;

    /** Mean logarithm of run time over expected run time. */
    double meanLog;
    /** Number of runs in the mean. */
    double runs;
    /** For a kind: the largest weight that discovery has listed for one of its workers; 0 while unknown. */
    double largestWeight;
    /** For a kind: the slots of one of its workers; 0 while unknown. */
    double slots;

    void set(double newMeanLog, double newRuns) {
        meanLog = newMeanLog;
        runs = newRuns;
    }

    void add(double logRatio) {
        runs++;
        meanLog += Math.max(-MAX_CHANGE, Math.min(MAX_CHANGE, logRatio - meanLog)) * Math.max(GAIN, 1 / (runs + 1));
    }
}
