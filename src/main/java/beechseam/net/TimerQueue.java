package beechseam.net;

import beechseam.core.Timer;
import beechseam.core.Timers;
import java.util.TreeSet;

/**
 * Armed timers ordered by due time; timers with the same due time are in the order in which they were set. Setting,
 * cancelling and removing a timer take O(log n). The queue has no clock: times are ns of the caller's clock.
 */
public final class TimerQueue implements Timers {
    private final TreeSet<Timer> queue = new TreeSet<>();
    private long lastSequence;

    @Override
    public void set(Timer timer, long at) {
        cancel(timer);
        timer.arm(at, ++lastSequence);
        queue.add(timer);
    }

    @Override
    public void cancel(Timer timer) {
        if (timer.armed()) {
            queue.remove(timer);
            timer.disarm();
        }
    }

    /** Returns the time in ns until the next timer is due, at most {@code maxNs}; 0 if one is due now. */
    public long untilNext(long nowNs, long maxNs) {
        return queue.isEmpty()
                ? maxNs
                : Math.max(0, Math.min(maxNs, queue.first().due() - nowNs));
    }

    /** Removes, disarms and returns the first timer that is due at {@code nowNs}; null if none is. */
    public Timer due(long nowNs) {
        if (queue.isEmpty() || queue.first().due() > nowNs) {
            return null;
        }
        Timer next = queue.pollFirst();
        next.disarm();
        return next;
    }
}
