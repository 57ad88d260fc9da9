package beechseam.fleet.membership;

/** What {@link Membership} requires of its surroundings. No method may call back into it before it returns. */
public interface MembershipHost {
    /**
     * Sends a message, without a promise of delivery.
     *
     * @param name    of the receiver; empty where only its address is known, never null
     * @param address of the receiver, {@code host:port}
     * @param message to send
     */
    void send(String name, String address, Message message);

    /**
     * Reports a changed member.
     *
     * @param before the state until now, null for a member that was not known
     * @param after  the state from now on
     * @param reason text for operators
     */
    void memberChanged(Member before, Member after, String reason);

    /**
     * Reports that this process may not be a member; from now on it neither sends nor schedules anything.
     *
     * @param reason text for operators
     */
    void rejected(String reason);
}
