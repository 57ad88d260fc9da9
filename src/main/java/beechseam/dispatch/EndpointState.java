package beechseam.dispatch;

/** State of a worker in the endpoint list. */
public enum EndpointState {
    /** The worker accepts jobs. */
    READY,
    /** The worker accepts no new jobs and finishes those it has. */
    DRAINING,
    /** The worker is no longer listed. */
    REMOVED
}
