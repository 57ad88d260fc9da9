package beechseam.core;

/** One attempt at a request, at one target. Its state changes on the engine's thread only. */
public final class Attempt {
    /** The request that it serves. */
    public final Request request;

    /** Its place among the attempts of its request, from 0. */
    public final int number;

    /** The id of its target in the {@link RouteTable}. */
    public final long target;

    /**
     * What the egress keeps of it, or null; the core does not look inside. An {@code Object}, since each host keeps a
     * type of its own here (a submission, a call, a worker's session) that would have to implement a marker type.
     */
    public Object exchange;

    /** Its time limit, or null when it has none of its own. */
    final Timer timeout;

    boolean ended;
    boolean begun;
    boolean acknowledged;
    /** It waits for the send gate; the egress does not hold it. */
    boolean deferred;

    private boolean awaitsConfirmation;

    Attempt(Request request, int number, long target, Timer timeout) {
        this.request = request;
        this.number = number;
        this.target = target;
        this.timeout = timeout;
    }

    /** Its first byte goes out: from here on it may run. See {@link Engine#tryBegin}, which asks first. */
    public void begun() {
        begun = true;
    }

    /**
     * Sets whether its target may still hold it, or report on it again, once it has ended here. An egress whose wire
     * cannot tell two attempts of one request at one target apart sets it with the first byte, and resets it where
     * the end proves that nothing more can come of it.
     */
    public void awaitsConfirmation(boolean awaits) {
        awaitsConfirmation = awaits;
    }

    boolean awaitsConfirmation() {
        return awaitsConfirmation;
    }

    /** Whether its target has reported anything of it. */
    public boolean acknowledged() {
        return acknowledged;
    }

    /** Whether it has ended or been given up: whatever comes of it now is too late. */
    public boolean hasEnded() {
        return ended;
    }
}
