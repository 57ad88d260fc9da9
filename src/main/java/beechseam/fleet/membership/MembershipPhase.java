package beechseam.fleet.membership;

/** The phases of this process's own membership. */
public enum MembershipPhase {
    /** The process contacts the seeds and waits for one to accept it. */
    JOINING,
    /** The process takes part in the protocol. */
    MEMBER,
    /** The process announces its departure. */
    LEAVING,
    /** The departure has been announced; the process no longer takes part in the protocol. */
    LEFT,
    /** Another process holds this name; the process no longer takes part in the protocol. */
    REJECTED
}
