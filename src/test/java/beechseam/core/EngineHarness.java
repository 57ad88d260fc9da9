package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.DeduplicationScope;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.JobClass;
import beechseam.dispatch.LoadReportSource;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import beechseam.dispatch.WorkerRules;
import beechseam.net.TimerQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An engine on a host whose clock, front end and egress the test moves by hand. It asserts what must hold at each call
 * of the engine.
 */
final class EngineHarness implements Egress, Ingress {
    static final long MS = 1_000_000L;
    static final long SECOND = 1000 * MS;

    /** A gate that the test opens and closes. */
    static final class TestGate implements SendGate {
        boolean open = true;

        @Override
        public boolean open() {
            return open;
        }

        @Override
        public long opensWithinNs() {
            return open ? 0 : 700 * MS;
        }
    }

    final TimerQueue timers = new TimerQueue();
    final Counters counters = new Counters();
    final List<Attempt> inFlight = new ArrayList<>();
    final List<Request> accepted = new ArrayList<>();
    final Map<Request, String> answers = new HashMap<>();
    final List<Long> healthChecked = new ArrayList<>();
    final TestGate gate = new TestGate();
    final Engine engine;
    long now = 1_700_000_000L * SECOND;
    boolean failAtOnce;
    boolean sending;

    EngineHarness(Idempotency idempotency) {
        this(idempotency, 400 * MS, 0);
    }

    EngineHarness(Idempotency idempotency, long latencyObjectiveNs, double lateWeight) {
        JobClass jobClass = new JobClass(
                "c",
                latencyObjectiveNs,
                4 * SECOND,
                2,
                1,
                lateWeight,
                idempotency,
                DeduplicationScope.CELL,
                2 * SECOND,
                null);
        engine = new Engine(
                new DispatchSettings(
                        List.of(jobClass),
                        new DispatchLimits(4, SECOND, true, true, false, true, 10 * SECOND),
                        new WorkerRules(300 * MS, 8 * SECOND, 0.25, 8 * SECOND, 3, SECOND, false),
                        LoadReportSource.ANSWERS,
                        false,
                        1,
                        0,
                        "z",
                        true,
                        SECOND,
                        0.05,
                        0,
                        0,
                        false),
                5,
                () -> now,
                timers,
                this,
                counters);
        engine.useSendGate(gate);
        listTargets(3, EndpointState.READY);
    }

    void listTargets(int count, EndpointState state) {
        List<WorkerEndpoint> entries = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            entries.add(new WorkerEndpoint(i, i % 2, "z", "k", 0, i == 1 ? state : EndpointState.READY));
        }
        engine.updateEndpoints(EndpointUpdate.SNAPSHOT, entries);
    }

    Request submit(String correlation) {
        Request request = engine.submit(correlation, 0, 4 * SECOND, 1, 0, "message", this);
        if (request != null) {
            accepted.add(request);
        }
        return request;
    }

    void advance(long elapsedNs) {
        long until = now + elapsedNs;
        while (timers.untilNext(now, until - now) < until - now || timers.untilNext(now, 1) == 0) {
            now += timers.untilNext(now, until - now);
            timers.due(now).run();
        }
        now = until;
    }

    @Override
    public void send(Attempt attempt) {
        assertTrue(gate.open, "sent though the gate is closed");
        assertFalse(attempt.request.finished(), "sent after the final answer");
        assertTrue(engine.routeTable().acceptsNewWork(attempt.target), "sent to a target that is not in service");
        assertNull(answers.get(attempt.request));
        assertFalse(sending, "the dispatcher was entered while it acts");
        if (failAtOnce) { // the way a refused connect on loopback reports itself
            sending = true;
            engine.attemptEnded(attempt, Outcome.UNREACHABLE, null, null);
            sending = false;
        } else {
            attempt.begun();
            inFlight.add(attempt);
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        assertTrue(inFlight.remove(attempt), "cancelled an attempt that is not in flight");
    }

    @Override
    public void healthCheck(long target) {
        assertTrue(gate.open, "health check though the gate is closed");
        healthChecked.add(target);
        engine.healthCheckCompleted(target, false, null);
    }

    private void answer(Request request, String answer) {
        assertTrue(now < request.deadlineAt, "too late for the client");
        assertNull(answers.put(request, answer), "a second final answer");
    }

    @Override
    public void served(Request request, byte[] result) {
        answer(request, "served " + new String(result));
    }

    @Override
    public void shed(Request request, long retryAfterNs) {
        answer(request, "shed " + retryAfterNs);
    }

    @Override
    public void failed(Request request, String reason) {
        answer(request, "failed");
    }
}
