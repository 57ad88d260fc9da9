package beechseam.core;

import beechseam.dispatch.Job;
import java.util.List;

/**
 * Handles requests from acceptance to the final answer. Each request gets exactly one final answer: the result of an
 * attempt, shed, or failed, at its deadline at the latest.
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
        boolean inUse = context.requests.find(correlation) != null
                || context.heldCorrelations.isHeld(correlation, context.now());
        if (inUse) {
            return null;
        }
        Request request =
                new Request(++lastId, correlation, job.jobClass(), context.now() + budgetNs, message, ingress);
        request.mustNotRepeat = context.mustNotRepeat(job.jobClass());
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
        // A budget shorter than twice the margin reserves only half of itself for sending the answer.
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

    /** Offers a request that was deferred by the send gate to the dispatcher, with its remaining budget. */
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
                if (request.mayHaveRun && request.mustNotRepeat) {
                    context.heldCorrelations.hold(request.correlation, context.now());
                }
                context.dispatcher().clientDisconnected(context.now(), request.id);
                context.requests.removeIfSettled(request);
            }
        });
    }

    /** Ends the request at its deadline; {@code stopping}: set by {@link #answerAllBy} and not by the client. */
    private void expire(Request request, boolean stopping) {
        if (!stopping) { // while stopping, the dispatcher would replace each attempt that ends by another
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
        // The dispatcher may still want to wait, but the time for an answer is over.
        if (request.attempts.stream().noneMatch(attempt -> attempt.begun)) {
            shed(request, maxRetryAfterNs); // safe to retry: nothing was ever sent
        } else {
            answerFailed(request, stopping ? "the node is stopping" : "no answer in time");
        }
        context.dispatcher().clientDisconnected(context.now(), request.id);
        context.requests.removeIfSettled(request);
    }

    /** Answers that the request was not executed and may safely be retried after that time (0: no advice). */
    void shed(Request request, long retryAfterNs) {
        context.counters.of(request.jobClass).recordShed();
        EngineTrace.requestShed(request.id, retryAfterNs);
        context.requests.finish(request);
        request.ingress.shed(request, retryAfterNs);
        context.requests.removeIfSettled(request);
    }

    /** Answers, by the dispatcher's decision, that the request failed; it may have taken effect. */
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
