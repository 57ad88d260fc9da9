package beechseam.dispatch;

/** Which workers drop a retry of a keyed job by its idempotency key. */
public enum DeduplicationScope {
    /** All workers. */
    ALL,
    /** Those in the zone of the first attempt. */
    ZONE,
    /** Those in the zone and the cell of the first attempt. */
    CELL
}
