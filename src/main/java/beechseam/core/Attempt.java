package beechseam.core;

/** One attempt to execute a request on one target. Its state changes only on the engine's thread. */
public final class Attempt {
    /** The request that this attempt executes. */
    public final Request request;

    /** Index of this attempt among those of its request, from 0. */
    public final int number;

    /** The target's id in the {@link RouteTable}. */
    public final long target;

    /**
     * State that the egress attaches to the attempt, or null; the engine does not read it. The type is {@code Object}
     * because each host stores a type of its own here (a submission, a call, a worker's session), which would otherwise
     * have to implement a marker interface.
     */
    public Object exchange;

    /** Fires at the attempt's own time limit; null if it has none. */
    final Timer timeout;

    boolean ended;
    boolean begun;
    boolean acknowledged;
    /** Whether the attempt waits for the send gate; the egress does not have it then. */
    boolean deferred;

    private boolean awaitsConfirmation;

    Attempt(Request request, int number, long target, Timer timeout) {
        this.request = request;
        this.number = number;
        this.target = target;
        this.timeout = timeout;
    }

    /**
     * Marks that the attempt's first byte is being sent, so that it may run on the target from now on. {@link
     * Engine#tryBegin} checks whether it may be sent, and then calls this.
     */
    public void begun() {
        begun = true;
    }

    /**
     * Sets whether the target may still hold the attempt, or report on it again, after it has ended in the engine. An
     * egress whose protocol cannot distinguish two attempts of one request on the same target sets this with the first
     * byte, and clears it when the attempt's end proves that no further report can arrive.
     */
    public void awaitsConfirmation(boolean awaits) {
        awaitsConfirmation = awaits;
    }

    boolean awaitsConfirmation() {
        return awaitsConfirmation;
    }

    /** Whether the target has reported anything about the attempt. */
    public boolean acknowledged() {
        return acknowledged;
    }

    /** Whether the attempt has ended or was cancelled; the engine ignores later reports on it. */
    public boolean hasEnded() {
        return ended;
    }
}
