package beechseam.fleet.membership;

import java.util.Map;

/**
 * A claim about one member: its identity, status and attributes. Claims are immutable, so that a gossip update is
 * passed on as it was received. {@link #supersedes} decides which of two claims about the same name is kept.
 *
 * @param name        name of the member, the same across restarts
 * @param address     address on which the member listens, {@code host:port}
 * @param epoch       number of the process under this name, from 1; each restart takes the next number
 * @param processId   random number drawn by the process at its start, which distinguishes two processes that claim
 *                    the same epoch
 * @param incarnation version that only the member itself raises, to refute claims of others about this process
 * @param status      the claimed status
 * @param accuser     name of the member that reported a failed probe; empty for {@link MemberStatus#ALIVE} and
 *                    {@link MemberStatus#LEFT}
 * @param tags        zone, roles and other attributes; kept small because every update carries them
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
    /** Approximate total size of the fixed-size fields, in bytes. */
    private static final int FIXED_BYTES = 34;

    private static final int TAG_OVERHEAD_BYTES = 4;

    /** Whether messages may be sent to the member: it is alive, or suspected and not yet confirmed dead. */
    public boolean isUp() {
        return status == MemberStatus.ALIVE || status == MemberStatus.SUSPECT;
    }

    /** Whether both claims are about the same process, regardless of the incarnation. */
    public boolean sameProcess(Member other) {
        return epoch == other.epoch && processId == other.processId;
    }

    /**
     * Whether this claim replaces the current one about the same name. The higher epoch wins. If two processes claim
     * the same epoch, the lower process id wins. For the same process the higher incarnation wins, and for the same
     * incarnation the later status in the order of {@link MemberStatus}. {@link MemberStatus#LEFT} is final for its
     * process.
     *
     * @param current the current claim about the same name, or null if there is none
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

    /** A claim about the same process and incarnation with another status; {@code newAccuser} may be empty. */
    public Member withStatus(MemberStatus newStatus, String newAccuser) {
        return new Member(name, address, epoch, processId, incarnation, newStatus, newAccuser, tags);
    }

    /** A claim that the same process is alive in a new incarnation; only the member itself may make it. */
    public Member refuted(long newIncarnation) {
        return new Member(name, address, epoch, processId, newIncarnation, MemberStatus.ALIVE, "", tags);
    }

    /** A claim that the process is alive, in the first incarnation of another epoch; made only by the member itself. */
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
