package beechseam.fleet.membership;

/** The environment of a {@link Membership}. No method may call back into the membership before it returns. */
public interface MembershipHost {
    /**
     * Sends a message, without a guarantee of delivery.
     *
     * @param name    name of the receiver; empty if only its address is known, never null
     * @param address address of the receiver, {@code host:port}
     * @param message the message to send
     */
    void send(String name, String address, Message message);

    /**
     * Reports a changed claim about a member.
     *
     * @param before the previous claim, null for a member that was not known
     * @param after  the new claim
     * @param reason text for operators
     */
    void memberChanged(Member before, Member after, String reason);

    /**
     * Reports that this process was rejected as a member. The membership then neither sends nor schedules anything.
     *
     * @param reason text for operators
     */
    void rejected(String reason);
}
