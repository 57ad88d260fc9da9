package beechseam.core;

/**
 * An action that runs at a given time of the clock. The timer is its own handle: {@link Timers} arms and cancels it,
 * and it can be armed again after it has fired. Timers are ordered by due time, and those with the same due time by the
 * order in which they were set.
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

    /** Performs the timer's action. The timer is already disarmed when this is called. */
    protected abstract void fire();

    /** Fires the timer; called by the event loop when the timer is due. */
    public final void run() {
        fire();
    }

    /** The time for which the timer was last armed, on the clock, in nanoseconds. */
    public final long due() {
        return due;
    }

    /** Whether the timer has been armed and has neither fired nor been cancelled since. */
    public final boolean armed() {
        return armed;
    }

    /**
     * Arms the timer; called by the queue that contains it.
     *
     * @param at       the due time, on the clock, in nanoseconds
     * @param sequence a number that is unique in the queue and orders timers with the same due time
     */
    public final void arm(long at, long sequence) {
        due = at;
        order = sequence;
        armed = true;
    }

    /** Disarms the timer; called by the queue that no longer contains it. */
    public final void disarm() {
        armed = false;
    }

    @Override
    public final int compareTo(Timer other) {
        int byTime = Long.compare(due, other.due);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
