package beechseam.core;

/**
 * The front end of a request, which delivers its final answer to the client. For each request the engine calls exactly
 * one of {@link #served}, {@link #shed} and {@link #failed}, once, or none of them if the front end has reported before
 * that the client disconnected.
 */
public interface Ingress {
    /** Delivers the final answer: the target's result, as the egress passed it to the engine. */
    void served(Request request, byte[] result);

    /**
     * Delivers the final answer that the request was not executed and may safely be retried after {@code retryAfterNs}
     * nanoseconds (0: no advice).
     */
    void shed(Request request, long retryAfterNs);

    /** Delivers the final answer that the request failed and may have taken effect; the reason is for humans. */
    void failed(Request request, String reason);

    /**
     * Whether the client is still connected, as far as can be determined now. The engine checks this before an
     * attempt's first byte, because a client may have disconnected within the same turn of the event loop without being
     * noticed yet. An implementation may call {@link Engine#clientDisconnected} from within this method.
     */
    default boolean isClientConnected(Request request) {
        return true;
    }
}
