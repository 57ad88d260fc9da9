package beechseam.dispatch;

/**
 * An entry of the endpoint list.
 *
 * @param id        the worker's id
 * @param cell      the worker's cell within its zone
 * @param zone      the worker's zone
 * @param kind      the worker's kind
 * @param startedNs the worker's latest start by the host's clock, in nanoseconds; 0 if it is long past
 * @param state     whether the worker accepts jobs
 * @param weight    a number without unit, used if {@link DispatchSettings#liveWeights} is set; NaN for none
 */
public record WorkerEndpoint(
        long id, int cell, String zone, String kind, long startedNs, EndpointState state, double weight) {
    /** Creates an entry without a weight. */
    public WorkerEndpoint(long id, int cell, String zone, String kind, long startedNs, EndpointState state) {
        this(id, cell, zone, kind, startedNs, state, Double.NaN);
    }
}
