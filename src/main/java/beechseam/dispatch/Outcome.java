package beechseam.dispatch;

/** How an attempt ended. Some outcomes prove that the job never ran there. */
public enum Outcome {
    /** The worker did the job. */
    SERVED("served", false),
    /** The worker says that the job failed. */
    ERROR("error", false),
    /** The worker took no work on; whether that proves anything is told by {@link WorkerRules}. */
    REJECTED("refused", true),
    /** No answer came in time. */
    TIMEOUT("timeout", false),
    /** No connection to the worker could be had. */
    UNREACHABLE("unreachable", true),
    /** The connection broke after the job may have begun. */
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

    /** The name under which ends of this kind are counted in the line that operators read. */
    public String counterName() {
        return counterName;
    }

    /** Whether the job certainly did not run; for {@link #REJECTED} see {@link WorkerRules}. */
    public boolean neverRan() {
        return neverRan;
    }
}
