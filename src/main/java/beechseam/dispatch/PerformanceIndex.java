package beechseam.dispatch;

/** The performance index (PI) of a worker or kind: the mean logarithm of run time over what was expected. */
final class PerformanceIndex {
    /** Weight of one run once there are many; its inverse is how many runs are remembered. */
    private static final double GAIN = 0.08;
    /** A single run moves the index by no more than this: a heavy tail is not a slow worker. */
    static final double MOST_CHANGE = 1.5;

    /** The mean logarithm, and of how many runs. */
    double log;

    double runs;
    /** The most weight that discovery gave one of a kind, and the slots that one has; 0 while not known. */
    double size;

    double slots;

    void set(double theLog, double theRuns) {
        log = theLog;
        runs = theRuns;
    }

    void add(double value) {
        runs++;
        log += Math.max(-MOST_CHANGE, Math.min(MOST_CHANGE, value - log)) * Math.max(GAIN, 1 / (runs + 1));
    }
}
