package beechseam.net;

import beechseam.core.Timer;
import beechseam.core.Timers;
import java.util.TreeSet;

/**
 * Armed timers ordered by due time; those of one time in the order in which they were set. Setting, cancelling
 * and taking cost O(log n). It has no clock: times are ns of whichever clock its caller uses.
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

    /** Time in ns until the next timer is due, at most {@code maxNs}; 0 when one is due. */
    public long untilNext(long nowNs, long maxNs) {
        return queue.isEmpty()
                ? maxNs
                : Math.max(0, Math.min(maxNs, queue.first().due() - nowNs));
    }

    /** Takes out and disarms the first timer due at {@code nowNs}; null when none is. */
    public Timer due(long nowNs) {
        if (queue.isEmpty() || queue.first().due() > nowNs) {
            return null;
        }
        Timer next = queue.pollFirst();
        next.disarm();
        return next;
    }
}
