package beechseam.dispatch;

/**
 * What is the same for all jobs of a class.
 *
 * @param name                of the class
 * @param latencyObjectiveNs  the time in which a job should be done, besides {@code stretch} times its run,
 *     in nanoseconds
 * @param deadlineNs          when clients usually give up, in nanoseconds
 * @param stretch             how often its own run time a job may take beyond the objective
 * @param priorityWeight      what a job in time counts, against other classes
 * @param lateWeight          share of that weight which a late job has, from 0 to 1
 * @param idempotency         what a second run does
 * @param deduplicationScope  for keyed classes: which workers drop a retry
 * @param idempotencyWindowNs for keyed classes: how long they do, in nanoseconds
 * @param kind                the only kind of worker that runs the class, or null for any
 */
public record JobClass(
        String name,
        long latencyObjectiveNs,
        long deadlineNs,
        double stretch,
        double priorityWeight,
        double lateWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long idempotencyWindowNs,
        String kind) {}
