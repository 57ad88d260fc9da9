package beechseam.dispatch;

/** What discovery says of a worker. */
public enum EndpointState {
    /** It takes work. */
    READY,
    /** It takes no new work and finishes what it has. */
    DRAINING,
    /** It is not listed any more. */
    REMOVED
}
