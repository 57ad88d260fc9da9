package beechseam.core;

/**
 * The way to the egress targets. Every attempt handed over is reported once to {@link Engine#attemptEnded}, also one
 * that fails at once, but for those cancelled.
 */
public interface Egress {
    void send(Attempt attempt);

    /** The node no longer waits for the attempt; nothing more is owed for it. */
    void cancel(Attempt attempt);

    /**
     * Takes back an attempt whose request goes on, and may have but one attempt out. True: it is given up as
     * by {@link #cancel}. False: its end, CANCELLED or what it came to meanwhile, is still owed to
     * {@link Engine#attemptEnded}, so that no other is sent while the target may hold this one.
     */
    default boolean recall(Attempt attempt) {
        cancel(attempt);
        return true;
    }

    /** Ask the target for its load; {@link Engine#healthCheckCompleted} is owed once. */
    void healthCheck(long target);
}
