package beechseam.net;

import beechseam.core.Timer;
import beechseam.core.Timers;
import java.util.PriorityQueue;

/** Armed timers by their time. */
public final class TimerQueue implements Timers {
    private final PriorityQueue<Timer> queue = new PriorityQueue<>();

    @Override
    public void set(Timer timer, long at) {
        cancel(timer);
        timer.arm(at, true);
        queue.add(timer);
    }

    @Override
    public void cancel(Timer timer) {
        if (timer.armed()) {
            timer.arm(0, false);
            removeSame(timer);
        }
    }

    private void removeSame(Timer timer) {
        queue.removeIf(each -> each == timer); // compareTo is by time, so equality must not decide
    }

    /** Time until the next is due, at most {@code most}; 0 when one is due. */
    public long untilNext(long now, long most) {
        Timer next = queue.peek();
        return next == null ? most : Math.max(0, Math.min(most, next.due() - now));
    }

    /** Takes out the next that is due, or null. */
    public Timer due(long now) {
        Timer next = queue.peek();
        if (next == null || next.due() > now) {
            return null;
        }
        queue.poll();
        next.arm(next.due(), false);
        return next;
    }
}
