package beechseam.fleet.membership;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.fleet.model.VirtualFleet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Tests the membership protocol in a {@link VirtualFleet}. Most tests inject one kind of fault. */
class MembershipTest {
    private static final long SECOND_NS = MembershipOptions.SECOND_NS;
    private final List<String> changes = new ArrayList<>();

    private VirtualFleet startConvergedFleet(int nodes, long seed) {
        VirtualFleet fleet = new VirtualFleet(MembershipOptions.defaults(List.of()), seed);
        fleet.setListener(
                (observer, before, after, reason) -> changes.add(observer + " " + after.name() + " " + after.status()));
        fleet.startAll(nodes);
        assertTrue(fleet.runUntil(60 * SECOND_NS, fleet::hasConverged), "not all members joined");
        fleet.run(10 * SECOND_NS);
        changes.clear();
        return fleet;
    }

    private long countChanges(String text) {
        return changes.stream().filter(change -> change.contains(text)).count();
    }

    @Test
    void deathIsConfirmedByAllMembers() {
        VirtualFleet fleet = startConvergedFleet(10, 1);
        fleet.kill(7);
        assertTrue(
                fleet.runUntil(60 * SECOND_NS, () -> countChanges("node-7 DEAD") == 9),
                "not all other members confirmed the death: " + changes);
        fleet.run(60 * SECOND_NS);
        assertEquals(
                9, countChanges("DEAD"), "each other member must report the death exactly once, and no other death");
        assertTrue(fleet.hasConverged());
    }

    @Test
    void asymmetricLinkFailureConfirmsNoDeath() {
        VirtualFleet fleet = startConvergedFleet(6, 2);
        fleet.setNetwork((from, to) -> !(from == 1 && to == 2));
        fleet.run(300 * SECOND_NS);
        assertEquals(
                0, countChanges("DEAD"), "indirect pings must reach the member that loses direct pings: " + changes);
        assertTrue(fleet.hasConverged());
    }

    @Test
    void pausedProcessRefutesAndDoesNotAccuseOthers() {
        for (long seed = 3; seed < 13; seed++) {
            VirtualFleet fleet = startConvergedFleet(8, seed);
            fleet.setPaused(4, true);
            fleet.run(5 * SECOND_NS);
            fleet.setPaused(4, false);
            fleet.run(30 * SECOND_NS);
            assertTrue(fleet.hasConverged(), "seed " + seed + ": " + changes);
            assertEquals(
                    0,
                    changes.stream()
                            .filter(change -> change.startsWith("4 ") && change.endsWith("DEAD"))
                            .count(),
                    "a paused process must not confirm deaths of others: " + changes);
        }
    }

    @Test
    void partitionHealsByStateExchange() {
        VirtualFleet fleet = startConvergedFleet(10, 4);
        fleet.setNetwork((from, to) -> from < 5 == to < 5);
        assertTrue(fleet.runUntil(
                120 * SECOND_NS,
                () -> fleet.membership(0).size() == 5 && fleet.membership(9).size() == 5));
        fleet.run(60 * SECOND_NS);
        fleet.setNetwork((from, to) -> true);
        assertTrue(
                fleet.runUntil(180 * SECOND_NS, fleet::hasConverged),
                "the partition has not healed: " + fleet.membership(0).members());
    }

    @Test
    void restartBeforeDetectionTakesNextEpoch() {
        VirtualFleet fleet = startConvergedFleet(6, 5);
        long before = fleet.membership(3).self().processId();
        fleet.kill(3);
        fleet.run(SECOND_NS / 10);
        fleet.start(3, "node-3", 0, 1, 2);
        assertTrue(fleet.runUntil(30 * SECOND_NS, fleet::hasConverged));
        assertEquals(0, countChanges("node-3 DEAD"));
        for (int i = 0; i < 6; i++) {
            assertEquals(2, fleet.membership(i).member("node-3").epoch(), "at node " + i);
            assertNotEquals(before, fleet.membership(i).member("node-3").processId());
        }
    }

    @Test
    void simultaneousRestartWithStaleSeedsConverges() {
        VirtualFleet fleet = startConvergedFleet(8, 6);
        for (int i = 0; i < 8; i++) {
            fleet.kill(i);
        }
        fleet.run(SECOND_NS);
        for (int i = 0; i < 8; i++) { // seed 90 never existed, and seed 1 restarts last
            int node = i;
            fleet.after(i == 1 ? 3 * SECOND_NS : i * SECOND_NS / 10, () -> fleet.start(node, "node-" + node, 90, 1, 4));
        }
        fleet.run(4 * SECOND_NS);
        assertTrue(fleet.runUntil(90 * SECOND_NS, fleet::hasConverged), "the restarted members did not converge");
    }

