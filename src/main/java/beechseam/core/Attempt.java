package beechseam.core;

/** One attempt at a request, at one egress target. */
public final class Attempt {
    public final Request request;
    public final int number;
    public final long target;
    /** What the egress keeps of it. */
    public Object carrier;
    final Timer timeout;
    boolean over;
    boolean begun;
    boolean heardOf;
    /** It waits for the send gate; the egress does not hold it. */
    boolean deferred;

    Attempt(Request request, int number, long target, Timer timeout) {
        this.request = request;
        this.number = number;
        this.target = target;
        this.timeout = timeout;
    }

    /** Its first byte goes out: from here on it may run. See {@link Engine#begins}, which asks first. */
    public void begun() {
        begun = true;
    }

    /** Whether its target has told anything of it. */
    public boolean heardOf() {
        return heardOf;
    }

    /** Ended or given up: whatever comes of it now is too late. */
    public boolean over() {
        return over;
    }
}
