package beechseam.core;

/**
 * The way to the egress targets. Every attempt handed over is reported once to {@link Engine#attemptEnded}, also one
 * that fails at once, but for those cancelled.
 */
public interface Egress {
    /**
     * Sends the attempt to its target. {@link Engine#tryBegin} must be asked just before its first byte. An attempt
     * that had to wait there for the {@link SendGate} is handed over again.
     */
    void send(Attempt attempt);

    /** Gives the attempt up: its end is decided, and nothing more is owed for it. */
    void cancel(Attempt attempt);

    /**
     * Recalls an attempt whose request goes on, and may have but one attempt in flight.
     *
     * @return true when it is given up as by {@link #cancel}; false when its end, CANCELLED or what it came to
     *     meanwhile, is still owed to {@link Engine#attemptEnded}, so that no other is sent while the target may
     *     hold this one
     */
    default boolean recall(Attempt attempt) {
        cancel(attempt);
        return true;
    }

    /** Asks the target for its load; {@link Engine#healthCheckCompleted} is owed once. */
    void healthCheck(long target);
}
