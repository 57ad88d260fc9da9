package beechseam.fleet.membership;

import java.util.List;

/**
 * Settings of the membership protocol. Times are nanoseconds.
 *
 * @param probeIntervalNs          interval in which one member is probed
 * @param probeTimeoutNs           time to wait for a direct ack before indirect pings are sent; less than
 *                                 {@code probeIntervalNs}
 * @param indirectChecks           number of members that are asked for an indirect ping; also the number of
 *                                 additional accusers that shorten a suspicion to its minimum
 * @param suspicionMultiplier      minimum time-out of a suspicion, as a multiple of the probe interval times the
 *                                 decimal logarithm of the fleet's size (at least 1)
 * @param maxSuspicionMultiplier   time-out of a suspicion with one accuser, as a multiple of the minimum
 * @param stateExchangeIntervalNs  interval in which the full state is exchanged with one random member
 * @param tombstoneRetentionNs     how long dead and departed members are kept, so that old claims about them are
 *                                 recognized
 * @param localHealthEnabled       whether Lifeguard's local health scales this member's time-outs
 * @param seeds                    addresses contacted at the start, and later while no member is up at them
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

    /** The default settings with the given seeds. */
    public static MembershipOptions defaults(List<String> seeds) {
        return new MembershipOptions(
                SECOND_NS, SECOND_NS / 2, 3, 4, 6, 30 * SECOND_NS, 24 * 3600 * SECOND_NS, true, seeds);
    }

    /** A copy of these settings with other seeds. */
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

    /** A copy of these settings with local health enabled or disabled. */
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
