package beechseam.fleet.membership;

import java.util.List;

/**
 * Settings of the membership protocol. Times are nanoseconds.
 *
 * @param probeIntervalNs          one member is probed in each such interval
 * @param probeTimeoutNs           time for a direct ack before indirect pings are sent; under {@code probeIntervalNs}
 * @param indirectChecks           number of members asked to ping indirectly; also the number of further accusers
 *                                 that shorten a suspicion to its minimum
 * @param suspicionMultiplier      minimum time-out of a suspicion, in probe intervals times the decimal logarithm of
 *                                 the fleet's size
 * @param maxSuspicionMultiplier   a suspicion with one accuser lasts this many times the minimum
 * @param stateExchangeIntervalNs  full state is exchanged with one other member in each such interval
 * @param tombstoneRetentionNs     dead and departed members are remembered so long, against old claims about them
 * @param localHealthEnabled       whether Lifeguard's local health scales this member's time-outs
 * @param seeds                    addresses contacted at the start, and again while no member is known there
 */
public record MembershipOptions(
        long probeIntervalNs,
        long probeTimeoutNs,
        int indirectChecks,
        double suspicionMultiplier,
        double maxSuspicionMultiplier,
        long stateExchangeIntervalNs,
        long tombstoneRetentionNs,
        boolean localHealthEnabled,
        List<String> seeds) {
    /** One second, in nanoseconds. */
    public static final long SECOND_NS = 1_000_000_000L;

    /** The defaults, with these seeds. */
    public static MembershipOptions defaults(List<String> seeds) {
        return new MembershipOptions(
                SECOND_NS, SECOND_NS / 2, 3, 4, 6, 30 * SECOND_NS, 24 * 3600 * SECOND_NS, true, seeds);
    }

    /** These settings with other seeds. */
    public MembershipOptions withSeeds(List<String> newSeeds) {
        return new MembershipOptions(
                probeIntervalNs,
                probeTimeoutNs,
                indirectChecks,
                suspicionMultiplier,
                maxSuspicionMultiplier,
                stateExchangeIntervalNs,
                tombstoneRetentionNs,
                localHealthEnabled,
                newSeeds);
    }

    /** These settings with local health on or off. */
    public MembershipOptions withLocalHealth(boolean enabled) {
        return new MembershipOptions(
                probeIntervalNs,
                probeTimeoutNs,
                indirectChecks,
                suspicionMultiplier,
                maxSuspicionMultiplier,
                stateExchangeIntervalNs,
                tombstoneRetentionNs,
                enabled,
                seeds);
    }
}
