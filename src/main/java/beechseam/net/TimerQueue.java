package beechseam.net;

import beechseam.core.Timer;
import beechseam.core.Timers;
import java.util.TreeSet;

/** Armed timers by their time; those of one time in the order in which they were set. */
public final class TimerQueue implements Timers {
    private final TreeSet<Timer> queue = new TreeSet<>();
    private long order;

    @Override
    public void set(Timer timer, long at) {
        cancel(timer);
        timer.arm(at, ++order);
        queue.add(timer);
    }

    @Override
    public void cancel(Timer timer) {
        if (timer.armed()) {
            queue.remove(timer);
            timer.disarm();
        }
    }

    /** Time until the next is due, at most {@code most}; 0 when one is due. */
    public long untilNext(long now, long most) {
        return queue.isEmpty() ? most : Math.max(0, Math.min(most, queue.first().due() - now));
    }

    /** Takes out the next that is due, or null. */
    public Timer due(long now) {
        if (queue.isEmpty() || queue.first().due() > now) {
            return null;
        }
        Timer next = queue.pollFirst();
        next.disarm();
        return next;
    }
}
