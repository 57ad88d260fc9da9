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
 * An engine whose clock, front end and egress are controlled by the test. The harness is the engine's egress and
 * ingress, and asserts the engine's invariants at each call that it receives.
 */
final class EngineHarness implements Egress, Ingress {
    static final long MS = 1_000_000L;
    static final long SECOND = 1000 * MS;

    /** A send gate that the test opens and closes. */
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
    final List<Long> healthCheckedTargets = new ArrayList<>();
    final TestGate gate = new TestGate();
    final Engine engine;
    long now = 1_700_000_000L * SECOND;
    boolean failSendsImmediately;
    boolean insideSend;

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
        assertTrue(gate.open, "attempt sent while the send gate is closed");
        assertFalse(attempt.request.finished(), "attempt sent after the request's final answer");
        assertTrue(engine.routeTable().acceptsNewWork(attempt.target), "sent to a target that accepts no new work");
        assertNull(answers.get(attempt.request));
        assertFalse(insideSend, "the dispatcher was re-entered while it acts");
        if (failSendsImmediately) { // as a refused connect on loopback is reported
            insideSend = true;
            engine.attemptEnded(attempt, Outcome.UNREACHABLE, null, null);
            insideSend = false;
        } else {
            attempt.begun();
            inFlight.add(attempt);
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        assertTrue(inFlight.remove(attempt), "the cancelled attempt is not in flight");
    }

    @Override
    public void healthCheck(long target) {
        assertTrue(gate.open, "health check sent while the send gate is closed");
        healthCheckedTargets.add(target);
        engine.healthCheckCompleted(target, false, null);
    }

    private void recordAnswer(Request request, String answer) {
        assertTrue(now < request.deadlineAt, "final answer after the client's deadline");
        assertNull(answers.put(request, answer), "the request got a second final answer");
    }

    @Override
    public void served(Request request, byte[] result) {
        recordAnswer(request, "served " + new String(result));
    }

    @Override
    public void shed(Request request, long retryAfterNs) {
        recordAnswer(request, "shed " + retryAfterNs);
    }

    @Override
    public void failed(Request request, String reason) {
        recordAnswer(request, "failed");
    }
}
