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

/** Tests the grouping of workers into a bounded number of targets, also against a simple model of the members. */
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
            int action = random.nextInt(9);
            if (action < 2 || member == null) {
                member = groups.join(step, random.nextBoolean() ? HERE : THERE);
                all.add(member);
                loads.put(member, new int[] {0, 1});
            } else if (action == 2) {
                groups.leave(member);
                all.remove(member);
            } else if (action == 3) {
                groups.setAvailable(member, random.nextBoolean());
            } else if (action == 4) {
                int slots = 1 + random.nextInt(4);
                int jobsInFlight = random.nextInt(slots + 1);
                groups.updateLoad(member, jobsInFlight, slots);
                loads.put(member, new int[] {jobsInFlight, slots});
            } else if (action == 5) {
                groups.recordSuccess(member, (member.worker % 3 + 1) * 1_000_000L);
            } else if (action == 6) {
                groups.suspect(member);
            } else if (action == 7) {
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
        // Past the bound, a group is created only for the first worker of a location and suspicion: 2 * 2 at most.
        assertTrue(
                groups.groups().size() <= 4 + 2 * 2,
                "targets: " + groups.groups().size());
        for (Group<Integer> group : groups.groups()) {
            List<Member<Integer>> members =
                    all.stream().filter(member -> member.group() == group).toList();
            assertEquals(members.size(), group.members());
            assertTrue(group.members() > 0);
            assertEquals(members.stream().filter(Member::isAvailable).count(), group.availableWorkers());
            assertEquals(
                    members.stream().mapToInt(member -> loads.get(member)[0]).sum(), group.jobsInFlight());
            assertEquals(
                    members.stream().mapToInt(member -> loads.get(member)[1]).sum(), group.slots());
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
        groups.groups()
                .forEach(group ->
                        assertEquals(100, group.members(), "a worker joins the smallest group of similar workers"));
        groups.join(400, THERE);
        assertEquals(5, groups.groups().size(), "another location has its own target even past the bound");
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
        assertEquals(1, groups.leastRecentlyUsed(group), "the worker that has just run is taken last");
    }

    /**
     * Half of the workers are four times slower. The dispatcher weights targets by speed, which works only if fast and
     * slow workers are in different groups.
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
                double slowdown = member.worker % 2 == 0 ? 1 : 4;
                groups.recordSuccess(member, (long) (10e6 * slowdown * Math.exp(random.nextGaussian() * 0.3)));
            }
        }
        int mixed = 0;
        for (Group<Integer> group : groups.groups()) {
            long fast = all.stream()
                    .filter(member -> member.group() == group && member.worker % 2 == 0)
                    .count();
            mixed += Math.min(fast, group.members() - fast);
        }
        assertTrue(mixed <= 3, "workers in a group of the other pace: " + mixed + " of 60");
    }

    /**
     * The dispatcher suspects whole targets, so a worker that does not answer is isolated: the other workers of its
     * group must still get jobs.
     */
    @Test
    void suspectedWorkerIsIsolatedUntilItSucceeds() {
        WorkerGroups<Integer> groups = new WorkerGroups<>(1);
        List<Member<Integer>> all = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            all.add(groups.join(i, HERE));
        }
        Group<Integer> sharedGroup = all.get(0).group();
        Member<Integer> suspectedMember = all.get(2);
        groups.setAvailable(suspectedMember, true);
        groups.suspect(suspectedMember);
        assertNotSame(sharedGroup, suspectedMember.group());
        assertTrue(suspectedMember.group().isReady(), "the worker stays available");
        assertEquals(4, sharedGroup.members());
        groups.suspect(all.get(3));
        assertSame(suspectedMember.group(), all.get(3).group(), "suspected workers share a group");
        groups.recordSuccess(suspectedMember, 1_000_000);
        assertSame(sharedGroup, suspectedMember.group());
        for (int i = 0; i < 2; i++) {
            groups.recordFailure(suspectedMember);
        }
        assertSame(sharedGroup, suspectedMember.group(), "one or two failures are attributed to the jobs");
        groups.recordFailure(suspectedMember);
        assertNotSame(sharedGroup, suspectedMember.group());
    }
}
