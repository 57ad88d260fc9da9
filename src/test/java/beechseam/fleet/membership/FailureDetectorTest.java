package beechseam.fleet.membership;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.fleet.membership.Message.Ack;
import beechseam.fleet.membership.Message.Gossip;
import beechseam.fleet.membership.Message.Nack;
import beechseam.fleet.membership.Message.Ping;
import beechseam.fleet.membership.Message.PingRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests one probe, message by message: a member probes one of two others and can use the second as a helper. */
class FailureDetectorTest {
    private static final MembershipOptions OPTIONS = MembershipOptions.defaults(List.of());

    private record Sent(String receiver, Message message) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<Member> changes = new ArrayList<>();
    private final MembershipHost host = new MembershipHost() {
        @Override
        public void send(String name, String address, Message message) {
            sent.add(new Sent(name, message));
        }

        @Override
        public void memberChanged(Member before, Member after, String reason) {
            changes.add(after);
        }

        @Override
        public void rejected(String reason) {
            fail(reason);
        }
    };
    private final Membership membership = new Membership(member("local"), OPTIONS, 0, 1, host);
    /** When the first probe was sent. */
    private long probedAtNs;

    /** Name of the probed member. */
    private String target;

    private long sequence;

    private static Member member(String name) {
        return new Member(name, name + ":1", 1, 7, 1, MemberStatus.ALIVE, "", Map.of());
    }

    @BeforeEach
    void sendFirstProbe() {
        membership.start(0);
        membership.receive(0, "first", "first:1", new Gossip(List.of(member("first"), member("second"))));
        while (sentOfType(Ping.class).isEmpty()) {
            probedAtNs = membership.nextDueNs();
            membership.advance(probedAtNs);
        }
        Sent ping = sentOfType(Ping.class).get(0);
        target = ping.receiver;
        sequence = ((Ping) ping.message).sequence();
    }

    private List<Sent> sentOfType(Class<? extends Message> type) {
        return sent.stream().filter(each -> type.isInstance(each.message)).toList();
    }

    private void runUntil(long atNs) {
        while (membership.nextDueNs() <= atNs) {
            membership.advance(membership.nextDueNs());
        }
    }

    /** Name of the member that is not probed. */
    private String helper() {
        return target.equals("first") ? "second" : "first";
    }

    @Test
    void ackInTimeEndsTheProbeWithoutIndirectPings() {
        membership.receive(probedAtNs + 1, target, target + ":1", new Ack(sequence, List.of()));
        runUntil(probedAtNs + OPTIONS.probeIntervalNs() - 1);
        assertEquals(List.of(), sentOfType(PingRequest.class));
        assertEquals(MemberStatus.ALIVE, membership.member(target).status());
        assertEquals(0, membership.metrics().failedProbes());
        assertEquals(0, membership.localHealth());
    }

    @Test
    void indirectPingIsSentAfterTheTimeoutAndItsAckEndsTheProbe() {
        runUntil(probedAtNs + OPTIONS.probeTimeoutNs() - 1);
        assertEquals(List.of(), sentOfType(PingRequest.class));
        runUntil(probedAtNs + OPTIONS.probeTimeoutNs());
        assertEquals(1, sentOfType(PingRequest.class).size());
        assertEquals(helper(), sentOfType(PingRequest.class).get(0).receiver);
        membership.receive(
                probedAtNs + OPTIONS.probeTimeoutNs() + 1, helper(), helper() + ":1", new Ack(sequence, List.of()));
        runUntil(probedAtNs + OPTIONS.probeIntervalNs() - 1);
        assertEquals(MemberStatus.ALIVE, membership.member(target).status());
    }

    @Test
    void nackKeepsLocalHealthScoreAndTargetIsSuspected() {
        runUntil(probedAtNs + OPTIONS.probeTimeoutNs());
        membership.receive(
                probedAtNs + OPTIONS.probeTimeoutNs() + 1, helper(), helper() + ":1", new Nack(sequence, List.of()));
        runUntil(probedAtNs + OPTIONS.probeIntervalNs() - 2);
        assertEquals(MemberStatus.ALIVE, membership.member(target).status());
        runUntil(probedAtNs + OPTIONS.probeIntervalNs() - 1);
        assertEquals(MemberStatus.SUSPECT, membership.member(target).status());
        assertEquals("local", membership.member(target).accuser());
        assertEquals(MemberStatus.SUSPECT, changes.get(changes.size() - 1).status());
        assertEquals(1, membership.metrics().suspicions());
        assertEquals(0, membership.localHealth());
    }

    @Test
    void missingNackRaisesLocalHealthScore() {
        runUntil(probedAtNs + OPTIONS.probeIntervalNs() - 1);
        assertEquals(MemberStatus.SUSPECT, membership.member(target).status());
        assertEquals(1, membership.localHealth());
    }
}
