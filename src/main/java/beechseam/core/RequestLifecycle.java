package beechseam.core;

import beechseam.dispatch.Job;
import java.util.List;

/**
 * Requests from their acceptance to their final answer, of which each gets exactly one: by its result, shed, failed,
 * or at its deadline.
 */
final class RequestLifecycle {
    private final EngineContext context;
    private final AttemptLifecycle attempts;
    private long lastId;
    private long lastAnswerAt = Long.MAX_VALUE;

    RequestLifecycle(EngineContext context, AttemptLifecycle attempts) {
        this.context = context;
        this.attempts = attempts;
    }

    Request submit(String correlation, Job job, Object message, Ingress ingress) {
        long budgetNs = job.budgetNs();
        if (context.requests.find(correlation) != null) {
            return null;
        }
        Request request =
                new Request(++lastId, correlation, job.jobClass(), context.now() + budgetNs, message, ingress);
        context.requests.add(request);
        context.counters.requestsAccepted++;
        setDeadline(request, budgetNs);
        EngineTrace.requestAccepted(request.id, job);
        if (context.sendGate().open()) {
            offer(request, job, budgetNs);
        } else {
            context.deferredWork.deferRequest(request, job);
        }
        return request;
    }

    private void setDeadline(Request request, long budgetNs) {
        // With little time in hand half of it is kept for the answer's way.
        long answerBy = request.deadlineAt - Math.min(Engine.ANSWER_MARGIN_NS, budgetNs / 2);
        boolean stopping = lastAnswerAt < answerBy;
        request.deadline = Timer.running(() -> context.events.submit(() -> expire(request, stopping)));
        context.timers.set(request.deadline, Math.min(answerBy, lastAnswerAt));
    }

    private void offer(Request request, Job job, long budgetNs) {
        context.events.submit(() -> context.dispatcher()
                .jobArrived(
                        context.now(),
                        new Job(
                                request.id,
                                job.jobClass(),
                                budgetNs,
                                job.workNs(),
                                job.slots(),
                                job.memory(),
                                job.firstAttempt())));
    }

    /** Offers a request that has waited for the send gate, with the time that it has left. */
    void offerDeferred(Request request, Job job) {
        offer(request, job, request.deadlineAt - context.now());
    }

    void answerAllBy(long at) {
        lastAnswerAt = at;
    }

    void clientDisconnected(Request request) {
        context.events.submit(() -> {
            if (!request.finished) {
                context.counters.clientsDisconnected++;
                context.requests.finish(request);
                context.dispatcher().clientDisconnected(context.now(), request.id);
                context.requests.removeIfSettled(request);
            }
        });
    }

    /** The deadline; {@code stopping}: it is the one that {@link #answerAllBy} sets, and not the client's. */
    private void expire(Request request, boolean stopping) {
        if (!stopping) { // told of the end of an attempt while stopping, the dispatcher would send another
            for (Attempt attempt : List.copyOf(request.attempts)) {
                attempts.timeOut(attempt);
            }
        }
        if (request.finished) {
            return;
        }
        long maxRetryAfterNs = context.limits.retryAfter() ? context.limits.maxRetryAfterNs() : 0;
        if (request.deferred) {
            shed(
                    request,
                    context.limits.retryAfter() ? Math.min(context.sendGate().opensWithinNs(), maxRetryAfterNs) : 0);
            return;
        }
        // The dispatcher would still wait, but the client does not.
        if (request.attempts.stream().noneMatch(attempt -> attempt.begun)) {
            shed(request, maxRetryAfterNs); // harmless: nothing was ever sent
        } else {
            answerFailed(request, stopping ? "the node is stopping" : "no answer in time");
        }
        context.dispatcher().clientDisconnected(context.now(), request.id);
        context.requests.removeIfSettled(request);
    }

    /** The final answer: not done, and harmless to retry after so many nanoseconds (0: no advice). */
    void shed(Request request, long retryAfterNs) {
        context.counters.of(request.jobClass).recordShed();
        EngineTrace.requestShed(request.id, retryAfterNs);
        context.requests.finish(request);
        request.ingress.shed(request, retryAfterNs);
        context.requests.removeIfSettled(request);
    }

    /** The final answer that the dispatcher decides on: failed, with no promise about its effect. */
    void fail(Request request) {
        EngineTrace.requestFailed(request.id);
        answerFailed(request, "it could not be done");
        context.requests.removeIfSettled(request);
    }

    private void answerFailed(Request request, String reason) {
        context.counters.of(request.jobClass).recordFailed();
        context.requests.finish(request);
        request.ingress.failed(request, reason);
    }
}
