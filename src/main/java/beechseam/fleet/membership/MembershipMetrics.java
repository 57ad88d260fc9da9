package beechseam.fleet.membership;

/**
 * Event counts of one {@link Membership} since it was created.
 *
 * @param probes          probes sent
 * @param failedProbes    probes without an ack, direct or indirect, by the end of their interval
 * @param suspicions      suspicions started by this member's own probes
 * @param confirmedDeaths suspicions that timed out at this member
 * @param refutedSuspects suspects that returned to alive through a claim that supersedes the suspicion
 * @param refutations     accusations of this member that it refuted
 * @param stalls          detected pauses of this process
 * @param staleClaims     outdated alive or suspect claims about a process that is considered dead
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
