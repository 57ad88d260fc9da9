package beechseam.fleet.membership;

/** What this member keeps of one other; the fields belong to {@link MemberTable} and its users in this package. */
final class MemberEntry {
    static final int NOT_UP = -1;

    /** The claim held for true; null only until the first one is applied. */
    Member member;
    /** When {@link #member} was applied, in nanoseconds. */
    long changedAtNs;
    /** The open suspicion, or null. */
    Suspicion suspicion;
    /** Position among the members that are up, or {@link #NOT_UP}. */
    int upIndex = NOT_UP;
    /** The update last queued about this member, or null; it may have been sent often enough already. */
    UpdateQueue.Update update;
}
