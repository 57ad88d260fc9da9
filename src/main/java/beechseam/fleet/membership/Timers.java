package beechseam.fleet.membership;

import java.util.PriorityQueue;

/**
 * The clock of one {@link Membership}, which its host advances, and the tasks scheduled on it. Tasks due at the same
 * time run in the order in which they were scheduled. Scheduling costs O(log n). A cancelled task stays queued until
 * its time. Times are nanoseconds.
 */
final class Timers {
    /** A scheduled task. */
    static final class Timer implements Comparable<Timer> {
        private final long dueNs;
        private final long order;
        private final Runnable task;
        private boolean cancelled;

        private Timer(long dueNs, long order, Runnable task) {
            this.dueNs = dueNs;
            this.order = order;
            this.task = task;
        }

        /** When the task is due. */
        long dueNs() {
            return dueNs;
        }

        /** Prevents the task from running; has no effect if the task has already run. */
        void cancel() {
            cancelled = true;
        }

        @Override
        public int compareTo(Timer other) {
            return dueNs != other.dueNs ? Long.compare(dueNs, other.dueNs) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long nowNs;
    private long scheduled;

    Timers(long nowNs) {
        this.nowNs = nowNs;
    }

    /** The current time. */
    long nowNs() {
        return nowNs;
    }

    /** Sets the current time. */
    void setNow(long atNs) {
        nowNs = atNs;
    }

    /** Advances the current time; has no effect if {@code atNs} is in the past. */
    void advanceTo(long atNs) {
        nowNs = Math.max(nowNs, atNs);
    }

    /** Schedules the task to run after the delay. */
    Timer after(long delayNs, Runnable task) {
        return at(nowNs + delayNs, task);
    }

    /** Schedules the task to run at the given time, or as soon as possible if that is in the past. */
    Timer at(long dueNs, Runnable task) {
        Timer timer = new Timer(dueNs, ++scheduled, task);
        queue.add(timer);
        return timer;
    }

    /** Cancels the timer and schedules its task for another time. */
    Timer reschedule(Timer timer, long dueNs) {
        timer.cancel();
        return at(dueNs, timer.task);
    }

    /** When the next task is due, or {@code Long.MAX_VALUE} if no task is scheduled. */
    long nextDueNs() {
        while (!queue.isEmpty() && queue.peek().cancelled) {
            queue.poll();
        }
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().dueNs;
    }

    /** Runs all tasks that are due, including tasks that these schedule for the current time. */
    void runDue() {
        while (nextDueNs() <= nowNs) {
            queue.poll().task.run();
        }
    }

    /** Removes all tasks. */
    void clear() {
        queue.clear();
    }
}
