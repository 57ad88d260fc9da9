package beechseam.fleet.membership;

import java.util.List;
import java.util.Random;

/**
 * State shared by the components of one {@link Membership}: this process as a member, its settings, timers, random
 * generator and host.
 */
final class LocalNode {
    final MembershipOptions options;
    final MembershipHost host;
    /** One generator for all components: a run is reproducible only if they draw from it in the same order. */
    final Random random;

    final Timers timers;
    final MembershipCounters counters = new MembershipCounters();
    final Awareness awareness;
    /** Holds the queued gossip update about this process itself. */
    final MemberEntry entry = new MemberEntry();

    private final long startedNs;
    private Member self;
    private MembershipPhase phase = MembershipPhase.JOINING;
    private long viewVersion;

    LocalNode(Member self, MembershipOptions options, Timers timers, Random random, MembershipHost host) {
        this.self = self.withEpoch(1);
        this.options = options;
        this.timers = timers;
        this.random = random;
        this.host = host;
        awareness = new Awareness(options.localHealthEnabled());
        startedNs = timers.nowNs();
    }

    Member self() {
        return self;
    }

    void setSelf(Member newSelf) {
        self = newSelf;
    }

    MembershipPhase phase() {
        return phase;
    }

    void setPhase(MembershipPhase newPhase) {
        phase = newPhase;
    }

    boolean isMember() {
        return phase == MembershipPhase.MEMBER;
    }

    /** When this membership was created, in nanoseconds. */
    long startedNs() {
        return startedNs;
    }

    long viewVersion() {
        return viewVersion;
    }

    /** Raises the view version and reports the change to the host. */
    void reportChange(Member before, Member after, String reason) {
        viewVersion++;
        host.memberChanged(before, after, reason);
    }

    void send(Member receiver, Message message) {
        host.send(receiver.name(), receiver.address(), message);
    }

    /** The configured seeds, except this process's own address. */
    List<String> otherSeeds() {
        return options.seeds().stream()
                .filter(seed -> !seed.equals(self.address()))
                .toList();
    }

    /** A random duration between 75 % and 125 % of the interval, in the same unit. */
    long jittered(long interval) {
        return (long) (interval * (0.75 + random.nextDouble() / 2));
    }

    /** Ends this process's membership because another process holds its name. */
    void reject(String reason) {
        phase = MembershipPhase.REJECTED;
        timers.clear();
        host.rejected(reason);
    }
}
