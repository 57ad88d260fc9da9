package beechseam.fleet.membership;

import java.util.Map;

/**
 * What is told of one node: immutable, so that it can be handed on as it came. Of two that are told of a name
 * the newer one holds, see {@link #supersedes}.
 *
 * @param name        of the node, the same over its restarts
 * @param address     where its link listens, {@code host:port}
 * @param epoch       which of the name's lives this is, from 1; a restart takes the next
 * @param life        drawn by the process at its start: tells apart two that claim one epoch
 * @param incarnation raised by the node alone, to contradict what others say of this life
 * @param state       what is said
 * @param accuser     who said first that it does not answer; empty for {@link State#ALIVE} and {@link
 *             State#LEFT}
 * @param tags        zone, roles and whatever else it tells of itself; small, since it goes along everywhere
 */
public record Standing(
        String name,
        String address,
        long epoch,
        long life,
        long incarnation,
        State state,
        String accuser,
        Map<String, String> tags) {
    /** The later one wins among equals in all else. */
    public enum State {
        ALIVE,
        SUSPECT,
        DEAD,
        LEFT
    }

    /** About the bytes it takes in a message, beside its texts. */
    private static final int FRAME = 34;

    /** Whether the node may be sent to. */
    public boolean up() {
        return state == State.ALIVE || state == State.SUSPECT;
    }

    /** Whether both tell of one process. */
    public boolean sameLife(Standing other) {
        return epoch == other.epoch && life == other.life;
    }

    /**
     * Whether this is news to who holds the other, of the same name. A later life holds against an earlier
     * one; of two processes that claim one epoch the one of the lower life; of one life the higher
     * incarnation, and of one incarnation the worse state. What has left does not come back in that life.
     */
    public boolean supersedes(Standing held) {
        if (held == null) {
            return true;
        }
        if (epoch != held.epoch) {
            return epoch > held.epoch;
        }
        if (life != held.life) {
            return life < held.life;
        }
        if (held.state == State.LEFT || state == State.LEFT) {
            return held.state != State.LEFT;
        }
        return incarnation != held.incarnation ? incarnation > held.incarnation : state.compareTo(held.state) > 0;
    }

    /** The same life in another state. */
    public Standing as(State other, String by) {
        return new Standing(name, address, epoch, life, incarnation, other, by, tags);
    }

    /** The same life, claimed anew by its node. */
    public Standing reclaimed(long newIncarnation) {
        return new Standing(name, address, epoch, life, newIncarnation, State.ALIVE, "", tags);
    }

    /** About how many bytes it takes in a message. */
    public int weight() {
        int sum = FRAME + name.length() + address.length() + accuser.length();
        for (Map.Entry<String, String> tag : tags.entrySet()) {
            sum += tag.getKey().length() + tag.getValue().length() + 4;
        }
        return sum;
    }
}
