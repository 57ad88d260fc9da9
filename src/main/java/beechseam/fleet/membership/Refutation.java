package beechseam.fleet.membership;

/**
 * Handles claims about this process itself. It refutes an accusation with a higher incarnation, takes the epoch after
 * that of an earlier process of its name, and resolves the conflict with another running process that claims the name.
 */
final class Refutation {
    /** Prefix of the keys of verifications about this process's own name. */
    private static final String OWN_VERIFICATION = "self";

    private final LocalNode local;
    private final Dissemination dissemination;
    private final FailureDetector failureDetector;

    Refutation(LocalNode local, Dissemination dissemination, FailureDetector failureDetector) {
        this.local = local;
        this.dissemination = dissemination;
        this.failureDetector = failureDetector;
    }

    /** Handles a received claim about this process's name. */
    void onClaim(Member claim) {
        Member self = local.self();
        if (claim.processId() == self.processId()) {
            refute(claim);
        } else if (local.phase() == MembershipPhase.JOINING) {
            // The member that accepts the join verifies that the name is available.
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
            local.awareness.adjust(1); // an accused member has probably been slow
            dissemination.announceSelf(self.refuted(claim.incarnation() + 1));
        }
    }

    /**
     * Resolves a conflict with another process whose claim to this name takes precedence. This process takes the next
     * epoch if the other one is down or does not answer, and is rejected if it answers.
     */
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
