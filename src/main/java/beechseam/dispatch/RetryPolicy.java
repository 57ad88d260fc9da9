package beechseam.dispatch;

/**
 * Decides which further attempts of a job are allowed. An attempt that never ran does not restrict the next one. After
 * an attempt that may have run, a non-idempotent job gets no further attempt, a keyed job only one at a worker of the
 * deduplication scope within the idempotency window, and an idempotent job one at any worker. A budget in proportion to
 * arrivals keeps retries from amplifying an overload.
 */
final class RetryPolicy {
    /** Retries (and hedges) that each arriving job adds to the budget. */
    static final double BUDGET_PER_JOB = 0.1;
    /** Maximum number of retries that all dispatchers together save up. */
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

    /** Whether the next attempt is charged to the budget, because an earlier one may have run. */
    boolean isCharged(PendingJob job) {
        // Without hedging only an attempt that has not started is recalled; sending the job on is not a retry.
        return job.firstThatMayHaveRun() != null && (context.limits.hedging() || !job.lastAttempt().cancelled);
    }

    /** Whether the class's idempotency, the attempt limit and the retry budget allow a further attempt of the job. */
    boolean mayAttempt(PendingJob job) {
        boolean mayHaveRun = job.firstThatMayHaveRun() != null;
        return !(mayHaveRun && job.jobClass.idempotency() == Idempotency.NON_IDEMPOTENT)
                && job.attempts.size() < context.limits.maxAttempts()
                && !(isCharged(job) && !hasBudget());
    }

    /** Whether an attempt at the worker is in flight, barred it, or was sent within the shortest latency objective. */
    boolean attemptedRecently(PendingJob job, WorkerState worker) {
        for (Attempt attempt : job.attempts) {
            boolean recent = !attempt.ended || context.now - attempt.sentAt < context.shortestObjectiveNs;
            if (attempt.worker.endpoint.id() == worker.endpoint.id() && (recent || attempt.barsWorker)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether the worker may get a further attempt of the job. If an attempt of a keyed job may have run, the worker
     * must be in the deduplication scope and the idempotency window must last for at least another tick.
     */
    boolean deduplicationScopeAllows(PendingJob job, WorkerState worker) {
        Attempt first = job.firstThatMayHaveRun();
        boolean restricted = first != null && job.jobClass.idempotency() == Idempotency.KEYED;
        if (!restricted || context.now > windowEnd(first) - context.tickNs) {
            return !restricted;
        }
        WorkerEndpoint origin = first.worker.endpoint;
        WorkerEndpoint target = worker.endpoint;
        return switch (job.jobClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> target.zone().equals(origin.zone());
            case CELL -> target.cell() == origin.cell() && target.zone().equals(origin.zone());
        };
    }

    /** The latest time at which this attempt may begin, or {@link Long#MAX_VALUE} for any; the job may be null. */
    static long retryDeadline(PendingJob job, int number) {
        Attempt first = job == null ? null : job.firstThatMayHaveRun();
        boolean restricted = first != null && first.number < number && job.jobClass.idempotency() == Idempotency.KEYED;
        return restricted ? windowEnd(first) : Long.MAX_VALUE;
    }

    private static long windowEnd(Attempt first) {
        return first.sentAt + first.job.jobClass.idempotencyWindowNs();
    }
}
