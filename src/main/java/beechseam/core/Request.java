package beechseam.core;

import java.util.ArrayList;
import java.util.List;

/** A job that a front has taken, until its final answer is given and its attempts have ended. */
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
    final List<Attempt> attempts = new ArrayList<>(2);
    Timer deadline;
    int attemptsInFlight;
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

    /** The latest attempt at the target that is still out, or null. */
    public Attempt attemptAt(long target) {
        for (int i = attempts.size() - 1; i >= 0; i--) {
            Attempt attempt = attempts.get(i);
            if (attempt.target == target && !attempt.ended) {
                return attempt;
            }
        }
        return null;
    }
}
