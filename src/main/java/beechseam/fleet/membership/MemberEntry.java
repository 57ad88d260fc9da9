package beechseam.fleet.membership;

/** State about one other member. The fields are written by {@link MemberTable} and its users in this package. */
final class MemberEntry {
    /** Value of {@link #upIndex} for a member that is not up. */
    static final int NOT_UP = -1;

    /** The current claim; null only until the first one is applied. */
    Member member;
    /** When {@link #member} was applied, in nanoseconds. */
    long changedAtNs;
    /** The running suspicion, or null. */
    Suspicion suspicion;
    /** Index in the list of members that are up, or {@link #NOT_UP}. */
    int upIndex = NOT_UP;
    /** The last queued update about this member, or null; it may have left the queue at the retransmit limit. */
    UpdateQueue.Update update;
}
