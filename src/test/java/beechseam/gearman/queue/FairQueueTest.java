package beechseam.gearman.queue;

import static org.junit.jupiter.api.Assertions.*;

import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Waiting jobs: turns, priorities, ageing, the clock and the bounds, against plain models. */
class FairQueueTest {
    private static final class Job implements Waiting {
        final int client;
        final int level;
        final long since;
        boolean waiting = true;

        Job(int client, int level, long since) {
            this.client = client;
            this.level = level;
            this.since = since;
        }

        @Override
        public boolean waiting() {
            return waiting;
        }

        @Override
        public long since() {
            return since;
        }
    }

    /** The model: a ring of clients, each with its jobs; a client that has none loses its place. */
    @Property(seed = "31", tries = 200)
    void clientsTakeTurnsWhateverComesAndLeaves(@ForAll long seed) {
        Random random = new Random(seed);
        FairLine<Job> line = new FairLine<>();
        Map<Integer, ArrayDeque<Job>> model = new LinkedHashMap<>();
        List<Job> all = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            int pick = random.nextInt(10);
            if (pick < 5) {
                Job job = new Job(random.nextInt(6), 0, step);
                line.add(job.client, job);
                model.computeIfAbsent(job.client, c -> new ArrayDeque<>()).add(job);
                all.add(job);
            } else if (pick < 8) {
                Job expected = null;
                while (expected == null && !model.isEmpty()) { // a client whose jobs have all left is passed over
                    Integer first = model.keySet().iterator().next();
                    ArrayDeque<Job> jobs = model.remove(first);
                    do {
                        expected = jobs.poll();
                    } while (expected != null && !expected.waiting);
                    if (!jobs.isEmpty()) {
                        model.put(first, jobs);
                    }
                }
                Job got = line.poll();
                assertSame(expected, got);
                if (got != null) {
                    got.waiting = false;
                    line.trim();
                }
            } else if (!all.isEmpty()) {
                Job job = all.get(random.nextInt(all.size()));
                if (job.waiting) {
                    job.waiting = false;
                    line.left();
                }
            }
            List<Job> left = all.stream().filter(j -> j.waiting).toList();
            assertEquals(left.size(), line.size());
            assertSame(left.isEmpty() ? null : left.get(0), line.oldest(), "in the order in which they came");
        }
    }

    /** Those that left are swept: a million that come and leave again must not stay in memory. */
    @Test
    void whatLeftIsLetGo() {
        FairLine<Job> line = new FairLine<>();
        Job stays = new Job(0, 0, 0);
        line.add(0, stays);
        for (int i = 0; i < 100_000; i++) {
            Job job = new Job(i % 7, 0, i);
            line.add(job.client, job);
            job.waiting = false;
            line.left();
        }
        assertEquals(1, line.size());
        assertTrue(line.held() < 3000, "held: " + line.held());
        assertSame(stays, line.poll());
    }

    @Test
    void theUrgentGoFirstAndTheOldAreNotStarved() {
        JobLines<Job> lines = new JobLines<>(3, 3, 16, 1000);
        lines.add(2, "low", new Job(0, 2, 0));
        int turns = 0;
        Job got;
        do { // a stream of urgent ones that never ends
            lines.add(0, "high", new Job(1, 0, 5000));
            got = lines.poll(5000);
            got.waiting = false;
            turns++;
        } while (got.level == 0 && turns < 1000);
        assertEquals(16, turns, "every 16th turn is for the oldest");
        lines.add(2, "low", new Job(0, 2, 4500));
        for (int i = 0; i < 100; i++) {
            lines.add(0, "high", new Job(1, 0, 5000));
            Job young = lines.poll(5000);
            young.waiting = false;
            assertEquals(0, young.level, "one that is not old yet has no claim");
        }
    }

    /** Foreground and background jobs of one priority share its bound. */
    @Test
    void eachPriorityHasItsBoundAndWhatWaitsStays() {
        JobLines<Job> lines = new JobLines<>(4, 2, 0, 0);
        lines.limit(0, 2);
        lines.add(0, "c", new Job(0, 0, 0));
        assertFalse(lines.full(0));
        lines.add(2, "c", new Job(0, 2, 0));
        assertTrue(lines.full(0));
        assertTrue(lines.full(2));
        assertFalse(lines.full(1));
        lines.limit(0, 1);
        assertEquals(2, lines.waiting(0));
        assertEquals(0, lines.urgent());
    }

    /**
     * The function whose most urgent job is the higher goes first; of equals they take turns; the old get
     * theirs.
     */
    @Test
    void functionsTakeTurnsForAWorker() {
        class Function implements FunctionTurns.Contender {
            int urgent;
            long oldest;
            long last;

            Function(int urgent, long oldest) {
                this.urgent = urgent;
                this.oldest = oldest;
            }

            @Override
            public int urgent() {
                return urgent;
            }

            @Override
            public long oldestSince() {
                return oldest;
            }

            @Override
            public long lastTurn() {
                return last;
            }

            @Override
            public void hadTurn(long count) {
                last = count;
            }
        }
        Function a = new Function(1, 900);
        Function b = new Function(1, 900);
        Function low = new Function(2, 0);
        FunctionTurns<Function> turns = new FunctionTurns<>(8, 500);
        Map<Function, Integer> had = new HashMap<>();
        for (int i = 0; i < 80; i++) {
            turns.begin(1000);
            for (Function f : List.of(a, b, low)) {
                turns.offer(f);
            }
            had.merge(turns.chosen(), 1, Integer::sum);
        }
        assertEquals(10, had.get(low));
        assertEquals(35, had.get(a));
        assertEquals(35, had.get(b));
        turns.begin(1000);
        assertNull(turns.chosen());
    }

    @Test
    void jobsForTheClockComeInTimeAndInOrder() {
        Schedule<String> clock = new Schedule<>();
        clock.add(20, "c");
        Object b = clock.add(10, "b");
        clock.add(10, "a");
        assertEquals(10, clock.next());
        assertNull(clock.due(9));
        assertTrue(clock.remove(b));
        assertFalse(clock.remove(b));
        assertEquals("a", clock.due(10));
        assertNull(clock.due(10));
        assertEquals("c", clock.due(1000));
        assertEquals(Long.MAX_VALUE, clock.next());
    }

    @Test
    void aScheduleNamesTheNextSuchMinute() {
        ZonedDateTime from = ZonedDateTime.of(2026, 12, 1, 14, 30, 15, 0, ZoneOffset.UTC); // a Tuesday
        for (String[] each : new String[][] {
            {"2026-12-01T14:31Z", "", "", "", "", ""}, {"2026-12-01T14:31Z", "*", "*", "*", "*", "*"},
            {"2026-12-01T15:00Z", "0", "", "", "", ""}, {"2026-12-02T14:30Z", "30", "14", "", "", ""},
            {"2026-12-07T00:00Z", "0", "0", "", "", "0"}, {"2026-12-26T09:05Z", "5", "9", "26", "12", ""},
            {"2028-02-29T00:00Z", "0", "0", "29", "2", ""}, {"2027-01-01T00:00Z", "", "", "", "1", ""},
            {"2027-02-07T00:00Z", "", "", "", "2", "6"}
        }) {
            assertEquals(
                    ZonedDateTime.parse(each[0]).toInstant(),
                    Schedule.next(from, each[1], each[2], each[3], each[4], each[5])
                            .toInstant(),
                    String.join(" ", each));
        }
        for (String[] each : new String[][] {
            {"60", "", "", "", ""},
            {"", "24", "", "", ""},
            {"", "", "0", "", ""},
            {"", "", "", "13", ""},
            {"", "", "", "", "7"},
            {"x", "", "", "", ""},
            {"", "", "30", "2", ""}
        }) {
            assertThrows(IllegalArgumentException.class, () -> Schedule.next(from, each));
        }
    }

    @Test
    void eachBoundNamesItself() {
        ByteBudget budget = new ByteBudget(4000);
        Admission admission = new Admission(new Admission.Limits(10, 5));
        JobLines<Job> lines = new JobLines<>(1, 1, 0, 0);
        assertNull(admission.check(9, 4, lines, 0, 1000, budget));
        assertEquals(1000, budget.jobs());
        assertEquals("QUEUE_FULL", admission.check(10, 0, lines, 0, 1, budget).code());
        assertEquals("CLIENT_LIMIT", admission.check(0, 5, lines, 0, 1, budget).code());
        Admission.Refusal memory = admission.check(0, 0, lines, 0, 2001, budget);
        assertEquals("MEMORY_LIMIT", memory.code());
        assertTrue(memory.why().contains("max_memory_mb"), memory.why());
        lines.limit(0, 0);
        assertTrue(admission.check(0, 0, lines, 0, 1, budget).why().contains("maxqueue"));
        assertEquals(1000, budget.jobs(), "who is turned away takes nothing");
    }

    @Test
    void workloadsLeaveRoomForResults() {
        ByteBudget budget = new ByteBudget(4000);
        assertTrue(budget.takeJob(9000), "one that is too large for all is let through alone");
        assertFalse(budget.takeJob(1));
        assertTrue(budget.takeResult(1000, 0));
        assertFalse(budget.takeResult(1, 0));
        budget.releaseResult(1000);
        assertFalse(budget.takeResult(600, 500), "what clients have not read counts");
        assertTrue(budget.takeResult(9000, 0));
        budget.releaseJob(9000);
        assertTrue(budget.takeJob(3000));
    }
}
