package beechseam.dispatch;

/**
 * The limits that the deployment sets.
 *
 * @param maxAttempts     the maximum number of attempts of a job
 * @param maxRetryAfterNs the longest retry delay that a client may be given, in nanoseconds
 * @param retryAfter      whether a client may be given a retry delay
 * @param cancel          whether attempts may be cancelled
 * @param healthChecks    whether workers may be asked for their load
 * @param hedging         whether a job may have several attempts in flight
 * @param idleTimeoutNs   the time after which an unused connection closes, in nanoseconds
 */
public record DispatchLimits(
        int maxAttempts,
        long maxRetryAfterNs,
        boolean retryAfter,
        boolean cancel,
        boolean healthChecks,
        boolean hedging,
        long idleTimeoutNs) {}
