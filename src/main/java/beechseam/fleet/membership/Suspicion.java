package beechseam.fleet.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * Lifeguard's suspicion of one member. Its time-out starts at the maximum and shrinks towards the minimum with the
 * logarithm of the number of independent accusers. A single accuser, whose own link may be bad, therefore gives the
 * suspect the longest time to refute. Times are nanoseconds.
 */
final class Suspicion {
    private final Set<String> accusers = new HashSet<>();
    private final long startedNs;
    private final int expectedConfirmations;
    private long minTimeoutNs;
    private long maxTimeoutNs;
    /** Reports the death when it fires, unless it is cancelled. */
    private Timers.Timer timeout;

    /** @param expectedConfirmations number of accusers besides the first that shorten the time-out to its minimum */
    Suspicion(String accuser, long startedNs, long minTimeoutNs, long maxTimeoutNs, int expectedConfirmations) {
        accusers.add(accuser);
        this.startedNs = startedNs;
        this.minTimeoutNs = minTimeoutNs;
        this.maxTimeoutNs = maxTimeoutNs;
        this.expectedConfirmations = expectedConfirmations;
    }

    /** Schedules the time-out. Must be called exactly once. */
    void start(Timers timers, Runnable onTimeout) {
        timeout = timers.at(deadlineNs(), onTimeout);
    }

    /** Ends the suspicion without reporting a death. */
    void cancel() {
        timeout.cancel();
    }

    /**
     * Counts an accuser and shortens the time-out.
     *
     * @return false if this accuser, or the expected number of confirmations, has already been counted
     */
    boolean confirm(String accuser, Timers timers) {
        if (accusers.size() > expectedConfirmations || !accusers.add(accuser)) {
            return false;
        }
        timeout = timers.reschedule(timeout, Math.max(timers.nowNs(), deadlineNs()));
        return true;
    }

    /** Extends the time-out by the length of a pause of this process that ended at {@code atNs}. */
    void extend(long stallNs, long atNs, Timers timers) {
        maxTimeoutNs += stallNs;
        minTimeoutNs += stallNs;
        timeout = timers.reschedule(timeout, Math.max(timeout.dueNs(), atNs) + stallNs);
    }

    /** When the suspicion times out given the accusers counted so far; may be in the past. */
    long deadlineNs() {
        if (accusers.size() == 1) {
            return startedNs + maxTimeoutNs;
        }
        double fraction = Math.log(accusers.size()) / Math.log(expectedConfirmations + 1);
        long timeoutNs = (long) (maxTimeoutNs - fraction * (maxTimeoutNs - minTimeoutNs));
        return startedNs + Math.max(minTimeoutNs, timeoutNs);
    }
}
