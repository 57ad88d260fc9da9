package beechseam.dispatch;

/**
 * The performance index (PI) of a worker or of a kind of worker: the mean logarithm of run time over expected run
 * time. Logarithms, because run times are heavy-tailed and their ratios, not their differences, are alike.
 */
final class PerformanceIndex {
    /** Weight of one run once there are many; its inverse is how many runs are remembered. */
    private static final double GAIN = 0.08;
    /** A single run moves the index by no more than this: a heavy tail is not a slow worker. */
    static final double MAX_CHANGE = 1.5;

    /** The mean logarithm, and of how many runs. */
    double meanLog;

    double runs;
    /** The most weight that discovery gave one of a kind, and the slots that one has; 0 while not known. */
    double largestWeight;

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
