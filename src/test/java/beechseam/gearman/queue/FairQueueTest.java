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

/** Tests queues, arbitration, schedule and admission: round robin, priorities, ageing, due times and bounds. */
class FairQueueTest {
    private static final class Job implements QueuedJob {
        final int client;
        final int level;
        final long enqueuedAtNs;
        boolean queued = true;

        Job(int client, int level, long enqueuedAtNs) {
            this.client = client;
            this.level = level;
            this.enqueuedAtNs = enqueuedAtNs;
        }

        @Override
        public boolean isQueued() {
            return queued;
        }

        @Override
        public long enqueuedAtNs() {
            return enqueuedAtNs;
        }
    }

    /**
     * Compares the queue with a model: clients in round-robin order, each with its jobs. A client without jobs is
     * removed from the order.
     */
    @Property(seed = "31", tries = 200)
    void clientsAreServedRoundRobinAsJobsAreAddedAndRemoved(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Job> queue = new FairQueue<>();
        Map<Integer, ArrayDeque<Job>> model = new LinkedHashMap<>();
        List<Job> all = new ArrayList<>();
        for (int step = 0; step < 400; step++) {
            int action = random.nextInt(10);
            if (action < 5) {
                Job job = new Job(random.nextInt(6), 0, step);
                queue.add(job.client, job);
                model.computeIfAbsent(job.client, c -> new ArrayDeque<>()).add(job);
                all.add(job);
            } else if (action < 8) {
                Job expected = null;
                while (expected == null && !model.isEmpty()) { // skips clients whose jobs were all removed
                    Integer first = model.keySet().iterator().next();
                    ArrayDeque<Job> jobs = model.remove(first);
                    do {
                        expected = jobs.poll();
                    } while (expected != null && !expected.queued);
                    if (!jobs.isEmpty()) {
                        model.put(first, jobs);
                    }
                }
                Job polled = queue.poll();
                assertSame(expected, polled);
                if (polled != null) {
                    polled.queued = false;
                    queue.trim();
                }
            } else if (!all.isEmpty()) {
                Job job = all.get(random.nextInt(all.size()));
                if (job.queued) {
                    job.queued = false;
                    queue.jobRemoved();
                }
            }
            List<Job> remaining = all.stream().filter(j -> j.queued).toList();
            assertEquals(remaining.size(), queue.size());
            assertSame(
                    remaining.isEmpty() ? null : remaining.get(0),
                    queue.oldest(),
                    "the oldest job is the one added first");
        }
    }

    /**
     * A removed job is only marked at first. Compaction must release it, so that a million jobs that are added and
     * removed do not stay in memory.
     */
    @Test
    void removedJobsAreReleasedFromMemory() {
        FairQueue<Job> queue = new FairQueue<>();
        Job queuedJob = new Job(0, 0, 0);
        queue.add(0, queuedJob);
        for (int i = 0; i < 100_000; i++) {
            Job job = new Job(i % 7, 0, i);
            queue.add(job.client, job);
            job.queued = false;
            queue.jobRemoved();
        }
        assertEquals(1, queue.size());
        assertTrue(queue.retainedJobs() < 3000, "retained jobs: " + queue.retainedJobs());
        assertSame(queuedJob, queue.poll());
    }

    @Test
    void mostUrgentLevelGoesFirstAndAgeingPreventsStarvation() {
        PriorityQueues<Job> queues = new PriorityQueues<>(3, 3, 16, 1000);
        queues.add(2, "low", new Job(0, 2, 0));
        int polls = 0;
        Job polled;
        do { // an urgent job is always queued
            queues.add(0, "high", new Job(1, 0, 5000));
            polled = queues.poll(5000);
            polled.queued = false;
            polls++;
        } while (polled.level == 0 && polls < 1000);
        assertEquals(16, polls, "every 16th poll takes the oldest job");
        queues.add(2, "low", new Job(0, 2, 4500));
        for (int i = 0; i < 100; i++) {
            queues.add(0, "high", new Job(1, 0, 5000));
            Job next = queues.poll(5000);
            next.queued = false;
            assertEquals(0, next.level, "a job below the minimum age is not polled by age");
        }
    }

    /** Levels of the same priority share its bound, as foreground and background jobs do. */
    @Test
    void eachPriorityHasItsBoundAndQueuedJobsStay() {
        PriorityQueues<Job> queues = new PriorityQueues<>(4, 2, 0, 0);
        queues.setLimit(0, 2);
        queues.add(0, "c", new Job(0, 0, 0));
        assertFalse(queues.isFull(0));
        queues.add(2, "c", new Job(0, 2, 0));
        assertTrue(queues.isFull(0));
        assertTrue(queues.isFull(2));
        assertFalse(queues.isFull(1));
        queues.setLimit(0, 1);
        assertEquals(2, queues.queuedJobs(0));
        assertEquals(0, queues.mostUrgentLevel());
    }

