package beechseam.core;

/**
 * An action at a time of the clock. It is its own handle: {@link Timers} arms and cancels it, and it can be armed
 * again once it has fired. Timers are ordered by their time, and those of one time by the order in which they were
 * set.
 */
public abstract class Timer implements Comparable<Timer> {
    private long due;
    private long order;
    private boolean armed;

    /** A timer that runs the action. */
    static Timer running(Runnable action) {
        return new Timer() {
            @Override
            protected void fire() {
                action.run();
            }
        };
    }

    /** What to do at its time. The timer is no longer armed by then. */
    protected abstract void fire();

    /** Fires it; called by the loop that finds it due. */
    public final void run() {
        fire();
    }

    /** The time it was last armed for, by the clock, in nanoseconds. */
    public final long due() {
        return due;
    }

    /** Whether it has been armed and has neither fired nor been cancelled since. */
    public final boolean armed() {
        return armed;
    }

    /**
     * Arms it; called by the queue that holds it.
     *
     * @param at       its time, by the clock, in nanoseconds
     * @param sequence a number that no other timer of the queue has, which orders those of one time
     */
    public final void arm(long at, long sequence) {
        due = at;
        order = sequence;
        armed = true;
    }

    /** Disarms it; called by the queue that no longer holds it. */
    public final void disarm() {
        armed = false;
    }

    @Override
    public final int compareTo(Timer other) {
        int byTime = Long.compare(due, other.due);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
