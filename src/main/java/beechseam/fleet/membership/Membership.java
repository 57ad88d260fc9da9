package beechseam.fleet.membership;

import beechseam.fleet.membership.Message.Ack;
import beechseam.fleet.membership.Message.Join;
import beechseam.fleet.membership.Message.JoinAccepted;
import beechseam.fleet.membership.Message.JoinRejected;
import beechseam.fleet.membership.Message.Nack;
import beechseam.fleet.membership.Message.Ping;
import beechseam.fleet.membership.Message.PingRequest;
import beechseam.fleet.membership.Message.StateExchange;
import java.util.List;
import java.util.Random;

/**
 * One node's part in the membership protocol: SWIM with suspicion, incarnations and piggybacked gossip updates, and
 * Lifeguard's three extensions: local health scales the time-outs of a degraded member, a suspicion lasts longer the
 * fewer accusers it has, and a suspect is told of the claim with the ping. This class takes messages and time and
 * passes them to its parts in a fixed order.
 *
 * <p>Single-threaded. The same seed and events give the same messages. A message costs O(log n) an update it carries,
 * a {@link StateExchange} O(n). Times are nanoseconds of a clock that the host chooses.
 */
public final class Membership {
    private final LocalNode local;
    private final Timers timers;
    private final MemberTable members;
    private final Dissemination dissemination;
    private final MemberUpdates updates;
    private final FailureDetector failureDetector;
    private final Refutation refutation;
    private final StateExchanger stateExchanger;
    private final JoinProtocol joinProtocol;

    /**
     * Sets up a process that has not begun to join.
     *
     * @param self    name, address, process id and tags of this process; status, epoch and incarnation are set here
     * @param options settings of the protocol
     * @param nowNs   the current time
     * @param seed    of all random draws
     * @param host    sends messages and is told of changes
     */
    public Membership(Member self, MembershipOptions options, long nowNs, long seed, MembershipHost host) {
        timers = new Timers(nowNs);
        local = new LocalNode(self, options, timers, new Random(seed), host);
        members = new MemberTable(local);
        dissemination = new Dissemination(local, members);
        updates = new MemberUpdates(local, members, dissemination);
        failureDetector = new FailureDetector(local, members, dissemination, updates);
        refutation = new Refutation(local, dissemination, failureDetector);
        stateExchanger = new StateExchanger(local, members);
        joinProtocol = new JoinProtocol(local, members, dissemination, failureDetector, stateExchanger);
    }

    /** Begins to join by contacting the seeds; without other seeds this process is a member at once. */
    public void start(long atNs) {
        timers.setNow(atNs);
        joinProtocol.start();
    }

    /** When {@link #advance} has to be called next, {@code Long.MAX_VALUE} for never. */
    public long nextDueNs() {
        return timers.nextDueNs();
    }

    /** Runs what is due. A call that comes late counts as a pause of this process, not as silence of the others. */
    public void advance(long atNs) {
        long lateNs = atNs - nextDueNs();
        if (local.options.localHealthEnabled() && lateNs > local.options.probeTimeoutNs() / 2) {
            failureDetector.onStall(atNs, lateNs);
        }
        timers.advanceTo(atNs);
        timers.runDue();
    }

    /**
     * Takes a received message.
     *
     * @param atNs    the current time
     * @param name    of the sender; empty where it is not known
     * @param address of the sender, to which an answer is sent
     * @param message as received
     */
    public void receive(long atNs, String name, String address, Message message) {
        timers.advanceTo(atNs);
        if (phase() == MembershipPhase.REJECTED || phase() == MembershipPhase.LEFT) {
            return;
        }
        boolean fullState = message instanceof StateExchange || message instanceof JoinAccepted;
        for (Member update : message.updates()) {
            if (update.name().equals(local.self().name())) {
                refutation.onClaim(update);
            } else {
                updates.merge(update, fullState);
            }
        }
        handle(name, address, message);
    }

    private void handle(String name, String address, Message message) {
        if (message instanceof Ping ping) {
            failureDetector.onPing(name, address, ping);
        } else if (message instanceof PingRequest request) {
            failureDetector.onPingRequest(name, address, request);
        } else if (message instanceof Ack ack) {
            failureDetector.onAck(ack.sequence());
        } else if (message instanceof Nack nack) {
            failureDetector.onNack(nack.sequence());
        } else if (message instanceof Join join) {
            joinProtocol.onJoin(join.joiner());
        } else if (message instanceof JoinAccepted) {
            joinProtocol.onAccepted(name.isEmpty() ? address : name);
        } else if (message instanceof JoinRejected rejected) {
            joinProtocol.onRejected(rejected.reason());
        } else if (message instanceof StateExchange exchange) {
            stateExchanger.onExchange(name, address, exchange);
        }
    }

    /** Leaves the fleet; the phase is {@link MembershipPhase#LEFT} once the departure has been announced. */
    public void leave(long atNs) {
        timers.setNow(atNs);
        if (phase() != MembershipPhase.MEMBER) {
            local.setPhase(MembershipPhase.LEFT);
            return;
        }
        local.setPhase(MembershipPhase.LEAVING);
        Member before = local.self();
        local.setSelf(before.withStatus(MemberStatus.LEFT, ""));
        local.reportChange(before, local.self(), "leaving");
        dissemination.announceLeave();
        timers.after(local.options.probeIntervalNs(), () -> local.setPhase(MembershipPhase.LEFT));
    }

    /** The stage of this process's own membership. */
    public MembershipPhase phase() {
        return local.phase();
    }

    /** This process as it presents itself. */
    public Member self() {
        return local.self();
    }

    /** All members that are known, this process first, dead and departed ones included. */
    public List<Member> members() {
        return members.all();
    }

    /** When the claim held of a name was applied; the start for this process, -1 for a name that is not known. */
    public long changedAtNs(String name) {
        if (name.equals(local.self().name())) {
            return local.startedNs();
        }
        MemberEntry entry = members.entry(name);
        return entry == null ? -1 : entry.changedAtNs;
    }

    /** The claim held of a name, or null where it is not known. */
    public Member member(String name) {
        return members.find(name);
    }

    /** The number of members that are up, this process included once it is one. */
    public int size() {
        return members.size();
    }

    /** Grows by one with each change that this process applies; versions of two processes do not compare. */
    public long viewVersion() {
        return local.viewVersion();
    }

    /** The same at two members that hold the same processes for up, in whatever order; O(n). */
    public long digest() {
        return members.digest();
    }

    /** Lifeguard's local health score: 0 for healthy, up to 8, where time-outs are nine times as long. */
    public int localHealth() {
        return local.awareness.score();
    }

    /** The counts since the start. */
    public MembershipMetrics metrics() {
        return local.counters.snapshot();
    }
}
