package beechseam.fleet.membership;

import java.util.List;

/**
 * How membership is kept. Times are nanoseconds.
 *
 * @param probeNs    one member is asked whether it is there in each such span
 * @param timeoutNs  so long its answer may take before others are asked to ask; under {@code probeNs}
 * @param helpers    how many others are asked then
 * @param patience   a suspect has so many probe spans, times the logarithm of the fleet's size, to contradict
 * @param doubtful   and this many times longer while nobody else has said so too
 * @param exchangeNs everything is exchanged with one other in each such span
 * @param forgetNs   what has died or left is remembered so long: an old claim must not raise it
 * @param health     whether a node that is slow itself gives others more time (Lifeguard)
 * @param seeds      addresses to ask at the start, and again while nobody there is a member
 */
public record Options(
        long probeNs,
        long timeoutNs,
        int helpers,
        double patience,
        double doubtful,
        long exchangeNs,
        long forgetNs,
        boolean health,
        List<String> seeds) {
    public static final long SECOND = 1_000_000_000L;

    /** What the operator's file has by default. */
    public static Options usual(List<String> seeds) {
        return new Options(SECOND, SECOND / 2, 3, 4, 6, 30 * SECOND, 24 * 3600 * SECOND, true, seeds);
    }
}
