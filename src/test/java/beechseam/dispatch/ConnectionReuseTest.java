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

/** Which of many equal workers a job goes to: one with an open connection, while that costs no balance. */
class ConnectionReuseTest {
    /** Half of the rig's limit on idle connections, as the node's pool keeps them. */
    private static final long IDLE_TIMEOUT_NS = 5 * S;

    private static final int SLOTS = 4;

    /** A run under way, at a module and a worker. */
    private record Run(long endsAt, int module, long job, long worker) {}

    /** Modules of one group in virtual time, with workers that run each job for its time at once. */
    private static final class DispatcherGroup {
        private final List<Dispatcher> modules = new ArrayList<>();
        private final List<Map<Long, ArrayDeque<Long>>> idle = new ArrayList<>();
        private final PriorityQueue<Run> runs = new PriorityQueue<>(Comparator.comparing(Run::endsAt));
        private final Map<Long, Integer> inFlight = new HashMap<>();
        private final Map<Long, Integer> sent = new HashMap<>();
        private long now = 100 * S;
        private long lastJob;
        private long sentTo;
        private int opened;

        private DispatcherGroup(int modules, int groupSize, int workers) {
            DispatchSettings settings = DispatcherHarness.settings(
                    LoadReportSource.ANSWERS,
                    false,
                    groupSize,
                    DispatcherHarness.of(Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
            List<WorkerEndpoint> entries = new ArrayList<>();
            for (int i = 1; i <= workers; i++) {
                entries.add(DispatcherHarness.worker(i, "z1", 0, EndpointState.READY));
            }
            for (int i = 0; i < modules; i++) {
                this.modules.add(new Dispatcher(now, settings, i + 1, new Sends()));
                this.modules.get(i).endpointsUpdated(now, EndpointUpdate.SNAPSHOT, entries);
                idle.add(new HashMap<>());
            }
        }

        /** Notes where the module sends a job; the test needs nothing else of it. */
        private final class Sends implements DispatchActions {
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

        /** A job for the module that runs for so long; 0 where it was not sent at once. */
        private long job(int module, long runNs) {
            sentTo = 0;
            long job = ++lastJob;
            modules.get(module).jobArrived(now, new Job(job, 0, 4 * S, 0, 1, 0));
            long worker = sentTo;
            if (worker != 0) {
                connect(module, worker);
                inFlight.merge(worker, 1, Integer::sum);
                sent.merge(worker, 1, Integer::sum);
                modules.get(module).attemptStarted(now, job, 0);
                runs.add(new Run(now + runNs, module, job, worker));
            }
            return worker;
        }

        private void connect(int module, long worker) {
            ArrayDeque<Long> open = idle.get(module).computeIfAbsent(worker, id -> new ArrayDeque<>());
            while (!open.isEmpty() && open.peekFirst() < now - IDLE_TIMEOUT_NS) {
                open.removeFirst();
            }
            opened += open.isEmpty() ? 1 : 0;
            open.pollLast();
        }

        private void pass(long ns) {
            long until = now + ns;
            while (!runs.isEmpty() && runs.peek().endsAt <= until) {
                Run run = runs.poll();
                now = run.endsAt;
                int left = inFlight.merge(run.worker, -1, Integer::sum);
                idle.get(run.module).get(run.worker).addLast(now);
                modules.get(run.module)
                        .attemptEnded(
                                now,
                                run.job,
                                0,
                                Outcome.SERVED,
                                true,
                                DispatcherHarness.load(left, Math.max(0, left - SLOTS), Math.max(0, SLOTS - left)));
            }
            now = until;
        }

        private int run(int jobs, long gapNs, long runNs) {
            for (int i = 0; i < jobs; i++) {
                job(i % modules.size(), runNs);
                pass(gapNs);
            }
            return opened;
        }
    }

    /** Sixty jobs a second for 25 s through one node, alone or one of many. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 16, 100})
    void connectionsGrowLittleWithSixteenTimesTheWorkers(int groupSize) {
        int usual = new DispatcherGroup(1, groupSize, 200).run(1500, S / 60, 150 * MS);
        int many = new DispatcherGroup(1, groupSize, 3200).run(1500, S / 60, 150 * MS);
        assertTrue(many <= 2.5 * usual + 40, many + " connections where 200 workers need " + usual);
    }

    @Test
    void effectiveLoadThenIdleConnectionThenLeastRecentUseDecides() {
        DispatcherGroup one = new DispatcherGroup(1, 1, 3);
        long first = one.job(0, 10 * MS);
        one.pass(20 * MS);
        assertEquals(first, one.job(0, S), "idle, with a connection");
        long second = one.job(0, 10 * MS);
        assertTrue(second != first, "the first is busy");
        one.pass(20 * MS);
        assertEquals(second, one.job(0, S), "of the other two one has a connection");
        long third = one.job(0, S);
        assertTrue(third != first && third != second, "the last that is idle");
    }

    @Test
    void idleConnectionOfAnUnusedWorkerExpires() {
        DispatcherGroup one = new DispatcherGroup(1, 1, 2);
        long first = one.job(0, 10 * MS);
        one.pass(IDLE_TIMEOUT_NS + S);
        assertTrue(one.job(0, 10 * MS) != first, "the least recently used");
    }

    @Test
    void drainingPreferredWorkerIsReplaced() {
        for (int groupSize : new int[] {1, 100}) {
            DispatcherGroup one = new DispatcherGroup(1, groupSize, 50);
            one.run(100, 20 * MS, 10 * MS);
            long preferred = one.job(0, 10 * MS);
            one.pass(20 * MS);
            WorkerEndpoint draining = DispatcherHarness.worker(preferred, "z1", 0, EndpointState.DRAINING);
            one.modules.get(0).endpointsUpdated(one.now, EndpointUpdate.DELTA, List.of(draining));
            for (int i = 0; i < 200; i++) {
                long at = one.job(0, 10 * MS);
                assertTrue(at != 0 && at != preferred, "of " + groupSize + ": " + at);
                one.pass(20 * MS);
            }
        }
    }

    /** Each node prefers workers that it has connections to; together they must not prefer the same. */
    @Test
    void hundredDispatchersBalanceJobsAcrossAllWorkers() {
        int workers = 60;
        DispatcherGroup fleet = new DispatcherGroup(100, 100, workers);
        fleet.run(12_000, S / 600, 150 * MS);
        double mean = 12_000.0 / workers;
        int most =
                fleet.sent.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        assertEquals(workers, fleet.sent.size(), "none is left out");
        assertTrue(most < 1.5 * mean, "one got " + most + " of a mean of " + mean);
    }
}
