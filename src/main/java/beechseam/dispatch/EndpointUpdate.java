package beechseam.dispatch;

/** What an update of the endpoint list holds. */
public enum EndpointUpdate {
    /** Only the entries that changed. */
    DELTA,
    /** All entries; whatever is not named is removed. */
    SNAPSHOT,
    /** All entries as held before a restart, which may be stale. */
    CACHED,
    /** Nothing: the call to discovery failed. */
    FAILED
}
