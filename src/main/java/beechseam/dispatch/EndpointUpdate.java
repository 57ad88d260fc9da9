package beechseam.dispatch;

/** Kind of an update of the endpoint list. */
public enum EndpointUpdate {
    /** Only the entries that changed. */
    DELTA,
    /** All entries; a worker without an entry is removed. */
    SNAPSHOT,
    /** All entries as known before a restart, which may be stale. */
    CACHED,
    /** No entries, because the call to discovery failed. */
    FAILED
}
