package beechseam.dispatch;

import static beechseam.dispatch.DispatcherHarness.MS;
import static beechseam.dispatch.DispatcherHarness.S;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Among equally loaded workers a job goes to one with an idle connection, as long as the load stays balanced. */
class ConnectionReuseTest {
    /** Half of the harness's idle timeout: the node's pool closes its connections that early. */
    private static final long IDLE_TIMEOUT_NS = 5 * S;

    private static final int SLOTS = 4;

    /** A job of a dispatcher that runs at a worker. */
    private record Run(long endsAt, int dispatcher, long job, long worker) {}

    /** Dispatchers of one group in virtual time, with workers that start each job at once. */
    private static final class DispatcherGroup {
        private final List<Dispatcher> dispatchers = new ArrayList<>();
        private final List<Map<Long, ArrayDeque<Long>>> idle = new ArrayList<>();
        private final PriorityQueue<Run> runs = new PriorityQueue<>(Comparator.comparing(Run::endsAt));
        private final Map<Long, Integer> inFlight = new HashMap<>();
        private final Map<Long, Integer> sent = new HashMap<>();
        private long now = 100 * S;
        private long lastJob;
        private long sentTo;
        private int opened;

        private DispatcherGroup(int dispatchers, int groupSize, int workers) {
            DispatchSettings settings = DispatcherHarness.settings(
                    LoadReportSource.ANSWERS,
                    false,
                    groupSize,
                    DispatcherHarness.of(Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
            List<WorkerEndpoint> entries = new ArrayList<>();
            for (int i = 1; i <= workers; i++) {
                entries.add(DispatcherHarness.worker(i, "z1", 0, EndpointState.READY));
            }
            for (int i = 0; i < dispatchers; i++) {
                this.dispatchers.add(new Dispatcher(now, settings, i + 1, new SendRecorder()));
                this.dispatchers.get(i).endpointsUpdated(now, EndpointUpdate.SNAPSHOT, entries);
                idle.add(new HashMap<>());
            }
        }

        /** Records the worker that a job is sent to, and ignores all other actions. */
        private final class SendRecorder implements DispatchActions {
            @Override
            public void send(long job, long worker, long timeoutNs) {
                sentTo = worker;
            }

            @Override
            public void cancel(long job, int attempt) {}

            @Override
            public void shed(long job, long retryAfterNs) {}

            @Override
            public void fail(long job) {}

            @Override
            public void healthCheck(long worker) {}

            @Override
            public void scheduleTimer(long delayNs, long tag) {}

            @Override
            public void watchEndpoints() {}

            @Override
            public void log(String text) {}
        }

        /** Submits a job with this run time; returns the worker it is sent to, or 0 if it is not sent at once. */
        private long job(int dispatcher, long runNs) {
            sentTo = 0;
            long job = ++lastJob;
            dispatchers.get(dispatcher).jobArrived(now, new Job(job, 0, 4 * S, 0, 1, 0));
            long worker = sentTo;
            if (worker != 0) {
                connect(dispatcher, worker);
                inFlight.merge(worker, 1, Integer::sum);
                sent.merge(worker, 1, Integer::sum);
                dispatchers.get(dispatcher).attemptStarted(now, job, 0);
                runs.add(new Run(now + runNs, dispatcher, job, worker));
            }
            return worker;
        }

        private void connect(int dispatcher, long worker) {
            ArrayDeque<Long> open = idle.get(dispatcher).computeIfAbsent(worker, id -> new ArrayDeque<>());
            while (!open.isEmpty() && open.peekFirst() < now - IDLE_TIMEOUT_NS) {
                open.removeFirst();
            }
            opened += open.isEmpty() ? 1 : 0;
            open.pollLast();
        }

        private void advance(long ns) {
            long until = now + ns;
            while (!runs.isEmpty() && runs.peek().endsAt <= until) {
                Run run = runs.poll();
                now = run.endsAt;
                int remaining = inFlight.merge(run.worker, -1, Integer::sum);
                idle.get(run.dispatcher).get(run.worker).addLast(now);
                dispatchers
                        .get(run.dispatcher)
                        .attemptEnded(
                                now,
                                run.job,
                                0,
                                Outcome.SERVED,
                                true,
                                DispatcherHarness.load(
                                        remaining, Math.max(0, remaining - SLOTS), Math.max(0, SLOTS - remaining)));
            }
            now = until;
        }

        private int run(int jobs, long gapNs, long runNs) {
            for (int i = 0; i < jobs; i++) {
                job(i % dispatchers.size(), runNs);
                advance(gapNs);
            }
            return opened;
        }
    }

    /** One dispatcher, alone or in a group, sends sixty jobs a second for 25 s. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 16, 100})
    void connectionsGrowLittleWithSixteenTimesTheWorkers(int groupSize) {
        int with200Workers = new DispatcherGroup(1, groupSize, 200).run(1500, S / 60, 150 * MS);
        int with3200Workers = new DispatcherGroup(1, groupSize, 3200).run(1500, S / 60, 150 * MS);
        assertTrue(
                with3200Workers <= 2.5 * with200Workers + 40,
                with3200Workers + " connections, where 200 workers need " + with200Workers);
    }

    @Test
    void effectiveLoadThenIdleConnectionThenLeastRecentUseDecides() {
        DispatcherGroup group = new DispatcherGroup(1, 1, 3);
        long first = group.job(0, 10 * MS);
        group.advance(20 * MS);
        assertEquals(first, group.job(0, S), "idle and with a connection");
        long second = group.job(0, 10 * MS);
        assertTrue(second != first, "the first is busy");
        group.advance(20 * MS);
        assertEquals(second, group.job(0, S), "the only idle worker with a connection");
        long third = group.job(0, S);
        assertTrue(third != first && third != second, "the only idle worker");
    }

    @Test
    void idleConnectionOfAnUnusedWorkerExpires() {
        DispatcherGroup group = new DispatcherGroup(1, 1, 2);
        long first = group.job(0, 10 * MS);
        group.advance(IDLE_TIMEOUT_NS + S);
        assertTrue(
                group.job(0, 10 * MS) != first,
                "its connection has expired, so the least recently used worker gets the job");
    }

    @Test
    void drainingPreferredWorkerIsReplaced() {
        for (int groupSize : new int[] {1, 100}) {
            DispatcherGroup group = new DispatcherGroup(1, groupSize, 50);
            group.run(100, 20 * MS, 10 * MS);
            long preferred = group.job(0, 10 * MS);
            group.advance(20 * MS);
            WorkerEndpoint draining = DispatcherHarness.worker(preferred, "z1", 0, EndpointState.DRAINING);
            group.dispatchers.get(0).endpointsUpdated(group.now, EndpointUpdate.DELTA, List.of(draining));
            for (int i = 0; i < 200; i++) {
                long worker = group.job(0, 10 * MS);
                assertTrue(worker != 0 && worker != preferred, "group of " + groupSize + ": sent to " + worker);
                group.advance(20 * MS);
            }
        }
    }

    /** Each dispatcher prefers workers that it has connections to; all of them must not prefer the same workers. */
    @Test
    void hundredDispatchersBalanceJobsAcrossAllWorkers() {
        int workers = 60;
        DispatcherGroup group = new DispatcherGroup(100, 100, workers);
        group.run(12_000, S / 600, 150 * MS);
        double mean = 12_000.0 / workers;
        int most =
                group.sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertEquals(workers, group.sent.size(), "every worker is used");
        assertTrue(most < 1.5 * mean, "one worker got " + most + " jobs, the mean is " + mean);
    }
}
