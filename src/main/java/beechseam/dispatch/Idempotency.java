package beechseam.dispatch;

/** The effect of running a job a second time. */
public enum Idempotency {
    /** No effect: a retry is always harmless. */
    IDEMPOTENT("safe"),
    /** No effect within the {@link DeduplicationScope} of the first run, as long as its idempotency key is kept. */
    KEYED("keyed"),
    /** Harmful: an attempt that may have run is never retried. */
    NON_IDEMPOTENT("unsafe");

    private final String settingName;

    Idempotency(String settingName) {
        this.settingName = settingName;
    }

    /** The name of this value in an operator's file; only the configuration uses it. */
    @Override
    public String toString() {
        return settingName;
    }
}
