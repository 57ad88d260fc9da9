package beechseam.fleet.membership;

import java.util.HashSet;
import java.util.Set;

/**
 * Lifeguard's suspicion of one member: its time-out starts at the maximum and shrinks towards the minimum with the
 * logarithm of the number of independent accusers, so that one member with a bad link cannot confirm a death alone
 * that many others could not observe. Times are nanoseconds.
 */
final class Suspicion {
    private final Set<String> accusers = new HashSet<>();
    private final long startedNs;
    private final int expectedConfirmations;
    private long minTimeoutNs;
    private long maxTimeoutNs;
    /** Confirms the death unless cancelled. */
    private Timers.Timer timeout;

    /** @param expectedConfirmations so many accusers beside the first shorten the time-out to its minimum */
    Suspicion(String accuser, long startedNs, long minTimeoutNs, long maxTimeoutNs, int expectedConfirmations) {
        accusers.add(accuser);
        this.startedNs = startedNs;
        this.minTimeoutNs = minTimeoutNs;
        this.maxTimeoutNs = maxTimeoutNs;
        this.expectedConfirmations = expectedConfirmations;
    }

    /** Schedules the time-out; to be called once. */
    void start(Timers timers, Runnable onTimeout) {
        timeout = timers.at(deadlineNs(), onTimeout);
    }

    /** Ends the suspicion without a result. */
    void cancel() {
        timeout.cancel();
    }

    /** Counts an accuser and shortens the time-out; false where that one, or enough, are counted already. */
    boolean confirm(String accuser, Timers timers) {
        if (accusers.size() > expectedConfirmations || !accusers.add(accuser)) {
            return false;
        }
        timeout = timers.reschedule(timeout, Math.max(timers.nowNs(), deadlineNs()));
        return true;
    }

    /** Grants the suspect the time for which this process was paused until {@code atNs}. */
    void extend(long stallNs, long atNs, Timers timers) {
        maxTimeoutNs += stallNs;
        minTimeoutNs += stallNs;
        timeout = timers.reschedule(timeout, Math.max(timeout.dueNs(), atNs) + stallNs);
    }

    /** The time-out by the accusers counted so far, which may be past already. */
    long deadlineNs() {
        if (accusers.size() == 1) {
            return startedNs + maxTimeoutNs;
        }
        double fraction = Math.log(accusers.size()) / Math.log(expectedConfirmations + 1);
        long timeoutNs = (long) (maxTimeoutNs - fraction * (maxTimeoutNs - minTimeoutNs));
        return startedNs + Math.max(minTimeoutNs, timeoutNs);
    }
}
