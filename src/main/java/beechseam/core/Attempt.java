package beechseam.core;

/** One attempt at a request, at one egress target. */
public final class Attempt {
    public final Request request;
    public final int number;
    public final long target;
    /** What the egress keeps of it. */
    public Object exchange;

    final Timer timeout;
    boolean ended;
    boolean begun;
    boolean acknowledged;
    private boolean awaitsConfirmation;
    /** It waits for the send gate; the egress does not hold it. */
    boolean deferred;

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
     * Whether its target may still hold it, or tell of it again, once it has ended here. An egress whose wire
     * cannot tell two attempts of one request at one target apart sets it with the first byte, and takes it
     * back where the end proves that nothing more can come of it.
     */
    public void awaitsConfirmation(boolean itDoes) {
        awaitsConfirmation = itDoes;
    }

    boolean awaitsConfirmation() {
        return awaitsConfirmation;
    }

    /** Whether its target has told anything of it. */
    public boolean acknowledged() {
        return acknowledged;
    }

    /** Ended or given up: whatever comes of it now is too late. */
    public boolean hasEnded() {
        return ended;
    }
}
