package beechseam.library;

import beechseam.dispatch.Idempotency;
import beechseam.dispatch.JobClass;
import java.time.Duration;
import java.util.Objects;

/**
 * What is the same for all jobs of a name.
 *
 * @param name     of the type
 * @param aim      wanted time, besides {@code stretch} times the run
 * @param stretch  how often its own run time a job may take beyond the aim
 * @param deadline when a job is given up, unless its dispatch says otherwise
 * @param worth    what a job in time is worth, against other types
 * @param lateWorth share of the worth that a job has after its aim, from 0 to 1
 * @param repeats  what doing it twice does
 * @param group    for keyed ones: which targets drop a repeat
 * @param window   for keyed ones: how long they do
 * @param kind     the only kind of target that does it, or null for any
 */
public record JobType(
        String name,
        Duration aim,
        double stretch,
        Duration deadline,
        double worth,
        double lateWorth,
        Repeats repeats,
        Group group,
        Duration window,
        String kind) {
    /** What a repeat of a job does. */
    public enum Repeats {
        /** Nothing. */
        SAFE,
        /** Nothing at targets that drop it by its key, for a while. */
        KEYED,
        /** Harm: what may have run is never sent again. */
        UNSAFE
    }

    /** Which targets drop a repeat of a keyed job. */
    public enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** Checks its parts; an {@link IllegalArgumentException} names the faulty one. */
    public JobType {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(repeats, "repeats");
        Objects.requireNonNull(group, "group");
        check(name, "deadline", !deadline.isNegative() && !deadline.isZero(), "must be above 0", deadline);
        check(name, "aim", !aim.isNegative(), "must not be negative", aim);
        check(name, "stretch", stretch >= 0, "must not be negative", stretch);
        check(name, "worth", worth > 0, "must be above 0", worth);
        check(name, "lateWorth", lateWorth >= 0 && lateWorth <= 1, "must be from 0 to 1", lateWorth);
        check(
                name,
                "window",
                repeats != Repeats.KEYED || !window.isZero() && !window.isNegative(),
                "must be above 0 for a keyed type",
                window);
    }

    private static void check(String name, String key, boolean good, String rule, Object value) {
        if (!good) {
            throw new IllegalArgumentException("job type " + name + ": " + key + " " + rule + ", not " + value);
        }
    }

    /** One that is not to be repeated, of worth 1, wanted within a quarter of its deadline. */
    public static JobType of(String name, Duration deadline) {
        return new JobType(
                name, deadline.dividedBy(4), 1, deadline, 1, 0.9, Repeats.UNSAFE, Group.CELL, Duration.ZERO, null);
    }

    /** Doing it twice does nothing. */
    public JobType safe() {
        return new JobType(name, aim, stretch, deadline, worth, lateWorth, Repeats.SAFE, group, window, kind);
    }

    /** Targets of the group drop a repeat for that long. */
    public JobType keyed(Group where, Duration howLong) {
        return new JobType(name, aim, stretch, deadline, worth, lateWorth, Repeats.KEYED, where, howLong, kind);
    }

    /** Wanted within the aim plus stretch times its run. */
    public JobType wantedWithin(Duration theAim, double theStretch) {
        return new JobType(name, theAim, theStretch, deadline, worth, lateWorth, repeats, group, window, kind);
    }

    /** Worth so much in time, and that share of it when late. */
    public JobType worth(double inTime, double lateShare) {
        return new JobType(name, aim, stretch, deadline, inTime, lateShare, repeats, group, window, kind);
    }

    /** Done by this kind of target only. */
    public JobType doneBy(String theKind) {
        return new JobType(name, aim, stretch, deadline, worth, lateWorth, repeats, group, window, theKind);
    }

    JobClass toClass() {
        return new JobClass(
                name,
                aim.toNanos(),
                deadline.toNanos(),
                stretch,
                worth,
                lateWorth,
                switch (repeats) {
                    case SAFE -> Idempotency.IDEMPOTENT;
                    case KEYED -> Idempotency.KEYED;
                    case UNSAFE -> Idempotency.NON_IDEMPOTENT;
                },
                beechseam.dispatch.DeduplicationScope.valueOf(group.name()),
                window.toNanos(),
                kind);
    }
}
