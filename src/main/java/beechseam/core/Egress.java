package beechseam.core;

/**
 * Sends attempts and health checks to the targets. The egress calls {@link Engine#attemptEnded} exactly once for every
 * attempt, including an attempt that fails immediately, except for a cancelled one.
 */
public interface Egress {
    /**
     * Sends the attempt to its target. The egress must call {@link Engine#tryBegin}, or {@link
     * Engine#tryBeginReserved}, just before the first byte. An attempt that was deferred there by the {@link SendGate}
     * is passed to this method again.
     */
    void send(Attempt attempt);

    /** Cancels the attempt. The engine records its end; the egress does not report it. */
    void cancel(Attempt attempt);

    /**
     * Recalls an attempt whose request continues and may have only one attempt in flight.
     *
     * @return true if the attempt is cancelled as by {@link #cancel}; false if the egress will still report its end to
     *     {@link Engine#attemptEnded}, as CANCELLED or with the outcome that it had meanwhile, so that no other attempt
     *     is sent while the target may hold this one
     */
    default boolean recall(Attempt attempt) {
        cancel(attempt);
        return true;
    }

    /** Requests the target's load; the egress reports the result once to {@link Engine#healthCheckCompleted}. */
    void healthCheck(long target);
}
