package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.DeduplicationScope;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.JobClass;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.LoadReportSource;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import beechseam.dispatch.WorkerRules;
import beechseam.net.TimerQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The core between a front and an egress that do anything at any time, against the rules it must keep. */
class EngineTest {
    private static final long MS = 1_000_000L;
    private static final long S = 1000 * MS;

    /** A gate that the test opens and closes. */
    private static final class TestGate implements SendGate {
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

    /** A host whose clock and wires the test moves by hand. */
    private static final class World implements Egress, Ingress {
        final TimerQueue timers = new TimerQueue();
        final Counters counters = new Counters();
        final List<Attempt> out = new ArrayList<>();
        final List<Request> taken = new ArrayList<>();
        final Map<Request, String> answers = new HashMap<>();
        final Engine engine;
        long now = 1_700_000_000L * S;
        final List<Long> probed = new ArrayList<>();
        final TestGate gate = new TestGate();
        boolean failAtOnce;
        boolean sending;

        World(Idempotency effect) {
            this(effect, 400 * MS, 0);
        }

        World(Idempotency effect, long aimNs, double lateWorth) {
            JobClass jobs =
                    new JobClass("c", aimNs, 4 * S, 2, 1, lateWorth, effect, DeduplicationScope.CELL, 2 * S, null);
            engine = new Engine(
                    new DispatchSettings(
                            List.of(jobs),
                            new DispatchLimits(4, S, true, true, false, true, 10 * S),
                            new WorkerRules(300 * MS, 8 * S, 0.25, 8 * S, 3, S, false),
                            LoadReportSource.ANSWERS,
                            false,
                            1,
                            0,
                            "z",
                            true,
                            S,
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
            list(3, EndpointState.READY);
        }

        void list(int count, EndpointState state) {
            List<WorkerEndpoint> lines = new ArrayList<>();
            for (int i = 1; i <= count; i++) {
                lines.add(new WorkerEndpoint(i, i % 2, "z", "k", 0, i == 1 ? state : EndpointState.READY));
            }
            engine.updateEndpoints(EndpointUpdate.SNAPSHOT, lines);
        }

        Request take(String name) {
            Request r = engine.submit(name, 0, 4 * S, 1, 0, "message", this);
            if (r != null) {
                taken.add(r);
            }
            return r;
        }

        void pass(long ns) {
            long until = now + ns;
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
            assertFalse(sending, "the module was entered while it acts");
            if (failAtOnce) { // the way a refused connect on loopback reports itself
                sending = true;
                engine.attemptEnded(attempt, Outcome.UNREACHABLE, null, null);
                sending = false;
            } else {
                attempt.begun();
                out.add(attempt);
            }
        }

        @Override
        public void cancel(Attempt attempt) {
            assertTrue(out.remove(attempt), "cancelled a hop that is not out");
        }

        @Override
        public void healthCheck(long target) {
            assertTrue(gate.open, "probed though the gate is closed");
            probed.add(target);
            engine.healthCheckCompleted(target, false, null);
        }

        private void answer(Request r, String how) {
            assertTrue(now < r.deadlineAt, "too late for the client");
            assertNull(answers.put(r, how), "a second final answer");
        }

        @Override
        public void served(Request r, byte[] result) {
            answer(r, "served " + new String(result));
        }

        @Override
        public void shed(Request r, long pauseNs) {
            answer(r, "shed " + pauseNs);
        }

        @Override
        public void failed(Request r, String why) {
            answer(r, "failed");
        }
    }

    @Property(seed = "20261201", tries = 300)
    void everyRequestGetsOneAnswerInTimeWhateverTheWiresDo(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 2) int effect) {
        World w = new World(Idempotency.values()[effect]);
        Random random = new Random(seed);
        List<Request> left = new ArrayList<>();
        for (int step = 0; step < 120; step++) {
            Attempt attempt = w.out.isEmpty() ? null : w.out.get(random.nextInt(w.out.size()));
            switch (random.nextInt(10)) {
                case 9 -> {
                    w.gate.open = !w.gate.open;
                    w.engine.resumeDeferred();
                }
                case 0, 1 -> w.take("r" + random.nextInt(200));
                case 2 -> w.pass(random.nextInt(300) * MS);
                case 3 -> w.list(1 + random.nextInt(3), EndpointState.values()[random.nextInt(2)]);
                case 4 -> w.failAtOnce = random.nextInt(4) == 0;
                case 5 -> {
                    if (!w.taken.isEmpty()) {
                        Request r = w.taken.get(random.nextInt(w.taken.size()));
                        if (!r.finished()) {
                            left.add(r);
                        }
                        w.engine.clientDisconnected(r);
                    }
                }
                case 6 -> {
                    if (attempt != null) {
                        w.engine.attemptStarted(attempt);
                        w.engine.attemptProgressed(attempt, random.nextDouble());
                    }
                }
                default -> {
                    if (attempt != null) {
                        Outcome[] all = {Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED, Outcome.LOST};
                        w.out.remove(attempt);
                        Outcome how = all[random.nextInt(all.length)];
                        w.engine.attemptEnded(attempt, how, new byte[0], new LoadReport(1, 0, 3, Double.NaN, 0.2));
                        w.engine.attemptEnded(attempt, Outcome.SERVED, new byte[0], null); // told twice: passed over
                    }
                }
            }
        }
        w.pass(6 * S);
        for (Request r : w.taken) {
            assertNotEquals(left.contains(r), w.answers.containsKey(r), "answered, or its client left");
        }
        assertEquals(0, w.engine.openRequests(), "nothing is kept of what is over");
        assertEquals(0, w.counters.faults);
        assertEquals(w.counters.requestsAccepted, w.answers.size() + left.size());
    }

