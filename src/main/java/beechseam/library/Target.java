package beechseam.library;

import java.time.Instant;
import java.util.Objects;

/**
 * Describes a target that runs jobs.
 *
 * @param id       its name, which stays the same for the lifetime of the target
 * @param zone     its location; sending a job to another zone may have a cost
 * @param cell     a group of targets within the zone; {@link JobType.DeduplicationScope#CELL} limits repeats to it
 * @param kind     its kind; a job type may be restricted to targets of one kind
 * @param slots    the number of jobs that it runs at once, at least 1; 0 if unknown
 * @param started  when its process started, or null for long ago: a target that has just started gets fewer jobs
 * @param draining whether it is draining and gets no new jobs
 */
public record Target(String id, String zone, int cell, String kind, int slots, Instant started, boolean draining) {
    static final String ANYWHERE = "-";

    /** Checks the components; the {@link IllegalArgumentException} names the invalid one. */
    public Target {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(kind, "kind");
        if (slots < 0) {
            throw new IllegalArgumentException("slots must not be negative: " + slots);
        }
    }

    /** Creates a target with an id only: its zone, kind, slots and start are unknown. */
    public static Target of(String id) {
        return new Target(id, ANYWHERE, 0, ANYWHERE, 0, null, false);
    }

    /** Returns this target with another zone and cell. */
    public Target in(String newZone, int newCell) {
        return new Target(id, newZone, newCell, kind, slots, started, draining);
    }

    /** Returns this target with another kind; see {@link JobType#doneBy}. */
    public Target ofKind(String newKind) {
        return new Target(id, zone, cell, newKind, slots, started, draining);
    }

    /** Returns this target with a number of jobs that it runs at once, at least 1. */
    public Target withSlots(int newSlots) {
        return new Target(id, zone, cell, kind, newSlots, started, draining);
    }

    /** Returns this target with a start time: it gets fewer jobs until it has warmed up. */
    public Target startedAt(Instant at) {
        return new Target(id, zone, cell, kind, slots, at, draining);
    }

    /** Returns this target as draining: it gets no new jobs. */
    public Target drain() {
        return new Target(id, zone, cell, kind, slots, started, true);
    }
}
