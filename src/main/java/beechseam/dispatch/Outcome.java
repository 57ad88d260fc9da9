package beechseam.dispatch;

/** How an attempt ended. Some outcomes prove that the worker never ran the job. */
public enum Outcome {
    /** The worker did the job. */
    SERVED("served", false),
    /** The worker reported that the job failed. */
    ERROR("error", false),
    /** The worker rejected the job; whether that proves that it never ran depends on {@link WorkerRules}. */
    REJECTED("refused", true),
    /** No answer came in time. */
    TIMEOUT("timeout", false),
    /** No connection to the worker could be opened. */
    UNREACHABLE("unreachable", true),
    /** The connection was lost after the job may have begun. */
    LOST("lost", false),
    /** This dispatcher cancelled the attempt. */
    CANCELLED("cancelled", false),
    /** The host did not send the attempt at all. */
    NOT_SENT("not_sent", true);

    private final String counterName;
    private final boolean neverRan;

    Outcome(String counterName, boolean neverRan) {
        this.counterName = counterName;
        this.neverRan = neverRan;
    }

    /** The name of this outcome's counter in the line of counters that operators read. */
    public String counterName() {
        return counterName;
    }

    /** Whether the job certainly did not run; for {@link #REJECTED} see {@link WorkerRules}. */
    public boolean neverRan() {
        return neverRan;
    }
}
