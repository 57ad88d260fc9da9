package beechseam.ops;

/** What operators can ask of a node. A call that is refused or fails returns the reason, any other returns null. */
public interface Operations {
    /** Why this process does not serve clients, or null if it does. */
    String status();

    /** The counters, one {@code name=value} a line, each with its line end. */
    String stats();

    /**
     * Takes an executor out of service or puts it back.
     *
     * @param id  the executor's id as discovery lists it
     * @param out whether it goes out of service
     * @return null if it is so now, else the reason
     */
    String maintenance(String id, boolean out);

    /**
     * Drains clients to other nodes, or serves them again.
     *
     * @param on whether clients are to be drained
     * @return null if it is so now, else the reason
     */
    String standby(boolean on);
}
