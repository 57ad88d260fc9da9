package beechseam.dispatch;

/**
 * Decides when a job whose only attempt is stuck gets a hedge at another worker. If a job may have only one attempt in
 * flight, a waiting attempt is recalled instead, and the job migrates to another worker once the end is confirmed.
 */
final class HedgingPolicy {
    /** An attempt that has not started is stuck after this share of its class's latency objective. */
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

    /**
     * Adds to the hedging budget in proportion to the visible fraction of sends: with many dispatchers a hedge is
     * likely to wait as long as the first attempt, and a cancelled attempt may run all the same.
     */
    void recordArrival() {
        hedgingBudget = Math.min(
                RetryPolicy.MAX_SAVED_BUDGET, hedgingBudget + RetryPolicy.BUDGET_PER_JOB * context.visibleFraction);
    }

    /** Whether stuck attempts are recalled instead of hedged. */
    boolean migrates() {
        return !context.limits.hedging() && context.limits.cancel();
    }

    /** Whether the job's only attempt is stuck and a hedge or a migration is allowed. */
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

    /** Whether the attempt has waited too long or runs at a suspected worker; a running one is never recalled. */
    private boolean isStuck(Attempt attempt) {
        if (!attempt.hasStarted()) {
            return context.now - attempt.sentAt > attempt.job.jobClass.latencyObjectiveNs() * STUCK_FRACTION;
        }
        return !migrates() && outliers.isHighlySuspected(attempt.worker);
    }

    /** Charges a hedge that is sent to both the hedging budget and the retry budget. */
    void spend() {
        retries.spend();
        hedgingBudget--;
    }
}
