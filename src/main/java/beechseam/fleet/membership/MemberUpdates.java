package beechseam.fleet.membership;

/**
 * Applies claims about other members, whether received or the result of this member's own probes. It decides which
 * claims are kept, starts and ends suspicions, reports changes to the host and queues them for gossip.
 */
final class MemberUpdates {
    private final LocalNode local;
    private final MemberTable members;
    private final Dissemination dissemination;

    MemberUpdates(LocalNode local, MemberTable members, Dissemination dissemination) {
        this.local = local;
        this.members = members;
        this.dissemination = dissemination;
    }

    /**
     * Merges a received claim about another member.
     *
     * @param update    the received claim
     * @param fullState whether the claim is part of a full state, in which outdated claims of a death can reappear
     */
    void merge(Member update, boolean fullState) {
        MemberEntry entry = members.entry(update.name());
        if (entry == null) {
            apply(members.create(update.name()), update, "discovered");
            return;
        }
        Member current = entry.member;
        if (!update.supersedes(current)) {
            mergeOlder(entry, update);
            return;
        }
        if (update.status() == MemberStatus.DEAD && fullState && current.isUp() && update.sameProcess(current)) {
            // The claim may come from the other side of a partition: the member is suspected, so that it can refute it.
            Member suspect = update.withStatus(MemberStatus.SUSPECT, update.accuser());
            if (suspect.supersedes(current)) {
                apply(entry, suspect, reason(current, suspect));
            }
            return;
        }
        if (current.status() == MemberStatus.SUSPECT && update.status() == MemberStatus.ALIVE) {
            local.counters.refutedSuspects++;
        }
        apply(entry, update, reason(current, update));
    }

    /** Handles a claim that does not supersede the current one: it adds an accuser or is out of date. */
    private void mergeOlder(MemberEntry entry, Member update) {
        Member current = entry.member;
        if (!update.sameProcess(current)) {
            return;
        }
        if (update.status() == MemberStatus.SUSPECT
                && current.status() == MemberStatus.SUSPECT
                && update.incarnation() == current.incarnation()) {
            confirmSuspicion(entry, update.accuser());
        } else if (current.status() == MemberStatus.DEAD && update.isUp()) {
            local.counters.staleClaims++;
        }
    }

    /** Suspects a member after this member's own probe of it received no ack. */
    void suspect(MemberEntry entry) {
        Member member = entry.member;
        String accuser = local.self().name();
        if (member.status() == MemberStatus.ALIVE) {
            local.counters.suspicions++;
            apply(entry, member.withStatus(MemberStatus.SUSPECT, accuser), "suspected by " + accuser);
        } else if (member.status() == MemberStatus.SUSPECT) {
            confirmSuspicion(entry, accuser);
        }
    }

    /** Extends every suspicion by the length of a pause of this process that ended at {@code atNs}. */
    void extendSuspicions(long stallNs, long atNs) {
        for (MemberEntry entry : members.upMembers()) {
            if (entry.suspicion != null) {
                entry.suspicion.extend(stallNs, atNs, local.timers);
            }
        }
    }

    private void apply(MemberEntry entry, Member member, String reason) {
        Member before = entry.member;
        entry.member = member;
        entry.changedAtNs = local.timers.nowNs();
        if (entry.suspicion != null) {
            entry.suspicion.cancel();
            entry.suspicion = null;
        }
        members.setUp(entry, member.isUp());
        if (member.status() == MemberStatus.SUSPECT) {
            beginSuspicion(entry);
        }
        if (before == null || before.status() != member.status() || !before.sameProcess(member)) {
            local.reportChange(before, member, reason);
        }
        if (before != null || member.isUp()) { // deaths from before this process joined are not gossiped
            dissemination.enqueue(entry, member);
        }
    }

    private void beginSuspicion(MemberEntry entry) {
        MembershipOptions options = local.options;
        double probeIntervals = options.suspicionMultiplier() * Math.max(1, Math.log10(Math.max(1, members.size())));
        long minTimeoutNs = (long) (probeIntervals * options.probeIntervalNs());
        int expectedConfirmations = options.localHealthEnabled()
                ? Math.min(
                        options.indirectChecks(),
                        Math.max(0, members.upMembers().size() - 1))
                : 0;
        long maxTimeoutNs =
                expectedConfirmations == 0 ? minTimeoutNs : (long) (minTimeoutNs * options.maxSuspicionMultiplier());
        entry.suspicion = new Suspicion(
                entry.member.accuser(), local.timers.nowNs(), minTimeoutNs, maxTimeoutNs, expectedConfirmations);
        entry.suspicion.start(local.timers, () -> confirmDead(entry));
    }

    private void confirmSuspicion(MemberEntry entry, String accuser) {
        if (entry.suspicion != null && entry.suspicion.confirm(accuser, local.timers)) {
            // The update names the new accuser, so that other members count it as well.
            dissemination.enqueue(entry, entry.member.withStatus(MemberStatus.SUSPECT, accuser));
        }
    }

    private void confirmDead(MemberEntry entry) {
        local.counters.confirmedDeaths++;
        Member dead = entry.member.withStatus(MemberStatus.DEAD, entry.member.accuser());
        apply(entry, dead, deathReason(dead));
    }

    private static String reason(Member current, Member update) {
        return switch (update.status()) {
            case ALIVE -> aliveReason(current, update);
            case SUSPECT -> "suspected by " + update.accuser();
            case DEAD -> deathReason(update);
            case LEFT -> "left";
        };
    }

    private static String aliveReason(Member current, Member update) {
        if (!update.sameProcess(current)) {
            return "restarted";
        }
        return current.status() == MemberStatus.SUSPECT ? "refuted" : "alive again";
    }

    private static String deathReason(Member dead) {
        return "confirmed dead, accused by " + dead.accuser();
    }
}
