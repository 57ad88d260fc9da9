package beechseam.fleet.membership;

import java.util.List;

/** A message between members. Every message carries gossip updates ({@link #updates}) besides its own content. */
public sealed interface Message {
    /** Approximate overhead of each message, in bytes. */
    int FRAME_BYTES = 12;
    /** Approximate size of the content of a message that holds at most a sequence number, in bytes. */
    int SMALL_CONTENT_BYTES = 6;

    /** The piggybacked gossip updates, in the order in which they are applied; never null, may be empty. */
    List<Member> updates();

    /**
     * Asks the target whether it is alive. A process other than the addressed one does not acknowledge.
     *
     * @param sequence  chosen by the sender, returned in {@link Ack}
     * @param target    name of the addressed member
     * @param processId id of the addressed process, or 0 for any process that holds the name
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
     * @param processId id of the process to ping
     * @param address   address of the target
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

    /** Answer to a {@link Ping} or {@link PingRequest} with this sequence number: the target is alive. */
    record Ack(long sequence, List<Member> updates) implements Message {}

    /** Answer to a {@link PingRequest} with this sequence number: the target has not answered the helper either. */
    record Nack(long sequence, List<Member> updates) implements Message {}

    /** Carries only gossip updates. */
    record Gossip(List<Member> updates) implements Message {}

    /** Asks to join as {@code joiner}; the receiver does not rely on the epoch in it. */
    record Join(Member joiner, List<Member> updates) implements Message {
        @Override
        public int contentBytes() {
            return joiner.approximateBytes();
        }
    }

    /** Accepts a join; {@code updates} is the full state, including an earlier process of the joiner's name. */
    record JoinAccepted(List<Member> updates) implements Message {}

    /** Rejects a join; {@code reason} is text for operators. */
    record JoinRejected(String reason, List<Member> updates) implements Message {
        private static final int FIXED_BYTES = 2;

        @Override
        public int contentBytes() {
            return FIXED_BYTES + reason.length();
        }
    }

    /** Carries the sender's full state (push-pull). The receiver answers with its own unless {@code reply} is set. */
    record StateExchange(boolean reply, List<Member> updates) implements Message {}

    /** Approximate size of the message on the network, in bytes, including its frame. */
    default int approximateBytes() {
        int bytes = FRAME_BYTES + contentBytes();
        for (Member update : updates()) {
            bytes += update.approximateBytes();
        }
        return bytes;
    }

    /** Approximate size of the content besides the updates, in bytes. */
    default int contentBytes() {
        return SMALL_CONTENT_BYTES;
    }
}
