package beechseam.core;

import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;

/**
 * Attempts from the dispatcher's decision to their one end, of which the dispatcher is told exactly once, whatever
 * the egress reports and however often.
 */
final class AttemptLifecycle {
    /** A process may be held up for so long between reading its clock and writing. */
    private static final long MAX_STALL_NS = 150_000_000L;

    private final EngineContext context;

    AttemptLifecycle(EngineContext context) {
        this.context = context;
    }

    /** Sends the next attempt of the request; {@code timeoutNs} 0: it has no time limit of its own. */
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

    /** Sends an attempt that has waited for the send gate: its target may be listed otherwise by now. */
    void sendDeferred(Attempt attempt) {
        if (context.routes.acceptsNewWork(attempt.target)) {
            context.egress.send(attempt);
        } else {
            withhold(attempt, true);
        }
    }

    boolean tryBegin(Attempt attempt) {
        Request request = attempt.request;
        if (attempt.ended) {
            return false;
        }
        if (!context.sendGate().open()) {
            context.deferredWork.deferAttempt(attempt);
            return false;
        }
        // Asking the ingress may itself end the request or the attempt.
        boolean wanted =
                !request.finished && request.ingress.isClientConnected(request) && !request.finished && !attempt.ended;
        if (wanted && context.routes.acceptsNewWork(attempt.target) && context.now() < latestBegin(attempt)) {
            attempt.begun();
            return true;
        }
        withhold(attempt, wanted);
        return false;
    }

    private long latestBegin(Attempt attempt) {
        return context.dispatcher().retryDeadline(attempt.request.id, attempt.number) - MAX_STALL_NS;
    }

    /** It ends with nothing sent; {@code wanted}: its client still waits. */
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
     * Cancels an attempt for the dispatcher; no effect when there is none of that number or it has ended. Where a
     * request may have but one attempt in flight, the egress may put its end off until the target cannot hold it any
     * more.
     */
    void cancel(Request request, int number) {
        if (number < 0 || number >= request.attempts.size() || request.attempts.get(number).ended) {
            return;
        }
        Attempt attempt = request.attempts.get(number);
        if (request.finished || attempt.deferred || context.limits.hedging()) {
            abort(attempt);
        } else if (!context.egress.recall(attempt)) {
            return; // the egress owes its end
        }
        ended(attempt, Outcome.CANCELLED, null, null);
    }

    /** Within an event: ends the attempt for want of an answer in time, unless it is null or has ended. */
    void timeOut(Attempt attempt) {
        if (attempt != null && !attempt.ended) {
            abort(attempt);
            end(attempt, attempt.begun ? Outcome.TIMEOUT : Outcome.NOT_SENT, null, null);
        }
    }

    /** The attempt's answer is not wanted any more. */
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
}
