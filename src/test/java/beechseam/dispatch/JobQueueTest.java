package beechseam.dispatch;

import static beechseam.dispatch.DispatchFixture.S;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class JobQueueTest {
    private static JobClass jobClass(String name, double priorityWeight) {
        return new JobClass(
                name, S, 20 * S, 2, priorityWeight, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null);
    }

    @Test
    void ordersByWeightOfWorkThenLatestStartThenArrival() {
        DispatchFixture fixture =
                new DispatchFixture(DispatcherHarness.settings(jobClass("low", 1), jobClass("high", 2)));
        ClassRunTimes[] classes = fixture.fleet.runTimes().classes();
        JobQueue queue = new JobQueue();
        long[][] arrivals = {{1, 0, 9}, {2, 0, 8}, {3, 1, 9}, {4, 0, 9}, {5, 1, 8}};
        for (long[] each : arrivals) { // id, class, budget in tenths of a second (shorter than the objective)
            Job job = new Job(each[0], (int) each[1], each[2] * S / 10, 0, 1, 0, true);
            queue.enqueue(new PendingJob(fixture.context.now, job, classes[(int) each[1]]));
        }
        List<Long> order = queue.snapshot().stream().map(each -> each.job.id()).toList();
        assertEquals(List.of(5L, 3L, 2L, 1L, 4L), order);
        queue.remove(0);
        queue.remove(queue.get(1));
        assertEquals(3, queue.size());
        assertEquals(3, queue.get(0).job.id());
        assertEquals(1, queue.get(1).job.id());
    }
}
