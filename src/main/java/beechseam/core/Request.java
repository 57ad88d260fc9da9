package beechseam.core;

import java.util.ArrayList;
import java.util.List;

/** A job that a front has taken, until its final answer is given and its hops have ended. */
public final class Request {
    /** The name by which clients and targets know it. */
    public final String correlation;
    public final int jobClass;
    /** When the client gives up. */
    public final long deadlineAt;
    /** What the front passes on; the core does not look inside. */
    public final Object message;
    final Ingress ingress;
    final long id;
    final List<Hop> hops = new ArrayList<>(2);
    Timer deadline;
    int out;
    boolean finished;
    /** It waits for the send gate, and the module does not know of it. */
    boolean deferred;

    Request(long id, String correlation, int jobClass, long deadlineAt, Object message, Ingress ingress) {
        this.id = id;
        this.correlation = correlation;
        this.jobClass = jobClass;
        this.deadlineAt = deadlineAt;
        this.message = message;
        this.ingress = ingress;
    }

    public boolean finished() {
        return finished;
    }

    /** The latest hop at the target that is still out, or null. */
    public Hop hopAt(long target) {
        for (int i = hops.size() - 1; i >= 0; i--) {
            Hop hop = hops.get(i);
            if (hop.target == target && !hop.over) {
                return hop;
            }
        }
        return null;
    }
}
