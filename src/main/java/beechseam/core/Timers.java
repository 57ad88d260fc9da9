package beechseam.core;

/** Where the core sets its timers: the host's loop, or a simulated clock. */
public interface Timers {
    /** Arms the timer for that time of the clock, in nanoseconds, whatever it was armed for before. */
    void set(Timer timer, long at);

    /** Disarms the timer; no effect when it is not armed. */
    void cancel(Timer timer);
}
