package beechseam.library;

import java.time.Instant;
import java.util.Objects;

/**
 * Something that does jobs.
 *
 * @param id       its name, the same for as long as it is the same
 * @param zone     where it is; leaving one's own zone may have a price
 * @param cell     a group within the zone; {@link JobType.DeduplicationScope#CELL} repeats stay in it
 * @param kind     what kind of target it is; a job type may ask for one
 * @param slots    jobs that it does at once, at least 1; 0 where that is not known
 * @param started  when its process started, or null for long ago: one that has just started is given less
 * @param draining whether it gets nothing new
 */
public record Target(String id, String zone, int cell, String kind, int slots, Instant started, boolean draining) {
    static final String ANYWHERE = "-";

    /** Checks its parts; an {@link IllegalArgumentException} names the faulty one. */
    public Target {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(kind, "kind");
        if (slots < 0) {
            throw new IllegalArgumentException("slots must not be negative: " + slots);
        }
    }

    /** One of which only its name is known. */
    public static Target of(String id) {
        return new Target(id, ANYWHERE, 0, ANYWHERE, 0, null, false);
    }

    /** The same target in that zone and cell. */
    public Target in(String itsZone, int itsCell) {
        return new Target(id, itsZone, itsCell, kind, slots, started, draining);
    }

    /** The same target as one of that kind; see {@link JobType#doneBy}. */
    public Target ofKind(String itsKind) {
        return new Target(id, zone, cell, itsKind, slots, started, draining);
    }

    /** The same target running so many jobs at a time, at least 1. */
    public Target withSlots(int itsSlots) {
        return new Target(id, zone, cell, kind, itsSlots, started, draining);
    }

    /** The same target as started then: until it has warmed up it gets less. */
    public Target startedAt(Instant at) {
        return new Target(id, zone, cell, kind, slots, at, draining);
    }

    /** The same target draining: it gets no further job. */
    public Target drain() {
        return new Target(id, zone, cell, kind, slots, started, true);
    }
}
