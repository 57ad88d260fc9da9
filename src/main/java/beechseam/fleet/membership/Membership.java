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
 * One node of the membership protocol: SWIM with suspicion, incarnations and piggybacked gossip updates, and
 * Lifeguard's three extensions. Local health scales the time-outs of a degraded member, a suspicion lasts longer the
 * fewer accusers it has, and a ping to a suspect carries the claim that it is suspected. This class receives messages
 * and the current time, and passes them to its components in a fixed order.
 *
 * <p>Single-threaded. The same seed and events produce the same messages. Handling a message costs O(log n) per update
 * that it carries, and O(n) for a {@link StateExchange}. Times are nanoseconds of a clock that the host chooses.
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
     * Creates the membership of a process that has not started to join.
     *
     * @param self    name, address, process id and tags of this process; its status, epoch and incarnation are ignored
     * @param options settings of the protocol
     * @param nowNs   the current time
     * @param seed    seed of all random numbers
     * @param host    sends messages and is notified of changes
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

    /** Starts to join by contacting the seeds; without other seeds this process becomes a member immediately. */
    public void start(long atNs) {
        timers.setNow(atNs);
        joinProtocol.start();
    }

    /** The time of the next call to {@link #advance}, or {@code Long.MAX_VALUE} if no task is scheduled. */
    public long nextDueNs() {
        return timers.nextDueNs();
    }

    /** Runs all tasks that are due. A late call counts as a pause of this process, not a failure of others. */
    public void advance(long atNs) {
        long lateNs = atNs - nextDueNs();
        if (local.options.localHealthEnabled() && lateNs > local.options.probeTimeoutNs() / 2) {
            failureDetector.onStall(atNs, lateNs);
        }
        timers.advanceTo(atNs);
        timers.runDue();
    }

    /**
     * Handles a received message.
     *
     * @param atNs    the current time
     * @param name    name of the sender; empty if it is not known
     * @param address address of the sender, to which replies are sent
     * @param message the received message
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

    /** Leaves the fleet. The phase becomes {@link MembershipPhase#LEFT} once the departure has been announced. */
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

    /** The phase of this process's own membership. */
    public MembershipPhase phase() {
        return local.phase();
    }

    /** The claim that this process currently makes about itself. */
    public Member self() {
        return local.self();
    }

    /** All known members, including dead and departed ones; this process comes first. */
    public List<Member> members() {
        return members.all();
    }

    /** When the current claim about a name was applied: the start time for this process, -1 for an unknown name. */
    public long changedAtNs(String name) {
        if (name.equals(local.self().name())) {
            return local.startedNs();
        }
        MemberEntry entry = members.entry(name);
        return entry == null ? -1 : entry.changedAtNs;
    }

    /** The current claim about a name, or null for an unknown name. */
    public Member member(String name) {
        return members.find(name);
    }

    /** The number of members that are up. This process is counted once it is a member. */
    public int size() {
        return members.size();
    }

    /** A version that grows by one with each change that this process reports; not comparable across processes. */
    public long viewVersion() {
        return local.viewVersion();
    }

    /** A hash of the processes that this member considers up, equal at members with the same view; costs O(n). */
    public long digest() {
        return members.digest();
    }

    /** Lifeguard's local health score, from 0 (healthy) to 8, at which time-outs are nine times as long. */
    public int localHealth() {
        return local.awareness.score();
    }

    /** The event counts since this object was created. */
    public MembershipMetrics metrics() {
        return local.counters.snapshot();
    }
}
