package beechseam.fleet.membership;

import java.util.List;

/** What members send to each other. Every message carries gossip updates ({@link #updates}) beside its own content. */
public sealed interface Message {
    /** Approximate bytes that each message takes. */
    int FRAME_BYTES = 12;
    /** Approximate bytes of the content of a message with at most a sequence number. */
    int SMALL_CONTENT_BYTES = 6;

    /** Gossip updates carried along, in the order in which they are to be applied; never null, may be empty. */
    List<Member> updates();

    /**
     * Asks the target whether it is alive. Another process than the one meant does not acknowledge.
     *
     * @param sequence  chosen by the sender, returned in {@link Ack}
     * @param target    name of the member that is meant
     * @param processId of the process that is meant, 0 for whichever holds the name
     * @param updates   gossip updates
     */
    record Ping(long sequence, String target, long processId, List<Member> updates) implements Message {
        private static final int FIXED_BYTES = 16;

        @Override
        public int contentBytes() {
            return FIXED_BYTES + target.length();
        }
    }

    /**
     * Asks the receiver to ping the target on the sender's behalf (indirect ping).
     *
     * @param sequence  chosen by the sender, returned in {@link Ack} or {@link Nack}
     * @param target    name of the member to ping
     * @param processId of the process that is meant
     * @param address   of the target
     * @param updates   gossip updates
     */
    record PingRequest(long sequence, String target, long processId, String address, List<Member> updates)
            implements Message {
        private static final int FIXED_BYTES = 18;

        @Override
        public int contentBytes() {
            return FIXED_BYTES + target.length() + address.length();
        }
    }

    /** Answer to a {@link Ping} or {@link PingRequest} of this sequence number: the target is alive. */
    record Ack(long sequence, List<Member> updates) implements Message {}

    /** Answer to a {@link PingRequest} of this sequence number: the target has not answered its sender either. */
    record Nack(long sequence, List<Member> updates) implements Message {}

    /** Gossip updates alone. */
    record Gossip(List<Member> updates) implements Message {}

    /** A process asks to join as {@code joiner}; the epoch given there is not relied on. */
    record Join(Member joiner, List<Member> updates) implements Message {
        @Override
        public int contentBytes() {
            return joiner.approximateBytes();
        }
    }

    /** The join is accepted; {@code updates} is the full state, with earlier processes of the joiner's name. */
    record JoinAccepted(List<Member> updates) implements Message {}

    /** The join is rejected; {@code reason} is text for operators. */
    record JoinRejected(String reason, List<Member> updates) implements Message {
        private static final int FIXED_BYTES = 2;

        @Override
        public int contentBytes() {
            return FIXED_BYTES + reason.length();
        }
    }

    /** The sender's full state (push-pull); a receiver answers with its own unless {@code reply} is set. */
    record StateExchange(boolean reply, List<Member> updates) implements Message {}

    /** Approximate size on a link, in bytes, frame included. */
    default int approximateBytes() {
        int bytes = FRAME_BYTES + contentBytes();
        for (Member update : updates()) {
            bytes += update.approximateBytes();
        }
        return bytes;
    }

    /** Approximate size of what the message holds beside its updates, in bytes. */
    default int contentBytes() {
        return SMALL_CONTENT_BYTES;
    }
}
