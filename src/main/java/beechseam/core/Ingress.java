package beechseam.core;

/** A front's side of a request: it gets exactly one of these calls, once. */
public interface Ingress {
    /** What an egress target gave for the request. */
    void served(Request request, byte[] result);

    /** Given up, and trying again is harmless after the pause (0: no advice). */
    void shed(Request request, long pauseNs);

    /** Given up, with no promise about its effect. */
    void failed(Request request, String why);

    /**
     * Whether the client still waits, as far as can be told at this instant: asked before an attempt's first
     * byte, since a client may have gone unnoticed in the turn in which the attempt is sent. One that has
     * gone may be told to {@link Engine#clientDisconnected} within the call.
     */
    default boolean isClientConnected(Request request) {
        return true;
    }
}
