package beechseam.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * SWIM's probe order: a random permutation of the members that are up, which is reshuffled after each round, so that
 * the time until a given member is probed is bounded. A new member is inserted at a random position of the current
 * round.
 */
final class ProbeRound {
    private final Random random;
    private final List<MemberEntry> order = new ArrayList<>();
    private int next;

    ProbeRound(Random random) {
        this.random = random;
    }

    /** Inserts a member at a random position of the rest of this round. */
    void add(MemberEntry entry) {
        order.add(next + random.nextInt(order.size() - Math.min(next, order.size()) + 1), entry);
    }

    /** The member to probe next, or null if none of {@code upMembers} can be probed. */
    MemberEntry next(List<MemberEntry> upMembers) {
        for (int i = order.size(); i >= 0; i--) {
            if (next >= order.size()) {
                next = 0;
                order.clear();
                order.addAll(upMembers);
                Collections.shuffle(order, random);
            }
            if (order.isEmpty()) {
                return null;
            }
            MemberEntry entry = order.get(next++);
            if (entry.upIndex != MemberEntry.NOT_UP) {
                return entry;
            }
        }
        return null;
    }
}
