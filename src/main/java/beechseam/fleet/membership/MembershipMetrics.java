package beechseam.fleet.membership;

/**
 * Counts since the start of one {@link Membership}.
 *
 * @param probes          probes sent
 * @param failedProbes    probes without an ack, direct or indirect, by the end of their interval
 * @param suspicions      suspicions begun by this member's own probes
 * @param confirmedDeaths suspicions that timed out here
 * @param refutedSuspects suspects that became alive again by a higher incarnation
 * @param refutations     claims about this member that it refuted
 * @param stalls          pauses of this process that were noticed
 * @param staleClaims     alive or suspect claims about a process that is held for dead
 */
public record MembershipMetrics(
        long probes,
        long failedProbes,
        long suspicions,
        long confirmedDeaths,
        long refutedSuspects,
        long refutations,
        long stalls,
        long staleClaims) {}
