package beechseam.core;

/** Arms and cancels the engine's timers. Implemented by the host's event loop or a simulated clock. */
public interface Timers {
    /** Arms the timer for the time {@code at} of the clock, in nanoseconds, replacing any earlier setting. */
    void set(Timer timer, long at);

    /** Disarms the timer; no effect if it is not armed. */
    void cancel(Timer timer);
}
