package beechseam.fleet.membership;

/** The stages of this process's own membership. */
public enum MembershipPhase {
    /** Contacts the seeds and waits to be accepted. */
    JOINING,
    /** Takes part in the protocol. */
    MEMBER,
    /** Announces its departure. */
    LEAVING,
    /** The departure has been announced; the process is silent. */
    LEFT,
    /** Another process holds this name; the process is silent. */
    REJECTED
}
