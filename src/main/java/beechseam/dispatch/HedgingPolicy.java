package beechseam.dispatch;

/**
 * When a job whose only attempt is stuck gets a second one elsewhere. Where a job may have but one attempt in flight,
 * one that waits migrates instead: it is recalled, and sent on once its end is confirmed.
 */
final class HedgingPolicy {
    /** An attempt that has not begun is stuck after this share of its class's objective. */
    private static final double STUCK_FRACTION = 0.25;

    private final DispatchContext context;
    private final RetryPolicy retries;
    private final OutlierDetector outliers;
    private double hedgingBudget = 1;

    HedgingPolicy(DispatchContext context, RetryPolicy retries, OutlierDetector outliers) {
        this.context = context;
        this.retries = retries;
        this.outliers = outliers;
    }

    /** Where little is visible a hedge waits as the first does, and what is cancelled may run all the same. */
    void recordArrival() {
        hedgingBudget = Math.min(
                RetryPolicy.MAX_SAVED_BUDGET, hedgingBudget + RetryPolicy.BUDGET_PER_JOB * context.visibleFraction);
    }

    /** Whether stuck attempts are recalled, rather than hedged. */
    boolean migrates() {
        return !context.limits.hedging() && context.limits.cancel();
    }

    /** Whether the job's only attempt is stuck, and a hedge or a migration allowed. */
    boolean isDue(PendingJob job) {
        if (job.answered
                || job.inFlight != 1
                || job.jobClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || job.streaming
                || job.attempts.size() >= context.limits.maxAttempts()
                || !migrates() && !mayHedge()) {
            return false;
        }
        Attempt attempt = job.lastAttempt();
        return !attempt.ended && !attempt.cancelled && isStuck(attempt);
    }

    private boolean mayHedge() {
        return context.limits.hedging() && retries.hasBudget() && hedgingBudget >= 1;
    }

    /** It waits there, or runs at a suspected worker: only the first may be recalled. */
    private boolean isStuck(Attempt attempt) {
        if (!attempt.hasStarted()) {
            return context.now - attempt.sentAt > attempt.job.jobClass.latencyObjectiveNs() * STUCK_FRACTION;
        }
        return !migrates() && outliers.isHighlySuspected(attempt.worker);
    }

    /** A hedge is sent: it is charged as a retry too. */
    void spend() {
        retries.spend();
        hedgingBudget--;
    }
}
