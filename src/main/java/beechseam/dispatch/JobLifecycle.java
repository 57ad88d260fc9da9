package beechseam.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks each job from its arrival until it is answered and has no attempt in flight: sends or queues it, cancels,
 * hedges or migrates its attempts, and gives the final answer if it is not served.
 */
final class JobLifecycle {
    private final DispatchContext context;
    private final FleetModel fleet;
    private final Policies policies;
    private final StatusLog statusLog;
    private final DispatchActions actions;
    /** Open jobs by id, in the order of arrival. */
    private final Map<Long, PendingJob> jobsInFlight = new LinkedHashMap<>();

    private final JobQueue queue = new JobQueue();

    /** The policies that decide about a job. */
    record Policies(WorkerSelector selector, AdmissionPolicy admission, RetryPolicy retries, HedgingPolicy hedging) {}

    JobLifecycle(FleetModel fleet, Policies policies, StatusLog statusLog, DispatchActions actions) {
        this.context = fleet.context();
        this.fleet = fleet;
        this.policies = policies;
        this.statusLog = statusLog;
        this.actions = actions;
    }

    /** The open job with this id, or null. */
    PendingJob job(long id) {
        return jobsInFlight.get(id);
    }

    /** The attempt of this job with this number, or null if it is unknown or has ended. */
    Attempt openAttempt(long jobId, int number) {
        PendingJob job = jobsInFlight.get(jobId);
        return job == null ? null : job.openAttempt(number);
    }

    boolean isIdle() {
        return jobsInFlight.isEmpty();
    }

    int queued() {
        return queue.size();
    }

    void add(PendingJob job) {
        jobsInFlight.put(job.job.id(), job);
    }

    /** Sends or queues a job that has no attempt in flight, or gives its final answer. */
    void resolve(PendingJob job) {
        if (job.answered || job.inFlight > 0) {
            removeIfDone(job);
            return;
        }
        if (!policies.retries.mayAttempt(job) || policies.admission.isExpired(job)) {
            answer(job);
            return;
        }
        if (policies.retries.isCharged(job)) {
            policies.retries.spend();
        }
        WorkerState worker = policies.selector.select(job, false);
        if (worker != null) {
            send(job, worker);
        } else {
            queue.enqueue(job);
        }
    }

    private void send(PendingJob job, WorkerState worker) {
        boolean foundSlotsAvailable = fleet.loads().rawLoad(worker) + job.requiredSlots <= worker.slots;
        Attempt attempt = new Attempt(job, worker, context.now, foundSlotsAvailable);
        job.attempts.add(attempt);
        job.inFlight++;
        worker.inFlight.add(attempt);
        policies.selector.recordSend(worker);
        fleet.transferCost().recordSend(worker);
        fleet.loads().recordInFlight(worker, job.requiredSlots);
        fleet.slowStart().recordSend(worker, job);
        actions.send(job.job.id(), worker.endpoint.id(), 0);
    }

    /** Sends each queued job, in queue order, for which a worker is under the reject threshold. */
    void dispatchQueue() {
        int index = 0;
        while (index < queue.size()) {
            PendingJob job = queue.get(index);
            WorkerState worker = policies.selector.select(job, false);
            if (worker != null) {
                queue.remove(index);
                send(job, worker);
            } else {
                index++;
            }
        }
    }

    /** Detects stalled attempts, and hedges or migrates the jobs that are stuck. */
    void checkAttempts() {
        for (PendingJob job : List.copyOf(jobsInFlight.values())) {
            for (Attempt attempt : job.attempts) {
                fleet.outliers().detectStall(attempt);
            }
            hedgeOrMigrate(job);
        }
    }

    /** Sends a hedge of a stuck job, or recalls its attempt, if another worker can still serve the job in time. */
    private void hedgeOrMigrate(PendingJob job) {
        WorkerState worker = policies.hedging.isDue(job) ? policies.selector.select(job, true) : null;
        if (worker != null && policies.hedging.migrates()) {
            cancel(job.lastAttempt()); // resolve() sends the job on once the end is confirmed
        } else if (worker != null) {
            policies.hedging.spend();
            send(job, worker);
        }
    }

    /** Gives queued jobs that have expired their final answer. */
    void expireQueue() {
        for (PendingJob job : queue.snapshot()) {
            if (policies.admission.isExpired(job)) {
                queue.remove(job);
                answer(job);
            }
        }
    }

    /** Gives the final answer to a job that is not served: shed if a retry is certainly harmless, otherwise failed. */
    private void answer(PendingJob job) {
        job.answered = true;
        if (AdmissionPolicy.mayShed(job)) {
            statusLog.recordShed();
            actions.shed(job.job.id(), context.limits.retryAfter() ? context.limits.maxRetryAfterNs() : 0);
        } else {
            statusLog.recordFailed();
            actions.fail(job.job.id());
        }
        removeIfDone(job);
    }

    /** Closes a job that needs no answer any more, and cancels its attempts. */
    void abandon(PendingJob job) {
        job.answered = true;
        queue.remove(job);
        cancelAttempts(job, null);
        removeIfDone(job);
    }

    /** Cancels all open attempts of the job except {@code excluded}, which may be null. */
    void cancelAttempts(PendingJob job, Attempt excluded) {
        for (Attempt attempt : job.attempts) {
            if (attempt != excluded) {
                cancelIfOpen(attempt);
            }
        }
    }

    /** Cancels the attempts of the job that have not started, because another one has. */
    void cancelWaitingAttempts(PendingJob job) {
        for (Attempt attempt : job.attempts) {
            if (!attempt.hasStarted()) {
                cancelIfOpen(attempt);
            }
        }
    }

    private void cancelIfOpen(Attempt attempt) {
        if (context.limits.cancel() && !attempt.ended && !attempt.cancelled) {
            cancel(attempt);
        }
    }

    private void cancel(Attempt attempt) {
        attempt.cancelled = true;
        actions.cancel(attempt.job.job.id(), attempt.number);
    }

    private void removeIfDone(PendingJob job) {
        if (job.answered && job.inFlight == 0) {
            jobsInFlight.remove(job.job.id());
        }
    }
}
