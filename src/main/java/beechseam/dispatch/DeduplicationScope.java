package beechseam.dispatch;

/** The workers that drop a retry of a keyed job by its idempotency key. */
public enum DeduplicationScope {
    /** All workers. */
    ALL,
    /** The workers in the zone of the first attempt. */
    ZONE,
    /** The workers in the zone and the cell of the first attempt. */
    CELL
}