    /**
     * The function with the most urgent job is selected first, equal functions take turns, and every eighth selection
     * goes to the function with the oldest job.
     */
    @Test
    void functionsAreArbitratedForAWorker() {
        class Function implements FunctionArbiter.Contender {
            int urgent;
            long oldest;
            long last;

            Function(int urgent, long oldest) {
                this.urgent = urgent;
                this.oldest = oldest;
            }

            @Override
            public int mostUrgentLevel() {
                return urgent;
            }

            @Override
            public long oldestEnqueuedAtNs() {
                return oldest;
            }

            @Override
            public long lastTurn() {
                return last;
            }

            @Override
            public void recordTurn(long count) {
                last = count;
            }
        }
        Function a = new Function(1, 900);
        Function b = new Function(1, 900);
        Function low = new Function(2, 0);
        FunctionArbiter<Function> arbiter = new FunctionArbiter<>(8, 500);
        Map<Function, Integer> selections = new HashMap<>();
        for (int i = 0; i < 80; i++) {
            arbiter.beginSelection(1000);
            for (Function f : List.of(a, b, low)) {
                arbiter.offer(f);
            }
            selections.merge(arbiter.select(), 1, Integer::sum);
        }
        assertEquals(10, selections.get(low));
        assertEquals(35, selections.get(a));
        assertEquals(35, selections.get(b));
        arbiter.beginSelection(1000);
        assertNull(arbiter.select());
    }

    @Test
    void delayedJobsComeDueInOrder() {
        Schedule<String> schedule = new Schedule<>();
        schedule.add(20, "c");
        Schedule.Ticket b = schedule.add(10, "b");
        schedule.add(10, "a");
        assertEquals(10, schedule.nextDueNs());
        assertNull(schedule.pollDue(9));
        assertTrue(schedule.remove(b));
        assertFalse(schedule.remove(b));
        assertEquals("a", schedule.pollDue(10));
        assertNull(schedule.pollDue(10));
        assertEquals("c", schedule.pollDue(1000));
        assertEquals(Long.MAX_VALUE, schedule.nextDueNs());
    }

    @Test
    void scheduleFieldsGiveTheNextMatchingMinute() {
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
                    Schedule.nextMatch(from, each[1], each[2], each[3], each[4], each[5])
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
            assertThrows(IllegalArgumentException.class, () -> Schedule.nextMatch(from, each));
        }
    }

    private static Submitter submitter(int openJobs) {
        Submitter submitter = new Submitter();
        for (int i = 0; i < openJobs; i++) {
            submitter.jobOpened();
        }
        return submitter;
    }

    @Test
    void eachAdmissionLimitNamesItself() {
        ByteBudget budget = new ByteBudget(4000);
        Admission admission = new Admission(new Admission.Limits(10, 5));
        PriorityQueues<Job> queues = new PriorityQueues<>(1, 1, 0, 0);
        assertNull(admission.check(9, submitter(4), queues, 0, 1000, budget));
        assertEquals(1000, budget.workloadBytes());
        assertEquals(
                "QUEUE_FULL",
                admission.check(10, submitter(0), queues, 0, 1, budget).code());
        assertEquals(
                "CLIENT_LIMIT",
                admission.check(0, submitter(5), queues, 0, 1, budget).code());
        Admission.Rejection memory = admission.check(0, submitter(0), queues, 0, 2001, budget);
        assertEquals("MEMORY_LIMIT", memory.code());
        assertTrue(memory.reason().contains("max_memory_mb"), memory.reason());
        queues.setLimit(0, 0);
        assertTrue(
                admission.check(0, submitter(0), queues, 0, 1, budget).reason().contains("maxqueue"));
        assertEquals(1000, budget.workloadBytes(), "a rejected job reserves no bytes");
    }

    @Test
    void workloadsLeaveCapacityForResults() {
        ByteBudget budget = new ByteBudget(4000);
        Submitter client = submitter(0);
        assertTrue(
                budget.reserveWorkload(client, 9000), "a workload above the budget is admitted if it is the only one");
        assertFalse(budget.reserveWorkload(client, 1));
        assertTrue(budget.reserveResult(1000, 0));
        assertFalse(budget.reserveResult(1, 0));
        budget.releaseResult(1000);
        assertFalse(budget.reserveResult(600, 500), "bytes that clients have not read count");
        assertTrue(budget.reserveResult(9000, 0));
        budget.releaseWorkload(client, 9000);
        assertTrue(budget.reserveWorkload(client, 3000));
    }
}
