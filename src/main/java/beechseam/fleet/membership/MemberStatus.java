package beechseam.fleet.membership;

/**
 * The claimed status of a member. The order of the constants matters: of two claims with the same incarnation the one
 * with the later constant wins, see {@link Member#supersedes}.
 */
public enum MemberStatus {
    /** The member answers pings, or has not been suspected yet. */
    ALIVE,
    /** At least one member received no ack to a probe; the suspected member can still refute. */
    SUSPECT,
    /** The member is confirmed dead: the suspicion timed out without a refutation. */
    DEAD,
    /** The member announced that it left; final for this process. */
    LEFT
}
