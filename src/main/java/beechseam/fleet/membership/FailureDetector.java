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
 * SWIM's failure detector: probes one member in each probe interval, first by a direct ping, then by indirect pings
 * through a few others, and suspects it where no ack arrives. The cost for each member is constant, whatever the
 * fleet's size. Nacks of the helpers tell a dead target from a slow or isolated prober (Lifeguard).
 */
final class FailureDetector {
    /** A helper sends a nack after this fraction of the probe time-out. */
    private static final double NACK_TIMEOUT_FRACTION = 0.8;

    /** The probe of the current interval. */
    private static final class Probe {
        final MemberEntry target;
        /** The target as it was when the probe was sent. */
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
    /** What to do on the ack of each ping that is out, by its sequence number. */
    private final Map<Long, Runnable> ackHandlers = new HashMap<>();

    private final Set<String> verifications = new HashSet<>();
    private long lastSequence;
    /** The probe that is out; null where there is none or a pause of this process has made it void. */
    private Probe current;

    FailureDetector(LocalNode local, MemberTable members, Dissemination dissemination, MemberUpdates updates) {
        this.local = local;
        this.members = members;
        this.dissemination = dissemination;
        this.updates = updates;
    }

    /** Begins to probe, at a random time within one probe interval. */
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
        // A suspect gets the claim with the ping, so that it can refute with the ack.
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
            return; // void: this process was paused meanwhile
        }
        current = null;
        if (probe.acked) {
            local.awareness.adjust(-1);
            return;
        }
        local.counters.failedProbes++;
        // A helper that sent neither ack nor nack points to this member; without helpers it cannot tell.
        local.awareness.adjust(probe.indirectPings > 0 ? probe.indirectPings - probe.nacks : 1);
        if (probe.target.member.sameProcess(probe.member)) {
            updates.suspect(probe.target);
        }
    }

    /** Answers a ping, if it is meant for this process. */
    void onPing(String name, String address, Ping ping) {
        if (!ping.target().equals(local.self().name()) || local.phase() == MembershipPhase.JOINING) {
            return;
        }
        if (ping.processId() != 0 && ping.processId() != local.self().processId()) {
            // Meant for an earlier process of this name: its successor makes itself known.
            local.host.send(name, address, new Gossip(List.of(local.self())));
            return;
        }
        local.host.send(name, address, new Ack(ping.sequence(), dissemination.nextUpdates()));
    }

    /** Pings on another member's behalf. A late ack is still forwarded after the nack. */
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

    /** Completes the ping of this sequence number; without effect where none is out. */
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
     * Pings the holder of a name beside the probe rounds and calls one of the two.
     *
     * @param key identifies the verification: while one of this key is out, another call has no effect
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
     * This process was paused for {@code stallNs} until {@code atNs}: what it did not receive meanwhile says nothing
     * about others. The probe that is out is void, and each suspect gets the lost time back.
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
