package beechseam.core;

import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import java.util.function.BooleanSupplier;

/**
 * Handles attempts from the dispatcher's decision to their end. The dispatcher is notified of each attempt's end
 * exactly once, whatever the egress reports and however often.
 */
final class AttemptLifecycle {
    /** The longest stall of the process, in nanoseconds, between reading its clock and writing the first byte. */
    private static final long MAX_STALL_NS = 150_000_000L;

    private final EngineContext context;

    AttemptLifecycle(EngineContext context) {
        this.context = context;
    }

    /** Sends the next attempt of the request; {@code timeoutNs} is 0 if it has no time limit of its own. */
    void send(Request request, long worker, long timeoutNs) {
        Timer timeout = timeoutNs == 0
                ? null
                : Timer.running(() -> {
                    Attempt inFlight = request.attemptAt(worker);
                    context.events.submit(() -> timeOut(inFlight));
                });
        Attempt attempt = new Attempt(request, request.attempts.size(), worker, timeout);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        context.counters.attemptsSent++;
        EngineTrace.attemptSent(request.id, attempt.number, worker);
        if (timeout != null) {
            context.timers.set(timeout, context.now() + timeoutNs);
        }
        if (context.sendGate().open()) {
            context.egress.send(attempt);
        } else {
            context.deferredWork.deferAttempt(attempt);
        }
    }

    /** Sends an attempt that was deferred by the send gate, unless its target accepts no new work any more. */
    void sendDeferred(Attempt attempt) {
        if (context.routes.acceptsNewWork(attempt.target)) {
            context.egress.send(attempt);
        } else {
            withhold(attempt, true);
        }
    }

    boolean tryBegin(Attempt attempt) {
        return tryBegin(attempt, () -> context.routes.acceptsNewWork(attempt.target));
    }

    boolean tryBeginReserved(Attempt attempt) {
        return tryBegin(attempt, () -> true);
    }

    private boolean tryBegin(Attempt attempt, BooleanSupplier targetAccepts) {
        Request request = attempt.request;
        if (attempt.ended) {
            return false;
        }
        if (!context.sendGate().open()) {
            context.deferredWork.deferAttempt(attempt);
            return false;
        }
        // isClientConnected may itself end the request or the attempt, so both are checked again after it.
        boolean wanted =
                !request.finished && request.ingress.isClientConnected(request) && !request.finished && !attempt.ended;
        if (wanted && targetAccepts.getAsBoolean() && context.now() < latestBegin(attempt)) {
            attempt.begun();
            return true;
        }
        withhold(attempt, wanted);
        return false;
    }

    /** The time of the clock from which the attempt must not begin, in ns. */
    long latestBegin(Attempt attempt) {
        return context.dispatcher().retryDeadline(attempt.request.id, attempt.number) - MAX_STALL_NS;
    }

    /** Ends the attempt with nothing sent; {@code wanted}: its client still waits for an answer. */
    private void withhold(Attempt attempt, boolean wanted) {
        context.counters.withheld += wanted ? 1 : 0;
        EngineTrace.attemptWithheld(attempt.request.id, attempt.number, attempt.target, wanted);
        ended(attempt, Outcome.NOT_SENT, null, null);
    }

    void started(Attempt attempt) {
        context.events.submit(() -> {
            attempt.acknowledged = true;
            if (!attempt.ended) {
                EngineTrace.attemptStarted(attempt.request.id, attempt.number, attempt.target);
                context.dispatcher().attemptStarted(context.now(), attempt.request.id, attempt.number);
            }
        });
    }

    void progressed(Attempt attempt, double done) {
        context.events.submit(() -> {
            attempt.acknowledged = true;
            if (!attempt.ended) {
                context.dispatcher().attemptProgressed(context.now(), attempt.request.id, attempt.number, done);
            }
        });
    }

    /**
     * Cancels an attempt as the dispatcher decided; no effect if the request has no attempt with that number or the
     * attempt has ended. If a request may have only one attempt in flight, the egress may delay the attempt's end until
     * the target cannot hold it any more.
     */
    void cancel(Request request, int number) {
        if (number < 0 || number >= request.attempts.size() || request.attempts.get(number).ended) {
            return;
        }
        Attempt attempt = request.attempts.get(number);
        if (request.finished || attempt.deferred || context.limits.hedging()) {
            abort(attempt);
        } else if (!context.egress.recall(attempt)) {
            return; // the egress reports its end later
        }
        ended(attempt, Outcome.CANCELLED, null, null);
    }

    /** Ends an attempt that got no answer in time, unless it is null or has ended; called only within an event. */
    void timeOut(Attempt attempt) {
        if (attempt != null && !attempt.ended) {
            abort(attempt);
            end(attempt, attempt.begun ? Outcome.TIMEOUT : Outcome.NOT_SENT, null, null);
        }
    }

    /** Cancels the attempt at the egress, unless the attempt is deferred and the egress does not have it. */
    private void abort(Attempt attempt) {
        if (!attempt.deferred) {
            context.egress.cancel(attempt);
        }
    }

    void ended(Attempt attempt, Outcome outcome, byte[] result, LoadReport load) {
        context.events.submit(() -> end(attempt, outcome, result, load));
    }

    private void end(Attempt attempt, Outcome outcome, byte[] result, LoadReport load) {
        if (attempt.ended) {
            return;
        }
        Request request = attempt.request;
        attempt.ended = true;
        recordWhetherRun(attempt, outcome);
        request.attemptsInFlight--;
        context.counters.recordOutcome(outcome);
        EngineTrace.attemptEnded(request.id, attempt.number, attempt.target, outcome, load);
        if (attempt.timeout != null) {
            context.timers.cancel(attempt.timeout);
        }
        if (outcome == Outcome.SERVED && !request.finished) {
            context.counters.of(request.jobClass).recordServed();
            context.requests.finish(request);
            request.ingress.served(request, result);
        }
        if (attempt.awaitsConfirmation()) {
            context.dispatcher().barWorker(context.now(), request.id, attempt.number);
        }
        context.dispatcher().attemptEnded(context.now(), request.id, attempt.number, outcome, request.finished, load);
        context.requests.removeIfSettled(request);
    }

    /** Holds the request's correlation id if the attempt may still run, or may have run for a client that has left. */
    private void recordWhetherRun(Attempt attempt, Outcome outcome) {
        Request request = attempt.request;
        boolean mayHaveRun = attempt.begun && !outcome.neverRan();
        boolean mayStillRun = outcome != Outcome.SERVED && outcome != Outcome.ERROR;
        request.mayHaveRun |= mayHaveRun;
        if (mayHaveRun && request.mustNotRepeat && (mayStillRun || request.finished)) {
            context.heldCorrelations.hold(request.correlation, context.now());
        }
    }
}
