package beechseam.fleet.membership;

/**
 * What is claimed of a member. The order counts: of two claims with one incarnation the later constant wins, see
 * {@link Member#supersedes}.
 */
public enum MemberStatus {
    /** Answers pings, or has not been suspected yet. */
    ALIVE,
    /** Did not answer the probe of at least one member; may still refute. */
    SUSPECT,
    /** Confirmed dead: the suspicion timed out without a refutation. */
    DEAD,
    /** Left by its own decision; final for this process. */
    LEFT
}
