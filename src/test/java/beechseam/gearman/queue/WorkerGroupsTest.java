package beechseam.gearman.queue;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.queue.WorkerGroups.Group;
import beechseam.gearman.queue.WorkerGroups.Location;
import beechseam.gearman.queue.WorkerGroups.Member;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Workers as a bounded number of targets, against a plain model of who is where. */
class WorkerGroupsTest {
    private static final Location HERE = new Location("a", 1);
    private static final Location THERE = new Location("b", 2);

    @Property(seed = "48", tries = 200)
    void groupSumsMatchTheirMembers(@ForAll long seed) {
        Random random = new Random(seed);
        WorkerGroups<Integer> groups = new WorkerGroups<>(4);
        List<Member<Integer>> all = new ArrayList<>();
        Map<Member<Integer>, int[]> loads = new HashMap<>();
        for (int step = 0; step < 300; step++) {
            Member<Integer> member = all.isEmpty() ? null : all.get(random.nextInt(all.size()));
            int pick = random.nextInt(9);
            if (pick < 2 || member == null) {
                member = groups.join(step, random.nextBoolean() ? HERE : THERE);
                all.add(member);
                loads.put(member, new int[] {0, 1});
            } else if (pick == 2) {
                groups.leave(member);
                all.remove(member);
            } else if (pick == 3) {
                groups.setAvailable(member, random.nextBoolean());
            } else if (pick == 4) {
                int slots = 1 + random.nextInt(4);
                int jobsInFlight = random.nextInt(slots + 1);
                groups.updateLoad(member, jobsInFlight, slots);
                loads.put(member, new int[] {jobsInFlight, slots});
            } else if (pick == 5) {
                groups.recordSuccess(member, (member.worker % 3 + 1) * 1_000_000L);
            } else if (pick == 6) {
                groups.suspect(member);
            } else if (pick == 7) {
                groups.recordFailure(member);
            } else {
                groups.updateLocation(member, random.nextBoolean() ? HERE : THERE);
            }
            check(groups, all, loads);
        }
    }

    private static void check(
            WorkerGroups<Integer> groups, List<Member<Integer>> all, Map<Member<Integer>, int[]> loads) {
        assertEquals(all.size(), groups.memberCount());
        assertEquals(all.stream().filter(Member::isAvailable).count(), groups.availableWorkers());
        // Past the bound only a place, or doubt, that has no cohort yet makes one.
        assertTrue(
                groups.groups().size() <= 4 + 2 * 2,
                "targets: " + groups.groups().size());
        for (Group<Integer> group : groups.groups()) {
            List<Member<Integer>> in =
                    all.stream().filter(member -> member.group() == group).toList();
            assertEquals(in.size(), group.members());
            assertTrue(group.members() > 0);
            assertEquals(in.stream().filter(Member::isAvailable).count(), group.availableWorkers());
            assertEquals(in.stream().mapToInt(member -> loads.get(member)[0]).sum(), group.jobsInFlight());
            assertEquals(in.stream().mapToInt(member -> loads.get(member)[1]).sum(), group.slots());
            assertEquals(group.availableWorkers() > 0, groups.leastRecentlyUsed(group) != null);
        }
        for (Group<Integer> removed : groups.drainEmptied()) {
            assertNull(groups.find(removed.id));
        }
    }

    @Test
    void workersShareTargetsOnlyPastTheBound() {
        WorkerGroups<Integer> groups = new WorkerGroups<>(4);
        for (int i = 0; i < 4; i++) {
            groups.join(i, HERE);
        }
        assertEquals(4, groups.groups().size());
        for (int i = 4; i < 400; i++) {
            groups.join(i, HERE);
        }
        assertEquals(4, groups.groups().size());
        groups.groups().forEach(group -> assertEquals(100, group.members(), "the smallest of those alike is joined"));
        groups.join(400, THERE);
        assertEquals(5, groups.groups().size(), "another place is another target, whatever the bound");
    }

    @Test
    void leastRecentlyUsedWorkerIsTakenFirst() {
        WorkerGroups<Integer> groups = new WorkerGroups<>(1);
        List<Member<Integer>> all = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            all.add(groups.join(i, HERE));
            groups.setAvailable(all.get(i), true);
        }
        Group<Integer> group = groups.groups().iterator().next();
        assertEquals(0, groups.leastRecentlyUsed(group));
        groups.setAvailable(all.get(0), false);
        assertEquals(1, groups.leastRecentlyUsed(group));
        groups.setAvailable(all.get(0), true);
        assertEquals(1, groups.leastRecentlyUsed(group), "one that has just run comes last");
    }

    /**
     * Half of the workers are four times slower: the module can only scale by speed if they are kept apart.
     */
    @Test
    void workersOfSimilarPaceShareAGroup() {
        WorkerGroups<Integer> groups = new WorkerGroups<>(6);
        List<Member<Integer>> all = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < 60; i++) {
            all.add(groups.join(i, HERE));
        }
        for (int run = 0; run < 200; run++) {
            for (Member<Integer> member : all) {
                double slow = member.worker % 2 == 0 ? 1 : 4;
                groups.recordSuccess(member, (long) (10e6 * slow * Math.exp(random.nextGaussian() * 0.3)));
            }
        }
        int mixed = 0;
        for (Group<Integer> group : groups.groups()) {
            long fast = all.stream()
                    .filter(member -> member.group() == group && member.worker % 2 == 0)
                    .count();
            mixed += Math.min(fast, group.members() - fast);
        }
        assertTrue(mixed <= 3, "in the company of another pace: " + mixed + " of 60");
    }

    /**
     * The module's doubt is of a target: one worker that does not answer must not cost the others their jobs.
     */
    @Test
    void suspectedWorkerIsIsolatedUntilItSucceeds() {
        WorkerGroups<Integer> groups = new WorkerGroups<>(1);
        List<Member<Integer>> all = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            all.add(groups.join(i, HERE));
        }
        Group<Integer> together = all.get(0).group();
        Member<Integer> bad = all.get(2);
        groups.setAvailable(bad, true);
        groups.suspect(bad);
        assertNotSame(together, bad.group());
        assertTrue(bad.group().isReady(), "free as it was");
        assertEquals(4, together.members());
        groups.suspect(all.get(3));
        assertSame(bad.group(), all.get(3).group(), "those in doubt share one");
        groups.recordSuccess(bad, 1_000_000);
        assertSame(together, bad.group());
        for (int i = 0; i < 2; i++) {
            groups.recordFailure(bad);
        }
        assertSame(together, bad.group(), "a job or two that fail tell of the jobs");
        groups.recordFailure(bad);
        assertNotSame(together, bad.group());
    }
}
