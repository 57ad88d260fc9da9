package beechseam.dispatch;

/**
 * What the deployment permits.
 *
 * @param maxAttempts     the most attempts of a job
 * @param maxRetryAfterNs the longest wait that a client may be told, in nanoseconds
 * @param retryAfter      whether a client may be told to wait at all
 * @param cancel          whether attempts may be cancelled
 * @param healthChecks    whether workers may be asked for their load
 * @param hedging         whether a job may have several attempts in flight
 * @param idleTimeoutNs   after how long without use a connection closes, in nanoseconds
 */
public record DispatchLimits(
        int maxAttempts,
        long maxRetryAfterNs,
        boolean retryAfter,
        boolean cancel,
        boolean healthChecks,
        boolean hedging,
        long idleTimeoutNs) {}
