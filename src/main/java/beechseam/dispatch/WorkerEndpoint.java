package beechseam.dispatch;

/**
 * An entry of the endpoint list.
 *
 * @param id        the worker's number
 * @param cell      its cell within its zone
 * @param zone      its zone
 * @param kind      what kind of worker it is
 * @param startedNs its latest start by the host's clock, in nanoseconds; 0 when long past
 * @param state     whether it takes work
 * @param weight    a figure of no unit that {@link DispatchSettings#liveWeights} gives a meaning, or NaN
 */
public record WorkerEndpoint(
        long id, int cell, String zone, String kind, long startedNs, EndpointState state, double weight) {
    /** An entry with no weight. */
    public WorkerEndpoint(long id, int cell, String zone, String kind, long startedNs, EndpointState state) {
        this(id, cell, zone, kind, startedNs, state, Double.NaN);
    }
}
