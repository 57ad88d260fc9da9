package beechseam.ops;

/**
 * The admin calls of operators to a node. The maintenance and standby calls return null on success, or else the reason
 * why they were refused or failed.
 */
public interface Operations {
    /** Returns the reason why this process does not serve clients, or null if it serves them. */
    String status();

    /** Returns the counters, one {@code name=value} per line, each with its line end. */
    String stats();

    /**
     * Takes an executor out of service or puts it back into service.
     *
     * @param id  the executor's id, as discovery lists it
     * @param out true to take it out of service, false to put it back
     * @return null on success, else the reason for the failure
     */
    String maintenance(String id, boolean out);

    /**
     * Drains clients to other nodes, or serves them again.
     *
     * @param on true to drain clients, false to serve them
     * @return null on success, else the reason for the failure
     */
    String standby(boolean on);
}
