package beechseam.fleet.membership;

/**
 * Lifeguard's local health: a score that rises with each sign that this member itself is slow or cut off, and scales
 * the time-outs it grants to others, so that a degraded member accuses fewer healthy ones.
 */
final class Awareness {
    private static final int MAX_SCORE = 8;

    private final boolean enabled;
    private int score;

    Awareness(boolean enabled) {
        this.enabled = enabled;
    }

    /** 0 for healthy, at most 8. */
    int score() {
        return score;
    }

    /** Raises the score, or lowers it where {@code delta} is negative, within its bounds. */
    void adjust(int delta) {
        score = Math.max(0, Math.min(MAX_SCORE, score + delta));
    }

    /** The time-out times the local health multiplier, 1 to 9; unscaled where local health is off. */
    long scale(long timeoutNs) {
        return enabled ? timeoutNs * (1 + score) : timeoutNs;
    }
}
