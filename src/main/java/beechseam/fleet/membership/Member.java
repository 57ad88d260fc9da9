package beechseam.fleet.membership;

import java.util.Map;

/**
 * What is claimed of one member: immutable, so that a gossip update is passed on as it was received. Of two claims
 * about one name {@link #supersedes} tells which holds.
 *
 * @param name        of the member, the same over its restarts
 * @param address     where its link listens, {@code host:port}
 * @param epoch       number of the process under this name, from 1; a restart takes the next
 * @param processId   drawn at random by the process at its start: tells apart two that claim one epoch
 * @param incarnation raised by the member alone, to refute what others claim of this process
 * @param status      what is claimed
 * @param accuser     name of the member that first reported no answer; empty for {@link MemberStatus#ALIVE} and
 *                    {@link MemberStatus#LEFT}
 * @param tags        zone, roles and other attributes; small, since each update carries them
 */
public record Member(
        String name,
        String address,
        long epoch,
        long processId,
        long incarnation,
        MemberStatus status,
        String accuser,
        Map<String, String> tags) {
    /** Approximate bytes of the fields of fixed size. */
    private static final int FIXED_BYTES = 34;

    private static final int TAG_OVERHEAD_BYTES = 4;

    /** Whether the member may be sent to: alive, or suspected and not yet confirmed dead. */
    public boolean isUp() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }

    /** Whether both claims are about one process, whatever its incarnation. */
    public boolean sameProcess(Member other) {
        return epoch == other.epoch && processId == other.processId;
    }

    /**
     * Whether this claim replaces the one held of the same name. The higher epoch wins; of two processes that claim
     * one epoch, the lower process id; of one process, the higher incarnation; of one incarnation, the later status.
     * {@link MemberStatus#LEFT} is final for its process.
     *
     * @param current the claim about the same name that is held now, or null for none
     */
    public boolean supersedes(Member current) {
        if (current == null) {
            return true;
        }
        if (epoch != current.epoch) {
            return epoch > current.epoch;
        }
        if (processId != current.processId) {
            return processId < current.processId;
        }
        if (current.status == MemberStatus.LEFT || status == MemberStatus.LEFT) {
            return current.status != MemberStatus.LEFT;
        }
        return incarnation != current.incarnation
                ? incarnation > current.incarnation
                : status.compareTo(current.status) > 0;
    }

    /** The same process and incarnation with another status; {@code newAccuser} is empty for none. */
    public Member withStatus(MemberStatus newStatus, String newAccuser) {
        return new Member(name, address, epoch, processId, incarnation, newStatus, newAccuser, tags);
    }

    /** The same process, alive in a new incarnation; only the member itself may claim this. */
    public Member refuted(long newIncarnation) {
        return new Member(name, address, epoch, processId, newIncarnation, MemberStatus.ALIVE, "", tags);
    }

    /** The same process, alive in its first incarnation of another epoch; only the member itself may claim this. */
    public Member withEpoch(long newEpoch) {
        return new Member(name, address, newEpoch, processId, 1, MemberStatus.ALIVE, "", tags);
    }

    /** Approximate size of this claim in a message, in bytes. */
    public int approximateBytes() {
        int bytes = FIXED_BYTES + name.length() + address.length() + accuser.length();
        for (Map.Entry<String, String> tag : tags.entrySet()) {
            bytes += tag.getKey().length() + tag.getValue().length() + TAG_OVERHEAD_BYTES;
        }
        return bytes;
    }
}
