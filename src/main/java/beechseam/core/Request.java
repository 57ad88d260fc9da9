package beechseam.core;

import java.util.ArrayList;
import java.util.List;

/** A job that a front end has accepted, until its final answer is given and its attempts have ended. */
public final class Request {
    /** The name by which clients and targets know it. */
    public final String correlation;

    /** The place of its class in the settings. */
    public final int jobClass;

    /** When the client gives up, by the host's clock, in nanoseconds. */
    public final long deadlineAt;

    /** What the front end passes on to the egress, or null; the core does not look inside. */
    public final Object message;

    final Ingress ingress;
    final long id;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Fires when the request must have its final answer. */
    Timer deadline;

    int attemptsInFlight;
    boolean finished;
    /** It waits for the send gate, and the dispatcher does not know of it. */
    boolean deferred;

    Request(long id, String correlation, int jobClass, long deadlineAt, Object message, Ingress ingress) {
        this.id = id;
        this.correlation = correlation;
        this.jobClass = jobClass;
        this.deadlineAt = deadlineAt;
        this.message = message;
        this.ingress = ingress;
    }

    /** Whether it has its final answer, or needs none as its client has gone. */
    public boolean finished() {
        return finished;
    }

    /** The latest attempt at the target that has not ended, or null. */
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
