package beechseam.gearman.queue;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.queue.Cohorts.Cohort;
import beechseam.gearman.queue.Cohorts.Member;
import beechseam.gearman.queue.Cohorts.Place;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Workers as a bounded number of targets, against a plain model of who is where. */
class CohortsTest {
    private static final Place HERE = new Place("a", 1);
    private static final Place THERE = new Place("b", 2);

    @Property(seed = "48", tries = 200)
    void sumsHoldWhateverWorkersDo(@ForAll long seed) {
        Random random = new Random(seed);
        Cohorts<Integer> cohorts = new Cohorts<>(4);
        List<Member<Integer>> all = new ArrayList<>();
        Map<Member<Integer>, int[]> loads = new HashMap<>();
        for (int step = 0; step < 300; step++) {
            Member<Integer> m = all.isEmpty() ? null : all.get(random.nextInt(all.size()));
            int pick = random.nextInt(9);
            if (pick < 2 || m == null) {
                m = cohorts.join(step, random.nextBoolean() ? HERE : THERE);
                all.add(m);
                loads.put(m, new int[] {0, 1});
            } else if (pick == 2) {
                cohorts.leave(m);
                all.remove(m);
            } else if (pick == 3) {
                cohorts.free(m, random.nextBoolean());
            } else if (pick == 4) {
                int slots = 1 + random.nextInt(4);
                int busy = random.nextInt(slots + 1);
                cohorts.load(m, busy, slots);
                loads.put(m, new int[] {busy, slots});
            } else if (pick == 5) {
                cohorts.ran(m, (m.worker % 3 + 1) * 1_000_000L);
            } else if (pick == 6) {
                cohorts.troubled(m);
            } else if (pick == 7) {
                cohorts.failed(m);
            } else {
                cohorts.moved(m, random.nextBoolean() ? HERE : THERE);
            }
            check(cohorts, all, loads);
        }
    }

    private static void check(Cohorts<Integer> cohorts, List<Member<Integer>> all, Map<Member<Integer>, int[]> loads) {
        assertEquals(all.size(), cohorts.members());
        assertEquals(all.stream().filter(Member::free).count(), cohorts.free());
        // Past the bound only a place, or doubt, that has no cohort yet makes one.
        assertTrue(
                cohorts.all().size() <= 4 + 2 * 2, "targets: " + cohorts.all().size());
        for (Cohort<Integer> c : cohorts.all()) {
            List<Member<Integer>> in = all.stream().filter(m -> m.cohort() == c).toList();
            assertEquals(in.size(), c.members());
            assertTrue(c.members() > 0);
            assertEquals(in.stream().filter(Member::free).count(), c.free());
            assertEquals(in.stream().mapToInt(m -> loads.get(m)[0]).sum(), c.busy());
            assertEquals(in.stream().mapToInt(m -> loads.get(m)[1]).sum(), c.slots());
            assertEquals(c.free() > 0, cohorts.pick(c) != null);
        }
        for (Cohort<Integer> gone : cohorts.takeEmptied()) {
            assertNull(cohorts.find(gone.id));
        }
    }

    @Test
    void eachStandsAloneUntilThereAreTooMany() {
        Cohorts<Integer> cohorts = new Cohorts<>(4);
        for (int i = 0; i < 4; i++) {
            cohorts.join(i, HERE);
        }
        assertEquals(4, cohorts.all().size());
        for (int i = 4; i < 400; i++) {
            cohorts.join(i, HERE);
        }
        assertEquals(4, cohorts.all().size());
        cohorts.all().forEach(c -> assertEquals(100, c.members(), "the smallest of those alike is joined"));
        cohorts.join(400, THERE);
        assertEquals(5, cohorts.all().size(), "another place is another target, whatever the bound");
    }

    @Test
    void theLeastRecentlyUsedIsTakenFirst() {
        Cohorts<Integer> cohorts = new Cohorts<>(1);
        List<Member<Integer>> all = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            all.add(cohorts.join(i, HERE));
            cohorts.free(all.get(i), true);
        }
        Cohort<Integer> c = cohorts.all().iterator().next();
        assertEquals(0, cohorts.pick(c));
        cohorts.free(all.get(0), false);
        assertEquals(1, cohorts.pick(c));
        cohorts.free(all.get(0), true);
        assertEquals(1, cohorts.pick(c), "one that has just run comes last");
    }

    /**
     * Half of the workers are four times slower: the module can only scale by speed if they are kept apart.
     */
    @Test
    void workersOfOnePaceComeTogether() {
        Cohorts<Integer> cohorts = new Cohorts<>(6);
        List<Member<Integer>> all = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < 60; i++) {
            all.add(cohorts.join(i, HERE));
        }
        for (int run = 0; run < 200; run++) {
            for (Member<Integer> m : all) {
                double slow = m.worker % 2 == 0 ? 1 : 4;
                cohorts.ran(m, (long) (10e6 * slow * Math.exp(random.nextGaussian() * 0.3)));
            }
        }
        int mixed = 0;
        for (Cohort<Integer> c : cohorts.all()) {
            long fast = all.stream()
                    .filter(m -> m.cohort() == c && m.worker % 2 == 0)
                    .count();
            mixed += Math.min(fast, c.members() - fast);
        }
        assertTrue(mixed <= 3, "in the company of another pace: " + mixed + " of 60");
    }

    /**
     * The module's doubt is of a target: one worker that does not answer must not cost the others their jobs.
     */
    @Test
    void oneInDoubtIsApartUntilItServesAgain() {
        Cohorts<Integer> cohorts = new Cohorts<>(1);
        List<Member<Integer>> all = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            all.add(cohorts.join(i, HERE));
        }
        Cohort<Integer> together = all.get(0).cohort();
        Member<Integer> bad = all.get(2);
        cohorts.free(bad, true);
        cohorts.troubled(bad);
        assertNotSame(together, bad.cohort());
        assertTrue(bad.cohort().ready(), "free as it was");
        assertEquals(4, together.members());
        cohorts.troubled(all.get(3));
        assertSame(bad.cohort(), all.get(3).cohort(), "those in doubt share one");
        cohorts.ran(bad, 1_000_000);
        assertSame(together, bad.cohort());
        for (int i = 0; i < 2; i++) {
            cohorts.failed(bad);
        }
        assertSame(together, bad.cohort(), "a job or two that fail tell of the jobs");
        cohorts.failed(bad);
        assertNotSame(together, bad.cohort());
    }
}
