package beechseam.fleet.membership;

import java.util.PriorityQueue;

/**
 * The clock of one {@link Membership} as its host tells it, and the tasks scheduled on it. Tasks of one time run in
 * the order in which they were scheduled. Scheduling costs O(log n); a cancelled task stays queued until its time.
 * Times are nanoseconds.
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

        /** Prevents the task from running; without effect where it has run. */
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

    /** Sets the current time unless it is past that already. */
    void advanceTo(long atNs) {
        nowNs = Math.max(nowNs, atNs);
    }

    /** Runs the task once so much time has passed. */
    Timer after(long delayNs, Runnable task) {
        return at(nowNs + delayNs, task);
    }

    /** Runs the task at that time, or as soon as possible where it is past. */
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

    /** When the next task is due, {@code Long.MAX_VALUE} for never. */
    long nextDueNs() {
        while (!queue.isEmpty() && queue.peek().cancelled) {
            queue.poll();
        }
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().dueNs;
    }

    /** Runs all tasks that are due, those included that they schedule for now. */
    void runDue() {
        while (nextDueNs() <= nowNs) {
            queue.poll().task.run();
        }
    }

    /** Drops all tasks. */
    void clear() {
        queue.clear();
    }
}
