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

/** The membership protocol in a {@link VirtualFleet}, each test with one kind of fault. */
class MembershipTest {
    private static final long SECOND_NS = MembershipOptions.SECOND_NS;
    private final List<String> changes = new ArrayList<>();

    private VirtualFleet startConvergedFleet(int nodes, long seed) {
        VirtualFleet fleet = new VirtualFleet(MembershipOptions.defaults(List.of()), seed);
        fleet.setListener(
                (observer, before, after, reason) -> changes.add(observer + " " + after.name() + " " + after.status()));
        fleet.startAll(nodes);
        assertTrue(fleet.runUntil(60 * SECOND_NS, fleet::hasConverged), "all join");
        fleet.run(10 * SECOND_NS);
        changes.clear();
        return fleet;
    }

    private long countChanges(String part) {
        return changes.stream().filter(each -> each.contains(part)).count();
    }

    @Test
    void deathIsConfirmedByAllMembers() {
        VirtualFleet fleet = startConvergedFleet(10, 1);
        fleet.kill(7);
        assertTrue(
                fleet.runUntil(60 * SECOND_NS, () -> countChanges("node-7 DEAD") == 9), "all hold it dead: " + changes);
        fleet.run(60 * SECOND_NS);
        assertEquals(9, countChanges("DEAD"), "and nobody else, and each says so once");
        assertTrue(fleet.hasConverged());
    }

    @Test
    void asymmetricLinkFailureConfirmsNoDeath() {
        VirtualFleet fleet = startConvergedFleet(6, 2);
        fleet.setNetwork((from, to) -> !(from == 1 && to == 2));
        fleet.run(300 * SECOND_NS);
        assertEquals(0, countChanges("DEAD"), "others ask for the one that does not hear: " + changes);
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
                            .filter(c -> c.startsWith("4 ") && c.endsWith("DEAD"))
                            .count(),
                    "it heard nothing because it slept: " + changes);
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
                "one again: " + fleet.membership(0).members());
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
            assertEquals(2, fleet.membership(i).member("node-3").epoch(), "at " + i);
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
        for (int i = 0; i < 8; i++) { // 90 has never been, 1 comes back last
            int node = i;
            fleet.after(i == 1 ? 3 * SECOND_NS : i * SECOND_NS / 10, () -> fleet.start(node, "node-" + node, 90, 1, 4));
        }
        fleet.run(4 * SECOND_NS);
        assertTrue(fleet.runUntil(90 * SECOND_NS, fleet::hasConverged), "all find each other");
    }

    @Test
    void joinIsRejectedWhileNameHolderAnswers() {
        VirtualFleet fleet = startConvergedFleet(4, 7);
        fleet.start(20, "node-2", 0, 1);
        fleet.run(20 * SECOND_NS);
        assertEquals(MembershipPhase.REJECTED, fleet.membership(20).phase());
        assertTrue(fleet.rejection(20).contains("node-2") && fleet.rejection(20).contains("n2"), fleet.rejection(20));
        assertEquals(MembershipPhase.MEMBER, fleet.membership(2).phase(), "who has it keeps it");
        fleet.kill(2);
        fleet.run(40 * SECOND_NS);
        fleet.start(21, "node-2", 0, 1);
        fleet.run(20 * SECOND_NS);
        assertEquals(MembershipPhase.MEMBER, fleet.membership(21).phase(), "the name of the dead is free");
    }

    @Test
    void duplicateNameAcrossPartitionKeepsHigherEpoch() {
        VirtualFleet fleet = startConvergedFleet(6, 8);
        fleet.setNetwork((from, to) -> (from < 3 || from == 20) == (to < 3 || to == 20));
        fleet.run(60 * SECOND_NS);
        fleet.start(20, "node-5", 0, 1);
        fleet.run(30 * SECOND_NS);
        assertEquals(MembershipPhase.MEMBER, fleet.membership(20).phase(), "on its side the name was dead");
        fleet.setNetwork((from, to) -> true);
        fleet.run(180 * SECOND_NS);
        assertEquals(
                MembershipPhase.REJECTED,
                fleet.membership(5).phase(),
                "the later life holds: " + fleet.membership(5).self());
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
            assertEquals(MemberStatus.LEFT, fleet.membership(i).member("node-4").status(), "at " + i + ": " + changes);
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
        long[] accused = {0, 0};
        for (int i = 0; i < 2; i++) {
            MembershipOptions options = MembershipOptions.defaults(List.of()).withLocalHealth(i == 0);
            VirtualFleet fleet = new VirtualFleet(options, 11);
            fleet.startAll(12);
            fleet.run(40 * SECOND_NS);
            int which = i;
            fleet.setListener((observer, before, after, reason) -> {
                boolean slow = after.name().equals("node-3") || after.name().equals("node-7");
                accused[which] += after.status() == MemberStatus.SUSPECT && !slow ? 1 : 0;
            });
            Random lost = new Random(5); // two hear and are heard badly, the rest is well
            fleet.setNetwork((from, to) -> from != 3 && to != 3 && from != 7 && to != 7 || lost.nextDouble() < 0.35);
            fleet.run(600 * SECOND_NS);
        }
        assertTrue(accused[1] > 20 && accused[0] * 2 < accused[1], accused[0] + ", without " + accused[1]);
    }

    @Test
    void sameSeedGivesSameHistory() {
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

    /** Random faults of all kinds; when they end all agree, and the view numbers never fell. */
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
                member.refuted(4).supersedes(member.withStatus(MemberStatus.DEAD, "b")), "it may contradict its death");
        assertFalse(member.refuted(9).supersedes(member.withStatus(MemberStatus.LEFT, "")), "but not that it has left");
        assertFalse(member.supersedes(member));
        assertTrue(new Member("a", "x:1", 3, 9, 1, MemberStatus.ALIVE, "", Map.of()).supersedes(member));
        assertTrue(new Member("a", "x:1", 2, 4, 1, MemberStatus.ALIVE, "", Map.of()).supersedes(member), "one of two");
    }
}
