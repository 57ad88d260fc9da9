package beechseam.fleet.membership;

/** Mutable counters for {@link MembershipMetrics}, with one field for each of its components. */
final class MembershipCounters {
    long probes;
    long failedProbes;
    long suspicions;
    long confirmedDeaths;
    long refutedSuspects;
    long refutations;
    long stalls;
    long staleClaims;

    MembershipMetrics snapshot() {
        return new MembershipMetrics(
                probes, failedProbes, suspicions, confirmedDeaths, refutedSuspects, refutations, stalls, staleClaims);
    }
}
