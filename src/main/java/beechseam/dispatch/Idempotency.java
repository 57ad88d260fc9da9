package beechseam.dispatch;

/** What running a job a second time does. */
public enum Idempotency {
    /** Nothing: a retry is always harmless. */
    IDEMPOTENT("safe"),
    /** Nothing within the {@link DeduplicationScope} of the first run, while its idempotency key is kept. */
    KEYED("keyed"),
    /** Harm: an attempt that may have run is never retried. */
    NON_IDEMPOTENT("unsafe");

    private final String settingName;

    Idempotency(String settingName) {
        this.settingName = settingName;
    }

    /** The name of this value in an operator's file; used by configuration alone. */
    @Override
    public String toString() {
        return settingName;
    }
}
