package beechseam.core;

import beechseam.dispatch.Job;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** What waits for the {@link SendGate} to open, in order of arrival. A health check of a target waits but once. */
final class DeferredWork {
    private record DeferredRequest(Request request, Job job) {}

    private final ArrayDeque<DeferredRequest> requests = new ArrayDeque<>();
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    private final Set<Long> healthChecks = new LinkedHashSet<>();

    /** Defers a request that the dispatcher has not been offered. */
    void deferRequest(Request request, Job job) {
        request.deferred = true;
        requests.add(new DeferredRequest(request, job));
    }

    /** Defers an attempt that the dispatcher has decided on and that has not begun. */
    void deferAttempt(Attempt attempt) {
        attempt.deferred = true;
        attempts.add(attempt);
    }

    /** Defers a health check of the target. */
    void deferHealthCheck(long target) {
        healthChecks.add(target);
    }

    boolean isEmpty() {
        return requests.isEmpty() && attempts.isEmpty() && healthChecks.isEmpty();
    }

    /**
     * Hands on all that waits now, attempts first, but for what has ended or has its answer; what is deferred
     * meanwhile waits for the next call.
     */
    void release(BiConsumer<Request, Job> toDispatcher, Consumer<Attempt> toEgress, LongConsumer toHealthCheck) {
        List<DeferredRequest> dueRequests = new ArrayList<>(requests);
        List<Attempt> dueAttempts = new ArrayList<>(attempts);
        List<Long> dueHealthChecks = new ArrayList<>(healthChecks);
        requests.clear();
        attempts.clear();
        healthChecks.clear();
        for (Attempt attempt : dueAttempts) {
            attempt.deferred = false;
            if (!attempt.ended) {
                toEgress.accept(attempt);
            }
        }
        for (DeferredRequest each : dueRequests) {
            each.request.deferred = false;
            if (!each.request.finished) {
                toDispatcher.accept(each.request, each.job);
            }
        }
        dueHealthChecks.forEach(toHealthCheck::accept);
    }
}
