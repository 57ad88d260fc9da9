package beechseam.fleet.membership;

import java.util.List;
import java.util.Random;

/** What the parts of one {@link Membership} share: this process as a member, its settings, clock, draws and host. */
final class LocalNode {
    final MembershipOptions options;
    final MembershipHost host;
    /** One generator for all parts: the order of draws decides what happens. */
    final Random random;

    final Timers timers;
    final MembershipCounters counters = new MembershipCounters();
    final Awareness awareness;
    /** Carries the gossip update about this process itself. */
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

    /** When this process began, in nanoseconds. */
    long startedNs() {
        return startedNs;
    }

    long viewVersion() {
        return viewVersion;
    }

    /** Counts a change of the view and reports it to the host. */
    void reportChange(Member before, Member after, String reason) {
        viewVersion++;
        host.memberChanged(before, after, reason);
    }

    void send(Member receiver, Message message) {
        host.send(receiver.name(), receiver.address(), message);
    }

    /** The configured seeds without this process's own address. */
    List<String> otherSeeds() {
        return options.seeds().stream()
                .filter(seed -> !seed.equals(self.address()))
                .toList();
    }

    /** A random time between three and five quarters of the interval, in its unit. */
    long jittered(long interval) {
        return (long) (interval * (0.75 + random.nextDouble() / 2));
    }

    /** Ends this process's membership: another process holds its name. */
    void reject(String reason) {
        phase = MembershipPhase.REJECTED;
        timers.clear();
        host.rejected(reason);
    }
}
