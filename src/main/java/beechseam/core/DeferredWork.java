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

/** Work that waits for the {@link SendGate} to open, in order of arrival; at most one health check per target. */
final class DeferredWork {
    private record DeferredRequest(Request request, Job job) {}

    private final ArrayDeque<DeferredRequest> requests = new ArrayDeque<>();
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    private final Set<Long> healthChecks = new LinkedHashSet<>();

    /** Defers a request that has not been offered to the dispatcher. */
    void deferRequest(Request request, Job job) {
        request.deferred = true;
        requests.add(new DeferredRequest(request, job));
    }

    /** Defers an attempt that the dispatcher has decided to send and that has not begun. */
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
     * Releases all work that is deferred now: first attempts, then requests, then health checks. Attempts that have
     * ended and requests that are finished are dropped. Work that is deferred during this call waits for the next call.
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