    /** A connect refused within the send must not enter the module while it acts. */
    @Test
    void anEndWithinTheSendWaitsForTheModule() {
        World w = new World(Idempotency.NON_IDEMPOTENT);
        w.failAtOnce = true;
        Request r = w.take("a");
        w.pass(4 * S);
        assertTrue(w.answers.get(r).startsWith("shed"), "it never ran: a further try is harmless");
        assertEquals(0, w.counters.faults);
        assertEquals(w.counters.attemptsSent, w.counters.ended(Outcome.UNREACHABLE));
    }

    /** The module sends without a time-out: the host owes the end, in time for an answer. */
    @Test
    void silenceEndsAsTimeoutBeforeTheClientGivesUp() {
        World w = new World(Idempotency.NON_IDEMPOTENT);
        Request r = w.take("a");
        w.pass(4 * S - 26 * MS);
        assertNull(w.answers.get(r));
        w.pass(2 * MS);
        assertEquals("failed", w.answers.get(r), "it may have run");
        assertEquals(1, w.counters.ended(Outcome.TIMEOUT));
    }

    /** An attempt may wait for a connection until the time in which its request may be repeated is over. */
    @Test
    void aRepeatThatHasWaitedPastTheWindowDoesNotBegin() {
        World w = new World(Idempotency.KEYED);
        w.engine.updateEndpoints(
                EndpointUpdate.SNAPSHOT,
                List.of(
                        new WorkerEndpoint(1, 0, "z", "k", 0, EndpointState.READY),
                        new WorkerEndpoint(2, 0, "z", "k", 0, EndpointState.READY)));
        Request r = w.take("a");
        Attempt first = w.out.remove(0);
        assertTrue(w.engine.tryBegin(first));
        w.engine.attemptEnded(first, Outcome.LOST, null, null);
        Attempt second = w.out.get(0);
        w.pass(1840 * MS);
        assertTrue(w.engine.tryBegin(second), "the window is 2 s, less 150 ms between the clock and the write");
        w.pass(11 * MS);
        w.out.remove(second);
        assertFalse(w.engine.tryBegin(second));
        assertTrue(second.hasEnded());
        w.pass(4 * S);
        assertEquals("failed", w.answers.get(r), "it may have run");
        assertEquals(1, w.counters.withheld);
    }

    /** The window is that of repeats: one that waits for long and repeats nothing may begin. */
    @Test
    void aFirstAttemptMayBeginPastTheWindow() {
        World w = new World(Idempotency.KEYED);
        w.take("a");
        Attempt first = w.out.get(0);
        w.pass(2100 * MS);
        assertTrue(w.engine.tryBegin(first));
    }

    /** Held to the end by the module, whose ticks fall anywhere before the deadline. */
    @Property(seed = "41", tries = 60)
    void whatWasNeverForwardedIsRefusedAndNotFailed(
            @ForAll Idempotency effect, @ForAll @IntRange(min = 0, max = 40) int phaseMs) {
        World w = new World(effect, 100 * MS, 0.5);
        w.list(0, EndpointState.READY);
        w.take("first");
        w.pass(phaseMs * MS);
        Request r = w.take("a");
        w.pass(4 * S);
        assertEquals("shed " + S, w.answers.get(r));
    }

    /** Its answer is given, or its target drains, while an attempt waits: it does not begin. */
    @Test
    void aHopThatNobodyNeedsOrWhoseTargetDrainsDoesNotBegin() {
        World w = new World(Idempotency.IDEMPOTENT);
        w.take("a");
        Attempt drained = w.out.remove(0);
        w.list(0, EndpointState.READY);
        assertFalse(w.engine.tryBegin(drained));
        w.list(3, EndpointState.READY);
        Request r = w.take("b");
        Attempt unwanted =
                w.out.stream().filter(each -> each.request == r).findFirst().orElseThrow();
        r.finished = true;
        assertFalse(w.engine.tryBegin(unwanted));
        assertTrue(drained.hasEnded() && unwanted.hasEnded());
    }

