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

/** What waits for the {@link SendGate} to open, in order of arrival. */
final class DeferredWork {
    private record DeferredJob(Request request, Job job) {}

    private final ArrayDeque<DeferredJob> jobs = new ArrayDeque<>();
    private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
    private final Set<Long> probes = new LinkedHashSet<>();

    /** A request that the module has not been offered. */
    void add(Request request, Job job) {
        request.deferred = true;
        jobs.add(new DeferredJob(request, job));
    }

    /** An attempt that the module has decided on and that has not begun. */
    void add(Attempt attempt) {
        attempt.deferred = true;
        attempts.add(attempt);
    }

    /** A probe of the target that has not been sent. */
    void add(long probedTarget) {
        probes.add(probedTarget);
    }

    boolean isEmpty() {
        return jobs.isEmpty() && attempts.isEmpty() && probes.isEmpty();
    }

    /** Hands on all that waits now; what is added meanwhile waits for the next call. */
    void release(BiConsumer<Request, Job> toModule, Consumer<Attempt> toEgress, LongConsumer toProbe) {
        List<DeferredJob> dueJobs = new ArrayList<>(jobs);
        List<Attempt> dueAttempts = new ArrayList<>(attempts);
        List<Long> dueProbes = new ArrayList<>(probes);
        jobs.clear();
        attempts.clear();
        probes.clear();
        for (Attempt each : dueAttempts) {
            each.deferred = false;
            if (!each.ended) {
                toEgress.accept(each);
            }
        }
        for (DeferredJob each : dueJobs) {
            each.request.deferred = false;
            if (!each.request.finished) {
                toModule.accept(each.request, each.job);
            }
        }
        dueProbes.forEach(toProbe::accept);
    }
}
