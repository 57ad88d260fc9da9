package beechseam.fleet.membership;

import beechseam.fleet.membership.Message.Ack;
import beechseam.fleet.membership.Message.Gossip;
import beechseam.fleet.membership.Message.Nack;
import beechseam.fleet.membership.Message.Ping;
import beechseam.fleet.membership.Message.PingRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * SWIM's failure detector. It probes one member in each probe interval, first by a direct ping, then by indirect pings
 * through a few other members (helpers), and suspects the target if no ack arrives. The cost for each member is
 * constant, whatever the size of the fleet. A nack from a helper shows that this member can still communicate, and so
 * distinguishes a dead target from a slow or isolated prober (Lifeguard).
 */
final class FailureDetector {
    /** A helper sends a nack after this fraction of the probe time-out. */
    private static final double NACK_TIMEOUT_FRACTION = 0.8;

    /** The probe of the current interval. */
    private static final class Probe {
        final MemberEntry target;
        /** The claim about the target that was current when the probe was sent. */
        final Member member;

        long sequence;
        boolean acked;
        int indirectPings;
        int nacks;

        Probe(MemberEntry target) {
            this.target = target;
            member = target.member;
        }
    }

    private final LocalNode local;
    private final MemberTable members;
    private final Dissemination dissemination;
    private final MemberUpdates updates;
    /** The action to run on the ack of each outstanding ping, by sequence number. */
    private final Map<Long, Runnable> ackHandlers = new HashMap<>();

    /** Keys of the outstanding verifications, see {@link #verifyHolder}. */
    private final Set<String> verifications = new HashSet<>();

    private long lastSequence;
    /** The outstanding probe; null if there is none or if a pause of this process invalidated it. */
    private Probe current;

    FailureDetector(LocalNode local, MemberTable members, Dissemination dissemination, MemberUpdates updates) {
        this.local = local;
        this.members = members;
        this.dissemination = dissemination;
        this.updates = updates;
    }

    /** Starts probing, after a random delay of at most one probe interval. */
    void start() {
        local.timers.after((long) (local.random.nextDouble() * local.options.probeIntervalNs()), this::probeNext);
    }

    private void probeNext() {
        if (!local.isMember()) {
            return;
        }
        MemberEntry target = members.nextToProbe();
        long intervalNs = local.awareness.scale(local.options.probeIntervalNs());
        local.timers.after(intervalNs, this::probeNext);
        if (target == null) {
            return;
        }
        local.counters.probes++;
        Probe probe = new Probe(target);
        probe.sequence = expectAck(() -> probe.acked = true);
        current = probe;
        Member member = probe.member;
        // The ping to a suspect carries the suspicion, so that the suspect can refute it with its ack.
        List<Member> piggybacked = dissemination.nextUpdates();
        if (member.status() == MemberStatus.SUSPECT && !piggybacked.contains(member)) {
            piggybacked.add(0, member);
        }
        local.send(member, new Ping(probe.sequence, member.name(), member.processId(), piggybacked));
        local.timers.after(local.awareness.scale(local.options.probeTimeoutNs()), () -> sendIndirectPings(probe));
        local.timers.after(intervalNs - 1, () -> finish(probe));
    }

    private void sendIndirectPings(Probe probe) {
        if (probe.acked || current != probe) {
            return;
        }
        Member member = probe.member;
        for (MemberEntry helper : members.sample(local.options.indirectChecks(), probe.target)) {
            probe.indirectPings++;
            local.send(
                    helper.member,
                    new PingRequest(
                            probe.sequence,
                            member.name(),
                            member.processId(),
                            member.address(),
                            dissemination.nextUpdates()));
        }
    }

    private void finish(Probe probe) {
        ackHandlers.remove(probe.sequence);
        if (current != probe) {
            return; // invalidated: this process was paused in the meantime
        }
        current = null;
        if (probe.acked) {
            local.awareness.adjust(-1);
            return;
        }
        local.counters.failedProbes++;
        // A missing nack suggests that this member itself is degraded. Without helpers there is no such evidence,
        // and the score rises by one.
        local.awareness.adjust(probe.indirectPings > 0 ? probe.indirectPings - probe.nacks : 1);
        if (probe.target.member.sameProcess(probe.member)) {
            updates.suspect(probe.target);
        }
    }

    /** Answers a ping if it is addressed to this process. */
    void onPing(String name, String address, Ping ping) {
        if (!ping.target().equals(local.self().name()) || local.phase() == MembershipPhase.JOINING) {
            return;
        }
        if (ping.processId() != 0 && ping.processId() != local.self().processId()) {
            // The ping is addressed to an earlier process of this name: reply with the current process's claim.
            local.host.send(name, address, new Gossip(List.of(local.self())));
            return;
        }
        local.host.send(name, address, new Ack(ping.sequence(), dissemination.nextUpdates()));
    }

    /** Pings the target on another member's behalf. An ack that arrives after the nack was sent is still forwarded. */
    void onPingRequest(String name, String address, PingRequest request) {
        long sequence = expectAck(
                () -> local.host.send(name, address, new Ack(request.sequence(), dissemination.nextUpdates())));
        local.host.send(
                request.target(),
                request.address(),
                new Ping(sequence, request.target(), request.processId(), dissemination.nextUpdates()));
        local.timers.after((long) (NACK_TIMEOUT_FRACTION * local.options.probeTimeoutNs()), () -> {
            if (ackHandlers.containsKey(sequence)) {
                local.host.send(name, address, new Nack(request.sequence(), dissemination.nextUpdates()));
            }
        });
        local.timers.after(2 * local.options.probeIntervalNs(), () -> ackHandlers.remove(sequence));
    }

    /** Completes the ping with this sequence number. Has no effect if no such ping is outstanding. */
    void onAck(long sequence) {
        Runnable handler = ackHandlers.remove(sequence);
        if (handler != null) {
            handler.run();
        }
    }

    /** Counts a helper's nack for the current probe. */
    void onNack(long sequence) {
        if (current != null && current.sequence == sequence) {
            current.nacks++;
        }
    }

    /**
     * Pings the holder of a name, independently of the regular probes, and runs one of the two callbacks.
     *
     * @param key      identifies the verification; a call has no effect while one with the same key is outstanding
     * @param holder   the claim about the process to ping
     * @param onAlive  runs if the holder acknowledges
     * @param onSilent runs if it does not acknowledge within twice the scaled probe time-out
     */
    void verifyHolder(String key, Member holder, Runnable onAlive, Runnable onSilent) {
        if (!verifications.add(key)) {
            return;
        }
        long sequence = expectAck(() -> {
            onAlive.run();
            verifications.remove(key);
        });
        local.send(holder, new Ping(sequence, holder.name(), holder.processId(), dissemination.nextUpdates()));
        local.timers.after(2 * local.awareness.scale(local.options.probeTimeoutNs()), () -> {
            if (ackHandlers.remove(sequence) != null) {
                onSilent.run();
                verifications.remove(key);
            }
        });
    }

    /**
     * Handles a pause of this process that lasted {@code stallNs} and ended at {@code atNs}. Messages missed during
     * the pause are no evidence about other members, so the outstanding probe is invalidated and every suspicion is
     * extended by the length of the pause.
     */
    void onStall(long atNs, long stallNs) {
        local.counters.stalls++;
        local.awareness.adjust(1);
        current = null;
        updates.extendSuspicions(stallNs, atNs);
    }

    private long expectAck(Runnable onAck) {
        lastSequence++;
        ackHandlers.put(lastSequence, onAck);
        return lastSequence;
    }
}
