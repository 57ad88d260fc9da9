package beechseam.fleet.membership;

/**
 * Handles claims about this process itself: refutes an accusation by a higher incarnation, takes the epoch after an
 * earlier process of its name, and settles with another process that claims the name at the same time.
 */
final class Refutation {
    /** Begins the key of a verification that is on this process's own behalf. */
    private static final String OWN_VERIFICATION = "self";

    private final LocalNode local;
    private final Dissemination dissemination;
    private final FailureDetector failureDetector;

    Refutation(LocalNode local, Dissemination dissemination, FailureDetector failureDetector) {
        this.local = local;
        this.dissemination = dissemination;
        this.failureDetector = failureDetector;
    }

    /** A claim about this process's name was received. */
    void onClaim(Member claim) {
        Member self = local.self();
        if (claim.processId() == self.processId()) {
            refute(claim);
        } else if (local.phase() == MembershipPhase.JOINING) {
            // Whoever accepts the join has verified that the name is free.
            local.setSelf(self.withEpoch(Math.max(self.epoch(), claim.epoch() + 1)));
        } else if (local.isMember() && claim.supersedes(self)) {
            claimName(claim);
        }
    }

    private void refute(Member claim) {
        Member self = local.self();
        if (local.isMember()
                && claim.epoch() == self.epoch()
                && claim.status() != MemberStatus.ALIVE
                && claim.incarnation() >= self.incarnation()) {
            local.counters.refutations++;
            local.awareness.adjust(1); // an accused member has probably been slow itself
            dissemination.announceSelf(self.refuted(claim.incarnation() + 1));
        }
    }

    /** Another process has the better claim to this name: it is superseded unless it answers. */
    private void claimName(Member other) {
        Runnable takeNextEpoch = () -> dissemination.announceSelf(local.self().withEpoch(other.epoch() + 1));
        if (!other.isUp() || other.address().equals(local.self().address())) {
            takeNextEpoch.run();
            return;
        }
        failureDetector.verifyHolder(
                OWN_VERIFICATION + other.processId(),
                other,
                () -> local.reject(JoinProtocol.nameTakenReason(other)),
                takeNextEpoch);
    }
}
