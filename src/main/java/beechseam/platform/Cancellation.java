package beechseam.platform;

import beechseam.http.HttpParser;
import beechseam.http.HttpWriter;
import java.nio.ByteBuffer;

/** A DELETE that takes an accepted job back from its executor. */
final class Cancellation extends Exchange {
    private final EgressTarget target;
    private final String correlationId;
    private final Runnable onConfirmed;

    /** {@code onConfirmed} runs when the executor says that it holds the job no more. */
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
        } // else the job has ended there, and its call-back is on its way
    }

    @Override
    void failed(boolean neverRan) {
        // An aborted attempt has ended here already; a recalled one stays in flight.
    }
}
