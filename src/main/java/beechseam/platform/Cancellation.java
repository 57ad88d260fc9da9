package beechseam.platform;

import beechseam.http.HttpParser;
import beechseam.http.HttpWriter;
import java.nio.ByteBuffer;

/** The DELETE request that cancels an accepted job at its executor. */
final class Cancellation extends Exchange {
    private final EgressTarget target;
    private final String correlationId;
    private final Runnable onConfirmed;

    /**
     * Creates the request.
     *
     * @param onConfirmed runs when the executor confirms that it no longer holds the job
     */
    Cancellation(EgressTarget target, String correlationId, Runnable onConfirmed) {
        this.target = target;
        this.correlationId = correlationId;
        this.onConfirmed = onConfirmed;
    }

    @Override
    boolean tryBegin() {
        return !target.removed;
    }

    @Override
    ByteBuffer encodeRequest() {
        return HttpWriter.request(
                "DELETE",
                "/jobs/" + correlationId,
                target.host,
                "X-Correlation-Id: " + correlationId + "\r\n",
                Wire.EMPTY_BODY);
    }

    @Override
    void responseReceived(HttpParser response) {
        if (response.status() / 100 == 2) {
            onConfirmed.run();
        } // otherwise the job has ended there, and its callback is on the way
    }

    @Override
    void failed(boolean neverRan) {
        // An aborted attempt has already ended on this node; a recalled one stays in flight.
    }
}
