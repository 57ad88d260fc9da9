package beechseam.core;

import java.util.ArrayList;
import java.util.List;

/** A request that a front end has accepted; it is open until it has its final answer and its attempts have ended. */
public final class Request {
    /** The correlation id by which clients and targets identify the request. */
    public final String correlation;

    /** Index of the request's class in the settings. */
    public final int jobClass;

    /** The client's deadline, on the host's clock, in nanoseconds. */
    public final long deadlineAt;

    /** Data that the front end passes to the egress, or null; the engine does not read it. */
    public final Object message;

    final Ingress ingress;
    final long id;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** Fires at the latest time for the final answer. */
    Timer deadline;

    /** Whether the request must not run again under its correlation id once an attempt may have run. */
    boolean mustNotRepeat;
    /** Whether an attempt that has ended may have run. */
    boolean mayHaveRun;

    int attemptsInFlight;
    boolean finished;
    /** Whether the request waits for the send gate; the dispatcher has not received it then. */
    boolean deferred;

    Request(long id, String correlation, int jobClass, long deadlineAt, Object message, Ingress ingress) {
        this.id = id;
        this.correlation = correlation;
        this.jobClass = jobClass;
        this.deadlineAt = deadlineAt;
        this.message = message;
        this.ingress = ingress;
    }

    /** Whether the request has its final answer, or needs none because its client has disconnected. */
    public boolean finished() {
        return finished;
    }

    /** The latest attempt on the target that has not ended, or null. */
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
