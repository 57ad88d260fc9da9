package beechseam.platform;

import beechseam.config.ModuleOptions;
import beechseam.core.Attempt;
import beechseam.core.Engine;
import beechseam.core.Timer;
import beechseam.dispatch.Outcome;
import beechseam.http.HttpParser;
import beechseam.http.HttpWriter;
import beechseam.http.Slice;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * The POST request that submits an attempt to an executor. Status 202 means that the executor has accepted the job
 * and reports the outcome by a callback. Any other status is the outcome.
 */
final class Submission extends Exchange {
    private static final int ACCEPTED = 202;

    private final EgressPool pool;
    private final Engine engine;
    private final ModuleOptions options;
    private final Attempt attempt;
    private final EgressTarget target;
    /** Called with the correlation id when an attempt begins whose request must not be repeated. */
    private final Consumer<String> onBegun;

    private boolean accepted;
    private boolean aborted;
    /** When the last byte of the request was written, on the loop's clock. */
    private long writtenAt = Long.MAX_VALUE;

    private final Timer acceptTimeout = new Timer() {
        @Override
        protected void fire() {
            timedOut();
        }
    };

    Submission(
            EgressPool pool,
            Engine engine,
            ModuleOptions options,
            Attempt attempt,
            EgressTarget target,
            Consumer<String> onBegun) {
        this.pool = pool;
        this.engine = engine;
        this.options = options;
        this.attempt = attempt;
        this.target = target;
        this.onBegun = onBegun;
    }

    @Override
    boolean tryBegin() {
        boolean begins = !aborted && engine.tryBegin(attempt);
        if (begins && engine.mustNotRepeat(attempt.request)) {
            onBegun.accept(attempt.request.correlation);
        }
        return begins;
    }

    @Override
    ByteBuffer encodeRequest() {
        attempt.awaitsConfirmation(true);
        JobMessage message = (JobMessage) attempt.request.message;
        long timeLeftMs = Math.max(1, (attempt.request.deadlineAt - engine.now()) / 1_000_000L);
        return HttpWriter.request(
                "POST",
                message.target(),
                target.host,
                message.headers() + "X-Time-Left: " + timeLeftMs + "m\r\n",
                message.body());
    }

    @Override
    void requestWritten() {
        engine.counters().of(attempt.request.jobClass).written++;
        writtenAt = pool.loop.now();
        pool.loop.timers.set(acceptTimeout, writtenAt + pool.connectTimeoutNs);
    }

    /**
     * Expires only after the attempt has ended, since the executor cancels the job when the connection is closed
     * before the 202.
     */
    @Override
    boolean hasExpired(long nowNs) {
        return attempt.hasEnded() && nowNs - pool.connectTimeoutNs > writtenAt;
    }

    /**
     * Ends the attempt when the executor has neither responded nor reported anything: the job may have run, or may
     * still run later.
     */
    private void timedOut() {
        if (!attempt.hasEnded() && !attempt.acknowledged()) {
            engine.counters().silent++;
            abort();
            engine.attemptEnded(attempt, Outcome.TIMEOUT, null, null);
        }
    }

    @Override
    void responseReceived(HttpParser response) {
        pool.loop.timers.cancel(acceptTimeout);
        int status = response.status();
        if (status == ACCEPTED) {
            accepted = true;
            return;
        }
        Slice unprocessed = response.header("x-unprocessed");
        attempt.awaitsConfirmation(attempt.acknowledged()); // the response is final unless callbacks have arrived
        boolean neverRan = (status == 503 || status == 504) && unprocessed != null && unprocessed.same("1");
        engine.attemptEnded(
                attempt,
                neverRan ? Outcome.REJECTED : Outcome.ERROR,
                null,
                Wire.loadReport(options, response.header("x-backend-load")));
    }

    @Override
    void failed(boolean neverRan) {
        pool.loop.timers.cancel(acceptTimeout);
        if (neverRan && !attempt.hasEnded()) {
            attempt.awaitsConfirmation(false);
        }
        engine.attemptEnded(attempt, neverRan ? Outcome.UNREACHABLE : Outcome.LOST, null, null);
    }

    /**
     * Asks the executor to cancel the job so that it can be sent elsewhere. The attempt ends only when the executor
     * confirms this: otherwise the next attempt could reach its executor before this request arrives, and two
     * executors would hold the job. Before the 202 the executor cannot confirm, and the accept timeout ends the
     * attempt soon.
     */
    void recall() {
        if (accepted && !aborted && !target.removed) {
            cancelAtExecutor(() -> engine.attemptEnded(attempt, Outcome.CANCELLED, null, null));
        }
    }

    /**
     * Abandons the attempt. An accepted job is cancelled by a DELETE request. Before the 202 the connection is
     * closed, which cancels the job too and frees the connection of an executor that never responds.
     */
    void abort() {
        if (aborted) {
            return;
        }
        aborted = true;
        pool.loop.timers.cancel(acceptTimeout);
        if (accepted && !target.removed) {
            cancelAtExecutor(() -> {});
        } else if (connection != null) {
            connection.abort();
        }
    }

    private void cancelAtExecutor(Runnable onConfirmed) {
        pool.send(target, new Cancellation(target, attempt.request.correlation, onConfirmed));
    }
}
