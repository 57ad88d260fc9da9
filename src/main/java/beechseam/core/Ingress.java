package beechseam.core;

/**
 * A front end's side of a request. It gets exactly one of {@link #served}, {@link #shed} and {@link #failed}, once,
 * unless it reports first that its client has gone.
 */
public interface Ingress {
    /** The final answer: the result that a target gave, as the egress handed it to the engine. */
    void served(Request request, byte[] result);

    /** The final answer: not done, and harmless to retry after so many nanoseconds (0: no advice). */
    void shed(Request request, long retryAfterNs);

    /** The final answer: given up, with no promise about its effect; the reason is text for people. */
    void failed(Request request, String reason);

    /**
     * Whether the client still waits, as far as can be told at this instant: asked before an attempt's first
     * byte, since a client may have gone unnoticed in the turn in which the attempt is sent. One that has
     * gone may be reported to {@link Engine#clientDisconnected} within the call.
     */
    default boolean isClientConnected(Request request) {
        return true;
    }
}
