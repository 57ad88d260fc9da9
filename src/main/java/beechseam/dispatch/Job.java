package beechseam.dispatch;

/**
 * A job, as it arrives.
 *
 * @param id           its number, unique while it is open
 * @param jobClass     the place of its class in {@link DispatchSettings#classes}
 * @param budgetNs     how long the client still waits, in nanoseconds
 * @param workNs       a rough hint of its run time in nanoseconds, or 0
 * @param slots        how many slots of a worker it takes
 * @param memory       how much memory of a worker it takes, in slots
 * @param firstAttempt whether it is known to be no retry by the client, for which the objective began earlier
 */
public record Job(
        long id, int jobClass, long budgetNs, long workNs, double slots, double memory, boolean firstAttempt) {
    /** A job that may be a client's retry. */
    public Job(long id, int jobClass, long budgetNs, long workNs, double slots, double memory) {
        this(id, jobClass, budgetNs, workNs, slots, memory, false);
    }
}
