package beechseam.library;

/**
 * Signals that a job certainly did not begin at a target, so that it may be sent to another one even if it is not
 * idempotent. A sender that is not certain must not throw it, since the protection against repeats relies on it.
 */
public final class NeverRanException extends Exception {
    private static final long serialVersionUID = 1;

    /** The reason why a job did not begin. */
    public enum Reason {
        /** The target answered that it accepts no more jobs. */
        FULL,
        /** The target could not be reached. */
        UNREACHABLE
    }

    private final Reason reason;

    /** Creates the exception with a message for the log. */
    public NeverRanException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Creates the exception with a message for the log and a cause, which may be null. */
    public NeverRanException(Reason reason, String message, Throwable cause) {
        super(message, cause);
        this.reason = reason;
    }

    /** Returns the reason why the job did not begin; never null. */
    public Reason reason() {
        return reason;
    }
}
