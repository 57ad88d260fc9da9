package beechseam.fleet.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Queue of gossip updates to send, with at most one update per member. Updates that were sent least often come first,
 * and among these the newest. An update is dropped once it has been sent as often as the retransmit limit allows.
 * Operations cost O(log n) per update.
 */
final class UpdateQueue {
    /** One queued update. */
    static final class Update implements Comparable<Update> {
        private final Member member;
        private final long order;
        private int transmits;

        private Update(Member member, long order) {
            this.member = member;
            this.order = order;
        }

        @Override
        public int compareTo(Update other) {
            return transmits != other.transmits
                    ? Integer.compare(transmits, other.transmits)
                    : Long.compare(other.order, order);
        }
    }

    private final TreeSet<Update> queue = new TreeSet<>();
    private long enqueued;

    boolean isEmpty() {
        return queue.isEmpty();
    }

    void clear() {
        queue.clear();
    }

    /** Queues an update, replacing any queued update for the same entry. */
    void enqueue(MemberEntry entry, Member member) {
        if (entry.update != null) {
            queue.remove(entry.update);
        }
        entry.update = new Update(member, ++enqueued);
        queue.add(entry.update);
    }

    /** Takes updates for one message until they reach {@code maxBytes}, and counts each as sent once more. */
    List<Member> take(int maxBytes, int retransmitLimit) {
        List<Member> taken = new ArrayList<>();
        List<Update> requeued = new ArrayList<>();
        int bytes = 0;
        while (bytes < maxBytes && !queue.isEmpty()) {
            Update update = queue.pollFirst();
            bytes += update.member.approximateBytes();
            taken.add(update.member);
            update.transmits++;
            if (update.transmits < retransmitLimit) {
                requeued.add(update);
            }
        }
        queue.addAll(requeued);
        return taken;
    }
}
