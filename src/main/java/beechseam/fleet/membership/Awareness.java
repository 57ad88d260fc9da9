package beechseam.fleet.membership;

/**
 * Lifeguard's local health score. It rises with each sign that this member itself is slow or isolated, and scales the
 * time-outs that this member applies to others, so that a degraded member accuses fewer healthy ones.
 */
final class Awareness {
    private static final int MAX_SCORE = 8;

    private final boolean enabled;
    private int score;

    Awareness(boolean enabled) {
        this.enabled = enabled;
    }

    /** The local health score, from 0 (healthy) to 8. */
    int score() {
        return score;
    }

    /** Adds {@code delta}, which may be negative, to the score and keeps the score within its bounds. */
    void adjust(int delta) {
        score = Math.max(0, Math.min(MAX_SCORE, score + delta));
    }

    /** Multiplies the time-out by the local health multiplier, 1 to 9; returns it unscaled if local health is off. */
    long scale(long timeoutNs) {
        return enabled ? timeoutNs * (1 + score) : timeoutNs;
    }
}
