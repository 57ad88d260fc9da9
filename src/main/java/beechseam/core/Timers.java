package beechseam.core;

/** Where the core sets its timers. */
public interface Timers {
    /** Arms the timer for that time of the clock, whatever it was armed for before. */
    void set(Timer timer, long at);

    void cancel(Timer timer);
}
