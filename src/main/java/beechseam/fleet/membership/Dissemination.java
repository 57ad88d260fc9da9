package beechseam.fleet.membership;

import java.util.List;

/**
 * Disseminates gossip updates: piggybacked on other messages, and by {@link Message.Gossip} to a few random members
 * in each gossip interval while updates are queued. The number of intervals until an update reaches all members grows
 * with the logarithm of the fleet's size, and so does the retransmit limit.
 */
final class Dissemination {
    /** Soft limit on the size of the updates in one message, in bytes; the last update may exceed it. */
    private static final int MAX_UPDATE_BYTES = 1200;
    /** Factor of the retransmit limit: multiplied by the decimal logarithm of the fleet's size, rounded up. */
    private static final int RETRANSMIT_MULTIPLIER = 4;

    /** Number of members that receive a gossip message in each gossip interval. */
    private static final int FANOUT = 3;

    private static final int GOSSIPS_PER_PROBE_INTERVAL = 5;

    private final LocalNode local;
    private final MemberTable members;
    private final UpdateQueue queue = new UpdateQueue();
    private boolean scheduled;

    Dissemination(LocalNode local, MemberTable members) {
        this.local = local;
        this.members = members;
    }

    /** Queues an update about another member. */
    void enqueue(MemberEntry entry, Member member) {
        queue.enqueue(entry, member);
        if (!scheduled && local.isMember()) {
            scheduled = true;
            long delayNs =
                    (long) (local.random.nextDouble() * local.options.probeIntervalNs() / GOSSIPS_PER_PROBE_INTERVAL);
            local.timers.after(delayNs, this::gossipRound);
        }
    }

    /** Sets this process's own state and queues an update about it. */
    void announceSelf(Member self) {
        local.setSelf(self);
        enqueue(local.entry, self);
    }

    /** Announces repeatedly during one probe interval that this process leaves. */
    void announceLeave() {
        enqueue(local.entry, local.self());
        for (int i = 0; i < GOSSIPS_PER_PROBE_INTERVAL; i++) {
            local.timers.after(i * local.options.probeIntervalNs() / GOSSIPS_PER_PROBE_INTERVAL, this::gossip);
        }
    }

    /** The updates to piggyback on the next message, in a list that the caller may modify. */
    List<Member> nextUpdates() {
        int retransmitLimit = (int) (RETRANSMIT_MULTIPLIER
                * Math.ceil(Math.log10(members.upMembers().size() + 2)));
        return queue.take(MAX_UPDATE_BYTES, retransmitLimit);
    }

    private void gossipRound() {
        scheduled = false;
        if (!local.isMember()) {
            return;
        }
        gossip();
        if (!queue.isEmpty()) {
            scheduled = true;
            local.timers.after(local.options.probeIntervalNs() / GOSSIPS_PER_PROBE_INTERVAL, this::gossipRound);
        }
    }

    private void gossip() {
        for (MemberEntry entry : members.sample(FANOUT, null)) {
            List<Member> updates = nextUpdates();
            if (!updates.isEmpty()) {
                local.send(entry.member, new Message.Gossip(updates));
            }
        }
        if (members.upMembers().isEmpty()) {
            queue.clear(); // a member that joins later receives the full state
        }
    }
}
