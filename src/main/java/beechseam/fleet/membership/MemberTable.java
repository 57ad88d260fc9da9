package beechseam.fleet.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All members that this process knows, including dead and departed ones, and the set of members that are up, from
 * which a random one is chosen in O(1). Iteration follows the order in which members were first discovered.
 */
final class MemberTable {
    /** Random draws per requested entry, after which {@link #sample} returns fewer entries than requested. */
    private static final int DRAWS_PER_ENTRY = 4;

    private final LocalNode local;
    private final Map<String, MemberEntry> entries = new LinkedHashMap<>();
    private final List<MemberEntry> upMembers = new ArrayList<>();
    private final ProbeRound probeRound;

    MemberTable(LocalNode local) {
        this.local = local;
        probeRound = new ProbeRound(local.random);
    }

    /** The entry of another member, or null for an unknown name. */
    MemberEntry entry(String name) {
        return entries.get(name);
    }

    /** Adds an entry that has no claim yet. */
    MemberEntry create(String name) {
        MemberEntry entry = new MemberEntry();
        entries.put(name, entry);
        return entry;
    }

    /** All other members, including those that are down. */
    Iterable<MemberEntry> others() {
        return entries.values();
    }

    /** The other members that are up. */
    List<MemberEntry> upMembers() {
        return upMembers;
    }

    /** The current claim about a name, which may be this process's own, or null for an unknown name. */
    Member find(String name) {
        if (name.equals(local.self().name())) {
            return local.self();
        }
        MemberEntry entry = entries.get(name);
        return entry == null ? null : entry.member;
    }

    /** The full state: this process, followed by all other members. */
    List<Member> all() {
        List<Member> all = new ArrayList<>(entries.size() + 1);
        all.add(local.self());
        entries.values().forEach(entry -> all.add(entry.member));
        return all;
    }

    /** The number of members that are up. This process is counted once it is a member. */
    int size() {
        return upMembers.size() + (local.isMember() ? 1 : 0);
    }

    /** Adds an entry to the set of members that are up, or removes it. */
    void setUp(MemberEntry entry, boolean isUp) {
        if (isUp && entry.upIndex == MemberEntry.NOT_UP) {
            entry.upIndex = upMembers.size();
            upMembers.add(entry);
            probeRound.add(entry);
        } else if (!isUp && entry.upIndex != MemberEntry.NOT_UP) {
            MemberEntry last = upMembers.remove(upMembers.size() - 1);
            if (last != entry) {
                upMembers.set(entry.upIndex, last);
                last.upIndex = entry.upIndex;
            }
            entry.upIndex = MemberEntry.NOT_UP;
        }
    }

    /** The member to probe next, or null if no member is up. */
    MemberEntry nextToProbe() {
        return probeRound.next(upMembers);
    }

    /** Up to {@code count} distinct random members that are up, without {@code excluded} (null excludes none). */
    List<MemberEntry> sample(int count, MemberEntry excluded) {
        List<MemberEntry> sampled = new ArrayList<>(count);
        int candidates = upMembers.size();
        for (int i = 0; i < DRAWS_PER_ENTRY * count && sampled.size() < count && candidates > 0; i++) {
            MemberEntry entry = upMembers.get(local.random.nextInt(candidates));
            if (entry != excluded && !sampled.contains(entry)) {
                sampled.add(entry);
            }
        }
        return sampled;
    }

    /** Removes dead and departed members whose tombstone retention has expired. */
    void removeExpired() {
        entries.values()
                .removeIf(entry -> !entry.member.isUp()
                        && local.timers.nowNs() - entry.changedAtNs > local.options.tombstoneRetentionNs());
    }

    /** A hash of the processes that this member considers up, independent of their order; costs O(n). */
    long digest() {
        long sum = local.isMember() ? hash(local.self()) : 0;
        for (MemberEntry entry : upMembers) {
            sum += hash(entry.member);
        }
        return sum;
    }

    /** Mixes name, epoch and process id with the finalizer of SplitMix64. */
    private static long hash(Member member) {
        long bits = (member.name().hashCode() * 31L + member.epoch()) * 0x9E3779B97F4A7C15L ^ member.processId();
        bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        return bits ^ bits >>> 27;
    }
}
