package beechseam.dispatch;

/**
 * A job as the host reports it on arrival.
 *
 * @param id           its id, unique while the job is open
 * @param jobClass     the index of its class in {@link DispatchSettings#classes}
 * @param budgetNs     how long the client still waits, in nanoseconds
 * @param workNs       a rough estimate of its run time in nanoseconds, or 0 if unknown
 * @param slots        how many slots of a worker it requires
 * @param memory       how much memory of a worker it requires, in slots
 * @param firstAttempt whether it is known not to be a client's retry, whose latency objective would have begun earlier
 */
public record Job(
        long id, int jobClass, long budgetNs, long workNs, double slots, double memory, boolean firstAttempt) {
    /** Creates a job that may be a client's retry. */
    public Job(long id, int jobClass, long budgetNs, long workNs, double slots, double memory) {
        this(id, jobClass, budgetNs, workNs, slots, memory, false);
    }
}