    @Test
    void joinIsRejectedWhileNameHolderAnswers() {
        VirtualFleet fleet = startConvergedFleet(4, 7);
        fleet.start(20, "node-2", 0, 1);
        fleet.run(20 * SECOND_NS);
        assertEquals(MembershipPhase.REJECTED, fleet.membership(20).phase());
        assertTrue(fleet.rejection(20).contains("node-2") && fleet.rejection(20).contains("n2"), fleet.rejection(20));
        assertEquals(MembershipPhase.MEMBER, fleet.membership(2).phase(), "the holder must keep its name");
        fleet.kill(2);
        fleet.run(40 * SECOND_NS);
        fleet.start(21, "node-2", 0, 1);
        fleet.run(20 * SECOND_NS);
        assertEquals(
                MembershipPhase.MEMBER, fleet.membership(21).phase(), "the name of a dead member must be available");
    }

    @Test
    void duplicateNameAcrossPartitionKeepsHigherEpoch() {
        VirtualFleet fleet = startConvergedFleet(6, 8);
        fleet.setNetwork((from, to) -> (from < 3 || from == 20) == (to < 3 || to == 20));
        fleet.run(60 * SECOND_NS);
        fleet.start(20, "node-5", 0, 1);
        fleet.run(30 * SECOND_NS);
        assertEquals(
                MembershipPhase.MEMBER,
                fleet.membership(20).phase(),
                "on its side of the partition the name's holder is dead");
        fleet.setNetwork((from, to) -> true);
        fleet.run(180 * SECOND_NS);
        assertEquals(
                MembershipPhase.REJECTED,
                fleet.membership(5).phase(),
                "the process with the higher epoch must keep the name: "
                        + fleet.membership(5).self());
        assertEquals(MembershipPhase.MEMBER, fleet.membership(20).phase());
    }

