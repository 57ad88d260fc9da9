package beechseam.library;

/**
 * A sender's promise that the job did not begin at that target: it may be sent elsewhere whatever a repeat of
 * it does. A sender that cannot promise it must not use it, since the rules on repeats rest on this type.
 */
public final class NeverRanException extends Exception {
    private static final long serialVersionUID = 1;

    /** Why it did not begin. */
    public enum Reason {
        /** The target answered that it takes no more. */
        FULL,
        /** The target could not be reached. */
        UNREACHABLE
    }

    private final Reason reason;

    /** The attempt certainly did not run; the message is for the log. */
    public NeverRanException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** The same with what caused it, or null. */
    public NeverRanException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Why it did not run; never null. */
    public Reason reason() {
        return reason;
    }
}