    // ---- The send gate

    @Test
    void requestsWaitForTheGateAndGoInOrderWithTheTimeThatIsLeft() {
        World w = new World(Idempotency.IDEMPOTENT);
        w.gate.open = false;
        Request first = w.take("a");
        Request second = w.take("b");
        w.pass(300 * MS);
        assertEquals(0, w.counters.attemptsSent);
        assertEquals(2, w.engine.openRequests());
        w.gate.open = true;
        w.engine.resumeDeferred();
        assertEquals(
                List.of(first, second), w.out.stream().map(each -> each.request).toList());
        w.pass(4 * S);
        assertTrue(w.answers.containsKey(first) && w.answers.containsKey(second));
    }

    /** Nothing of it was sent: it is refused, with the time until the gate opens, and not failed. */
    @Test
    void aRequestWhoseTimePassesAtTheGateIsRefusedWithWhenToComeBack() {
        World w = new World(Idempotency.NON_IDEMPOTENT);
        w.gate.open = false;
        Request r = w.take("a");
        w.pass(4 * S - 26 * MS);
        assertNull(w.answers.get(r));
        w.pass(2 * MS);
        assertEquals("shed " + 700 * MS, w.answers.get(r));
        assertEquals(0, w.engine.openRequests());
        w.gate.open = true;
        w.engine.resumeDeferred();
        assertEquals(0, w.counters.attemptsSent);
    }

    @Test
    void aRequestWhoseClientLeavesAtTheGateIsForgotten() {
        World w = new World(Idempotency.IDEMPOTENT);
        w.gate.open = false;
        Request r = w.take("a");
        w.engine.clientDisconnected(r);
        assertEquals(0, w.engine.openRequests());
        w.gate.open = true;
        w.engine.resumeDeferred();
        assertEquals(0, w.counters.attemptsSent);
        assertNotNull(w.take("a"), "its name is free");
    }

    /** The gate closes between the decision and the first byte: the attempt goes out once, when it opens. */
    @Test
    void anAttemptThatHasNotBegunWaitsForTheGate() {
        World w = new World(Idempotency.NON_IDEMPOTENT);
        w.take("a");
        Attempt attempt = w.out.remove(0);
        w.gate.open = false;
        assertFalse(w.engine.tryBegin(attempt));
        assertFalse(attempt.hasEnded());
        w.engine.resumeDeferred();
        assertTrue(w.out.isEmpty(), "still closed");
        w.gate.open = true;
        w.engine.resumeDeferred();
        assertEquals(List.of(attempt), w.out);
        assertTrue(w.engine.tryBegin(attempt));
        assertEquals(1, w.counters.attemptsSent);
    }

    /** What was learned at the gate counts: the target drains, and the attempt ends as never sent. */
    @Test
    void anAttemptWhoseTargetDrainsAtTheGateGoesElsewhere() {
        World w = new World(Idempotency.NON_IDEMPOTENT);
        w.list(1, EndpointState.READY);
        w.take("a");
        Attempt attempt = w.out.remove(0);
        w.gate.open = false;
        assertFalse(w.engine.tryBegin(attempt));
        w.engine.updateEndpoints(
                EndpointUpdate.SNAPSHOT,
                List.of(
                        new WorkerEndpoint(1, 1, "z", "k", 0, EndpointState.DRAINING),
                        new WorkerEndpoint(2, 0, "z", "k", 0, EndpointState.READY)));
        w.gate.open = true;
        w.engine.resumeDeferred();
        assertTrue(attempt.hasEnded());
        assertEquals(List.of(2L), w.out.stream().map(each -> each.target).toList());
    }

    @Test
    void aNameThatIsOpenIsNotTakenTwice() {
        World w = new World(Idempotency.IDEMPOTENT);
        Request r = w.take("a");
        assertNull(w.take("a"));
        Attempt attempt = w.out.remove(0);
        w.engine.attemptEnded(attempt, Outcome.SERVED, "ok".getBytes(), null);
        assertEquals("served ok", w.answers.get(r));
        assertNotNull(w.take("a"), "it is free again");
    }

    /** Before the process ends: SIGKILL must find nothing unanswered, and nothing is sent for no one. */
    @Test
    void theLastAnswersLeaveInTimeWhateverTheirClientsGive() {
        World w = new World(Idempotency.IDEMPOTENT);
        Request before = w.take("before");
        w.engine.answerAllBy(w.now + S);
        Request after = w.take("after");
        w.pass(S - MS);
        long sent = w.counters.attemptsSent;
        w.pass(2 * MS);
        assertTrue(after.finished());
        assertFalse(before.finished(), "taken before: its own deadline holds");
        assertEquals(sent, w.counters.attemptsSent, "what is cut is not sent again");
        w.pass(4 * S);
        assertTrue(before.finished());
        assertEquals(0, w.engine.openRequests());
    }
}
