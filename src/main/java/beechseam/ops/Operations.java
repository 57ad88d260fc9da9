package beechseam.ops;

/** What operators ask of a node. A call that is not done gives the reason, one that is done gives null. */
public interface Operations {
    /** Done when clients are served by this process. */
    String status();

    /** The figures, a line each. */
    String stats();

    /** Leaves an executor out, or lets it serve again. */
    String maintenance(String id, boolean out);

    /** Sends clients away, or takes them again. */
    String standby(boolean on);
}
