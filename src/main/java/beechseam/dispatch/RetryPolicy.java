package beechseam.dispatch;

/**
 * Which further attempts of a job are allowed. One that never ran may be followed by any; one that may have run binds
 * the next by the class's idempotency: none, or a worker of the deduplication scope within its window, or any. A
 * budget in proportion to arrivals keeps retries from multiplying an overload.
 */
final class RetryPolicy {
    /** Retries (and hedges) for each job that arrives, and the most that all dispatchers together save up. */
    static final double BUDGET_PER_JOB = 0.1;

    static final double MAX_SAVED_BUDGET = 20;

    private final DispatchContext context;
    private double retryBudget = 1;

    RetryPolicy(DispatchContext context) {
        this.context = context;
    }

    void recordArrival() {
        double maxSaved = Math.max(1, MAX_SAVED_BUDGET / context.settings.dispatcherCount());
        retryBudget = Math.min(maxSaved, retryBudget + BUDGET_PER_JOB);
    }

    boolean hasBudget() {
        return retryBudget >= 1;
    }

    void spend() {
        retryBudget--;
    }

    /** Whether a next attempt is charged to the budget: an earlier one may have run. */
    boolean isCharged(PendingJob job) {
        // Where hedges are barred only a job that waited is recalled: it had not begun, and is no retry.
        return job.firstThatMayHaveRun() != null && (context.limits.hedging() || !job.lastAttempt().cancelled);
    }

    /** Whether the job may have a further attempt, as far as class, limit and budget go. */
    boolean mayAttempt(PendingJob job) {
        boolean mayHaveRun = job.firstThatMayHaveRun() != null;
        return !(mayHaveRun && job.jobClass.idempotency() == Idempotency.NON_IDEMPOTENT)
                && job.attempts.size() < context.limits.maxAttempts()
                && !(isCharged(job) && !hasBudget());
    }

    /** Whether an attempt at the worker is in flight, barred it, or was sent there only just. */
    boolean attemptedRecently(PendingJob job, WorkerState worker) {
        for (Attempt attempt : job.attempts) {
            boolean recent = !attempt.ended || context.now - attempt.sentAt < context.shortestObjectiveNs;
            if (attempt.worker.endpoint.id() == worker.endpoint.id() && (recent || attempt.barsWorker)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the worker would drop a retry of an attempt that ran, or none may have run. */
    boolean deduplicationScopeAllows(PendingJob job, WorkerState worker) {
        Attempt first = job.firstThatMayHaveRun();
        boolean bound = first != null && job.jobClass.idempotency() == Idempotency.KEYED;
        if (!bound || context.now > windowEnd(first) - context.tickNs) {
            return !bound;
        }
        WorkerEndpoint origin = first.worker.endpoint;
        WorkerEndpoint target = worker.endpoint;
        return switch (job.jobClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> target.zone().equals(origin.zone());
            case CELL -> target.cell() == origin.cell() && target.zone().equals(origin.zone());
        };
    }

    /** Until when the attempt of this number may begin, or {@link Long#MAX_VALUE}; the job may be null. */
    static long retryDeadline(PendingJob job, int number) {
        Attempt first = job == null ? null : job.firstThatMayHaveRun();
        boolean bound = first != null && first.number < number && job.jobClass.idempotency() == Idempotency.KEYED;
        return bound ? windowEnd(first) : Long.MAX_VALUE;
    }

    private static long windowEnd(Attempt first) {
        return first.sentAt + first.job.jobClass.idempotencyWindowNs();
    }
}
