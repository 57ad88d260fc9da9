package beechseam.platform;

import beechseam.http.HttpParser;
import java.nio.ByteBuffer;

/** One request to an executor and its response. It ends by exactly one callback, or without one if dropped. */
abstract class Exchange {
    /** The connection that carries it, from the first byte of the request to the response; else null. */
    EgressConnection connection;

    /**
     * Called just before the first byte. False drops the exchange, which has then itself informed whoever
     * waits for it.
     */
    abstract boolean tryBegin();

    /** The whole request, encoded at the last moment. */
    abstract ByteBuffer encodeRequest();

    /** The last byte of the request has been handed to the kernel. */
    void requestWritten() {}

    /** Whether a response that is not complete at {@code nowNs}, on the loop's clock, is of no use any more. */
    boolean hasExpired(long nowNs) {
        return false;
    }

    /** The response is complete; the parser holds it during this call only. */
    abstract void responseReceived(HttpParser response);

    /**
     * No response will come.
     *
     * @param neverRan whether the executor cannot have seen the whole request
     */
    abstract void failed(boolean neverRan);
}
