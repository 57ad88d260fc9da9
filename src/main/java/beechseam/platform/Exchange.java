package beechseam.platform;

import beechseam.http.HttpParser;
import java.nio.ByteBuffer;

/** One request to an executor and its response. Exactly one callback ends it, or none if it is dropped. */
abstract class Exchange {
    /** The connection in use, from the first byte of the request to the end of the response; otherwise null. */
    EgressConnection connection;

    /**
     * Called just before the first byte is written; returns whether to send the request. An exchange that returns
     * false is dropped without a further callback, and must already have notified its owner.
     */
    abstract boolean tryBegin();

    /** Encodes the whole request; called just before it is written. */
    abstract ByteBuffer encodeRequest();

    /** Called when the last byte of the request has been written to the socket. */
    void requestWritten() {}

    /** Whether an incomplete response is no longer needed at {@code nowNs}, on the loop's clock. */
    boolean hasExpired(long nowNs) {
        return false;
    }

    /** Called when the response is complete. The parser holds it only during this call. */
    abstract void responseReceived(HttpParser response);

    /**
     * Called when the exchange has failed without a response.
     *
     * @param neverRan whether the executor cannot have received the whole request
     */
    abstract void failed(boolean neverRan);
}
