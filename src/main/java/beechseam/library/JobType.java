package beechseam.library;

import beechseam.dispatch.JobClass;
import java.time.Duration;
import java.util.Objects;

/**
 * Describes a type of job: its latency objective, its deadline, its weight and whether a repeat of it is harmless.
 *
 * @param name               the name by which jobs of this type are dispatched
 * @param latencyObjective   the constant part of the latency objective, to which {@code stretch} times the run
 *                           time is added
 * @param stretch            the multiple of its own run time that a job may take on top of the constant part
 * @param deadline           the time after which a job is given up, unless its dispatch names another
 * @param priorityWeight     the weight of a job that meets its latency objective, relative to other types
 * @param lateWeight         the share of the priority weight that remains once the objective is missed, from 0 to 1
 * @param idempotency        the effect of running a job twice
 * @param deduplicationScope for keyed types: the targets that recognise and drop a repeat
 * @param window             for keyed types: how long those targets drop a repeat
 * @param kind               the only kind of target that runs the job, or null for any kind
 */
public record JobType(
        String name,
        Duration latencyObjective,
        double stretch,
        Duration deadline,
        double priorityWeight,
        double lateWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        Duration window,
        String kind) {
    /** The effect of running a job more than once. */
    public enum Idempotency {
        /** A repeat has no further effect. */
        IDEMPOTENT,
        /** Targets drop a repeat by its key, within the deduplication scope and for the length of the window. */
        KEYED,
        /** A repeat does harm: a job that may have run is never sent again. */
        NON_IDEMPOTENT
    }

    /** The targets that drop a repeat of a keyed job: all of them, those of the zone or those of the cell. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** Checks the components; the {@link IllegalArgumentException} names the invalid one. */
    public JobType {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(idempotency, "idempotency");
        Objects.requireNonNull(deduplicationScope, "deduplicationScope");
        check(name, "deadline", !deadline.isNegative() && !deadline.isZero(), "must be above 0", deadline);
        check(name, "latencyObjective", !latencyObjective.isNegative(), "must not be negative", latencyObjective);
        check(name, "stretch", stretch >= 0, "must not be negative", stretch);
        check(name, "priorityWeight", priorityWeight > 0, "must be above 0", priorityWeight);
        check(name, "lateWeight", lateWeight >= 0 && lateWeight <= 1, "must be from 0 to 1", lateWeight);
        check(
                name,
                "window",
                idempotency != Idempotency.KEYED || !window.isZero() && !window.isNegative(),
                "must be above 0 for a keyed type",
                window);
    }

    private static void check(String name, String key, boolean good, String rule, Object value) {
        if (!good) {
            throw new IllegalArgumentException("job type " + name + ": " + key + " " + rule + ", not " + value);
        }
    }

    /**
     * Creates a non-idempotent type of priority weight 1. Its latency objective is a quarter of the deadline plus the
     * run time.
     */
    public static JobType of(String name, Duration deadline) {
        return new JobType(
                name,
                deadline.dividedBy(4),
                1,
                deadline,
                1,
                0.9,
                Idempotency.NON_IDEMPOTENT,
                DeduplicationScope.CELL,
                Duration.ZERO,
                null);
    }

    /** Returns this type as an idempotent one. */
    public JobType idempotent() {
        return new JobType(
                name,
                latencyObjective,
                stretch,
                deadline,
                priorityWeight,
                lateWeight,
                Idempotency.IDEMPOTENT,
                deduplicationScope,
                window,
                kind);
    }

    /** Returns this type as a keyed one: targets within the scope drop a repeat during the window. */
    public JobType keyed(DeduplicationScope newScope, Duration newWindow) {
        return new JobType(
                name,
                latencyObjective,
                stretch,
                deadline,
                priorityWeight,
                lateWeight,
                Idempotency.KEYED,
                newScope,
                newWindow,
                kind);
    }

    /** Returns this type with a latency objective of a constant part plus a multiple of the run time. */
    public JobType latencyObjective(Duration newObjective, double newStretch) {
        return new JobType(
                name,
                newObjective,
                newStretch,
                deadline,
                priorityWeight,
                lateWeight,
                idempotency,
                deduplicationScope,
                window,
                kind);
    }

    /** Returns this type with a weight for jobs in time, and the share of it that late jobs keep. */
    public JobType priorityWeight(double newWeight, double newLateWeight) {
        return new JobType(
                name,
                latencyObjective,
                stretch,
                deadline,
                newWeight,
                newLateWeight,
                idempotency,
                deduplicationScope,
                window,
                kind);
    }

    /** Returns this type restricted to targets of one kind. */
    public JobType doneBy(String newKind) {
        return new JobType(
                name,
                latencyObjective,
                stretch,
                deadline,
                priorityWeight,
                lateWeight,
                idempotency,
                deduplicationScope,
                window,
                newKind);
    }

    JobClass toClass() {
        return new JobClass(
                name,
                latencyObjective.toNanos(),
                deadline.toNanos(),
                stretch,
                priorityWeight,
                lateWeight,
                switch (idempotency) {
                    case IDEMPOTENT -> beechseam.dispatch.Idempotency.IDEMPOTENT;
                    case KEYED -> beechseam.dispatch.Idempotency.KEYED;
                    case NON_IDEMPOTENT -> beechseam.dispatch.Idempotency.NON_IDEMPOTENT;
                },
                beechseam.dispatch.DeduplicationScope.valueOf(deduplicationScope.name()),
                window.toNanos(),
                kind);
    }
}
