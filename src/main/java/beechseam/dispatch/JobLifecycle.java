package beechseam.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What becomes of each job: it is sent or queued, its attempts are cancelled, hedged or migrated, and it gets its final
 * answer. A job is known from its arrival until it is answered and no attempt of it is in flight.
 */
final class JobLifecycle {
    private final DispatchContext context;
    private final FleetModel fleet;
    private final Policies policies;
    private final StatusLog statusLog;
    private final DispatchActions actions;
    /** Jobs by their numbers, in the order of arrival. */
    private final Map<Long, PendingJob> jobsInFlight = new LinkedHashMap<>();

    private final JobQueue queue = new JobQueue();

    /** What decides about a job. */
    record Policies(WorkerSelector selector, AdmissionPolicy admission, RetryPolicy retries, HedgingPolicy hedging) {}

    JobLifecycle(FleetModel fleet, Policies policies, StatusLog statusLog, DispatchActions actions) {
        this.context = fleet.context();
        this.fleet = fleet;
        this.policies = policies;
        this.statusLog = statusLog;
        this.actions = actions;
    }

    /** The job of this number, or null. */
    PendingJob job(long id) {
        return jobsInFlight.get(id);
    }

    /** The attempt of this number of this job, or null when it is not known or has ended. */
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

    /** Decides what becomes of a job with no attempt in flight: sent, queued, or its final answer. */
    void resolve(PendingJob job) {
        if (job.answered || job.inFlight > 0) {
            forgetIfDone(job);
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

    /** Sends queued jobs in their order, as far as there are workers under the threshold. */
    void dispatchQueue() {
        int place = 0;
        while (place < queue.size()) {
            PendingJob job = queue.get(place);
            WorkerState worker = policies.selector.select(job, false);
            if (worker != null) {
                queue.remove(place);
                send(job, worker);
            } else {
                place++;
            }
        }
    }

    /** Detects stalls of all attempts in flight, and gives jobs that are stuck a further one. */
    void checkAttempts() {
        for (PendingJob job : List.copyOf(jobsInFlight.values())) {
            for (Attempt attempt : job.attempts) {
                fleet.outliers().detectStall(attempt);
            }
            hedgeOrMigrate(job);
        }
    }

    /** Gives a stuck job a further attempt, or recalls its attempt, where another worker would still be in time. */
    private void hedgeOrMigrate(PendingJob job) {
        WorkerState worker = policies.hedging.isDue(job) ? policies.selector.select(job, true) : null;
        if (worker != null && policies.hedging.migrates()) {
            cancel(job.lastAttempt()); // resolve() sends the job on once the end is confirmed
        } else if (worker != null) {
            policies.hedging.spend();
            send(job, worker);
        }
    }

    /** Answers queued jobs whose time has passed. */
    void expireQueue() {
        for (PendingJob job : queue.snapshot()) {
            if (policies.admission.isExpired(job)) {
                queue.remove(job);
                answer(job);
            }
        }
    }

    /** The final answer to a job that is not served: shed where a further try is sure to be harmless, else failed. */
    private void answer(PendingJob job) {
        job.answered = true;
        if (AdmissionPolicy.mayShed(job)) {
            statusLog.recordShed();
            actions.shed(job.job.id(), context.limits.retryAfter() ? context.limits.maxRetryAfterNs() : 0);
        } else {
            statusLog.recordFailed();
            actions.fail(job.job.id());
        }
        forgetIfDone(job);
    }

    /** The job needs no answer any more. */
    void abandon(PendingJob job) {
        job.answered = true;
        queue.remove(job);
        cancelAttempts(job, null);
        forgetIfDone(job);
    }

    /** Cancels all attempts of the job except one, which may be null. */
    void cancelAttempts(PendingJob job, Attempt excluded) {
        for (Attempt attempt : job.attempts) {
            if (attempt != excluded) {
                cancelIfOpen(attempt);
            }
        }
    }

    /** Cancels all attempts of the job that wait at their workers: another one runs. */
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

    private void forgetIfDone(PendingJob job) {
        if (job.answered && job.inFlight == 0) {
            jobsInFlight.remove(job.job.id());
        }
    }
}
