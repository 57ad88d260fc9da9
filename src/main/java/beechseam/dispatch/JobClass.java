package beechseam.dispatch;

/**
 * The properties that all jobs of a class share.
 *
 * @param name                the name of the class
 * @param latencyObjectiveNs  the time within which a job should be done, in nanoseconds, in addition to {@code
 *     stretch} times its run time
 * @param deadlineNs          when clients usually give up, in nanoseconds
 * @param stretch             the multiple of its run time that a job may take in addition to the objective
 * @param priorityWeight      the value of a job served in time, relative to other classes
 * @param lateWeight          the share of that weight that a late job has, from 0 to 1
 * @param idempotency         the effect of running a job a second time
 * @param deduplicationScope  for keyed classes: the workers that drop a retry
 * @param idempotencyWindowNs for keyed classes: how long workers drop retries, in nanoseconds
 * @param kind                the kind of worker that the class requires, or null for any
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