    @Test
    void leaveOverridesConcurrentSuspicion() {
        VirtualFleet fleet = startConvergedFleet(5, 9);
        fleet.setNetwork((from, to) -> to != 4 && from != 4);
        assertTrue(fleet.runUntil(60 * SECOND_NS, () -> countChanges("node-4 SUSPECT") > 0));
        fleet.setNetwork((from, to) -> true);
        fleet.leave(4);
        fleet.run(2 * SECOND_NS);
        assertEquals(MembershipPhase.LEFT, fleet.membership(4).phase());
        fleet.kill(4);
        fleet.run(60 * SECOND_NS);
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    MemberStatus.LEFT, fleet.membership(i).member("node-4").status(), "at node " + i + ": " + changes);
        }
    }

    @Test
    void flappingLinkDoesNotPreventConvergence() {
        VirtualFleet fleet = startConvergedFleet(5, 10);
        fleet.setNetwork((from, to) -> fleet.nowNs() / (SECOND_NS / 3) % 2 == 0 || from + to != 3);
        fleet.run(120 * SECOND_NS);
        assertEquals(0, countChanges("DEAD"), changes.toString());
        assertTrue(fleet.hasConverged());
    }

    @Test
    void localHealthReducesFalseSuspicionsByDegradedMembers() {
        long[] falseSuspicions = {0, 0};
        for (int i = 0; i < 2; i++) {
            MembershipOptions options = MembershipOptions.defaults(List.of()).withLocalHealth(i == 0);
            VirtualFleet fleet = new VirtualFleet(options, 11);
            fleet.startAll(12);
            fleet.run(40 * SECOND_NS);
            int variant = i;
            fleet.setListener((observer, before, after, reason) -> {
                boolean degraded = after.name().equals("node-3") || after.name().equals("node-7");
                falseSuspicions[variant] += after.status() == MemberStatus.SUSPECT && !degraded ? 1 : 0;
            });
            Random delivery = new Random(5); // both directions of nodes 3 and 7 lose messages; other links work
            fleet.setNetwork(
                    (from, to) -> from != 3 && to != 3 && from != 7 && to != 7 || delivery.nextDouble() < 0.35);
            fleet.run(600 * SECOND_NS);
        }
        assertTrue(
                falseSuspicions[1] > 20 && falseSuspicions[0] * 2 < falseSuspicions[1],
                "false suspicions: " + falseSuspicions[0] + " with local health, " + falseSuspicions[1] + " without");
    }

    @Test
    void sameSeedGivesSameChanges() {
        List<List<String>> histories = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            VirtualFleet fleet = new VirtualFleet(MembershipOptions.defaults(List.of()), 12);
            List<String> history = new ArrayList<>();
            fleet.setListener((observer, before, after, reason) ->
                    history.add(fleet.nowNs() + " " + observer + " " + after + reason));
            fleet.setLossRate(0.1);
            fleet.startAll(7);
            fleet.run(20 * SECOND_NS);
            fleet.kill(2);
            fleet.run(40 * SECOND_NS);
            histories.add(history);
        }
        assertEquals(histories.get(0), histories.get(1));
    }

    /** Injects random faults of all kinds. View versions never decrease, and all members agree after the faults end. */
    @Property(tries = 40)
    void convergesAfterRandomFaults(
            @ForAll @LongRange(min = 1, max = 1 << 30) long seed, @ForAll @IntRange(min = 3, max = 9) int nodes) {
        VirtualFleet fleet = startConvergedFleet(nodes, seed);
        Random random = new Random(seed);
        boolean[] paused = new boolean[nodes];
        long[] versions = new long[nodes];
        for (int step = 0; step < 25; step++) {
            int node = random.nextInt(nodes);
            int other = random.nextInt(nodes);
            switch (random.nextInt(7)) {
                case 0 -> fleet.setNetwork((from, to) -> from != node || to != other);
                case 1 -> fleet.setNetwork((from, to) -> from < node == to < node);
                case 2 -> fleet.setNetwork((from, to) -> true);
                case 3 -> fleet.setLossRate(random.nextDouble() * 0.4);
                case 4 -> {
                    paused[node] = !paused[node];
                    fleet.setPaused(node, paused[node]);
                }
                case 5 -> {
                    fleet.kill(node);
                    fleet.start(node, "node-" + node, 0, 1, 2);
                    paused[node] = false;
                    versions[node] = 0;
                }
                default -> fleet.setLossRate(0);
            }
            fleet.run((long) (random.nextDouble() * 8 * SECOND_NS));
            for (int i = 0; i < nodes; i++) {
                assertTrue(fleet.membership(i).viewVersion() >= versions[i]);
                versions[i] = fleet.membership(i).viewVersion();
            }
        }
        endFaults(fleet, paused);
        assertTrue(
                fleet.runUntil(300 * SECOND_NS, fleet::hasConverged),
                () -> "seed " + seed + " " + describeMembers(fleet, nodes));
    }

    private static void endFaults(VirtualFleet fleet, boolean[] paused) {
        fleet.setNetwork((from, to) -> true);
        fleet.setLossRate(0);
        for (int i = 0; i < paused.length; i++) {
            if (paused[i]) {
                fleet.setPaused(i, false);
            }
        }
    }

    private static String describeMembers(VirtualFleet fleet, int nodes) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < nodes; i++) {
            text.append('\n')
                    .append(i)
                    .append(' ')
                    .append(fleet.membership(i).phase())
                    .append(' ')
                    .append(fleet.membership(i).members());
        }
        return text.toString();
    }

    @Test
    void supersedesByEpochProcessIncarnationAndStatus() {
        Member member = new Member("a", "x:1", 2, 5, 3, MemberStatus.ALIVE, "", Map.of());
        assertTrue(member.withStatus(MemberStatus.SUSPECT, "b").supersedes(member));
        assertTrue(member.withStatus(MemberStatus.DEAD, "b").supersedes(member.withStatus(MemberStatus.SUSPECT, "b")));
        assertTrue(
                member.refuted(4).supersedes(member.withStatus(MemberStatus.DEAD, "b")),
                "a member may refute its death");
        assertFalse(
                member.refuted(9).supersedes(member.withStatus(MemberStatus.LEFT, "")),
                "a member may not refute its departure");
        assertFalse(member.supersedes(member));
        assertTrue(new Member("a", "x:1", 3, 9, 1, MemberStatus.ALIVE, "", Map.of()).supersedes(member));
        assertTrue(
                new Member("a", "x:1", 2, 4, 1, MemberStatus.ALIVE, "", Map.of()).supersedes(member),
                "the lower process id wins");
    }
}
