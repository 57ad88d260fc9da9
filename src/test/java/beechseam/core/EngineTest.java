package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The engine between a front end and an egress that do anything at any time, against its invariants. */
class EngineTest {
    private static final long MS = EngineHarness.MS;
    private static final long SECOND = EngineHarness.SECOND;

    @Property(seed = "20261201", tries = 300)
    void everyRequestGetsOneAnswerBeforeItsDeadlineUnderRandomEvents(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 2) int idempotency) {
        EngineHarness harness = new EngineHarness(Idempotency.values()[idempotency]);
        Random random = new Random(seed);
        List<Request> disconnected = new ArrayList<>();
        for (int step = 0; step < 120; step++) {
            randomEvent(harness, random, disconnected);
        }
        harness.advance(6 * SECOND);
        for (Request request : harness.accepted) {
            assertNotEquals(
                    disconnected.contains(request),
                    harness.answers.containsKey(request),
                    "answered, or its client disconnected");
        }
        assertEquals(0, harness.engine.openRequests(), "settled requests are removed");
        assertEquals(0, harness.counters.faults);
        assertEquals(harness.counters.requestsAccepted, harness.answers.size() + disconnected.size());
    }

    private static void randomEvent(EngineHarness harness, Random random, List<Request> disconnected) {
        Attempt attempt =
                harness.inFlight.isEmpty() ? null : harness.inFlight.get(random.nextInt(harness.inFlight.size()));
        switch (random.nextInt(10)) {
            case 9 -> {
                harness.gate.open = !harness.gate.open;
                harness.engine.resumeDeferred();
            }
            case 0, 1 -> harness.submit("r" + random.nextInt(200));
            case 2 -> harness.advance(random.nextInt(300) * MS);
            case 3 -> harness.listTargets(1 + random.nextInt(3), EndpointState.values()[random.nextInt(2)]);
            case 4 -> harness.failAtOnce = random.nextInt(4) == 0;
            case 5 -> {
                if (!harness.accepted.isEmpty()) {
                    Request request = harness.accepted.get(random.nextInt(harness.accepted.size()));
                    if (!request.finished()) {
                        disconnected.add(request);
                    }
                    harness.engine.clientDisconnected(request);
                }
            }
            case 6 -> {
                if (attempt != null) {
                    harness.engine.attemptStarted(attempt);
                    harness.engine.attemptProgressed(attempt, random.nextDouble());
                }
            }
            default -> {
                if (attempt != null) {
                    Outcome[] outcomes = {Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED, Outcome.LOST};
                    harness.inFlight.remove(attempt);
                    Outcome outcome = outcomes[random.nextInt(outcomes.length)];
                    harness.engine.attemptEnded(
                            attempt, outcome, new byte[0], new LoadReport(1, 0, 3, Double.NaN, 0.2));
                    harness.engine.attemptEnded(attempt, Outcome.SERVED, new byte[0], null); // reported twice: ignored
                }
            }
        }
    }

    /** A connect refused within the send must not enter the dispatcher while it acts. */
    @Test
    void attemptEndingWithinSendIsQueuedUntilDispatcherReturns() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        harness.failAtOnce = true;
        Request request = harness.submit("a");
        harness.advance(4 * SECOND);
        assertTrue(harness.answers.get(request).startsWith("shed"), "it never ran: a further try is harmless");
        assertEquals(0, harness.counters.faults);
        assertEquals(harness.counters.attemptsSent, harness.counters.ended(Outcome.UNREACHABLE));
    }

    /** The dispatcher sends without a time-out: the host owes the end, in time for an answer. */
    @Test
    void silentAttemptTimesOutBeforeClientDeadline() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        Request request = harness.submit("a");
        harness.advance(4 * SECOND - 26 * MS);
        assertNull(harness.answers.get(request));
        harness.advance(2 * MS);
        assertEquals("failed", harness.answers.get(request), "it may have run");
        assertEquals(1, harness.counters.ended(Outcome.TIMEOUT));
    }

    /** An attempt may wait for a connection until the time in which its request may be retried is over. */
    @Test
    void retryDelayedPastIdempotencyWindowDoesNotBegin() {
        EngineHarness harness = new EngineHarness(Idempotency.KEYED);
        harness.engine.updateEndpoints(
                EndpointUpdate.SNAPSHOT,
                List.of(
                        new WorkerEndpoint(1, 0, "z", "k", 0, EndpointState.READY),
                        new WorkerEndpoint(2, 0, "z", "k", 0, EndpointState.READY)));
        Request request = harness.submit("a");
        Attempt first = harness.inFlight.remove(0);
        assertTrue(harness.engine.tryBegin(first));
        harness.engine.attemptEnded(first, Outcome.LOST, null, null);
        Attempt second = harness.inFlight.get(0);
        harness.advance(1840 * MS);
        assertTrue(harness.engine.tryBegin(second), "the window is 2 s, less 150 ms between the clock and the write");
        harness.advance(11 * MS);
        harness.inFlight.remove(second);
        assertFalse(harness.engine.tryBegin(second));
        assertTrue(second.hasEnded());
        harness.advance(4 * SECOND);
        assertEquals("failed", harness.answers.get(request), "it may have run");
        assertEquals(1, harness.counters.withheld);
    }

    /** The window is that of retries: one that waits for long and retries nothing may begin. */
    @Test
    void firstAttemptMayBeginPastIdempotencyWindow() {
        EngineHarness harness = new EngineHarness(Idempotency.KEYED);
        harness.submit("a");
        Attempt first = harness.inFlight.get(0);
        harness.advance(2100 * MS);
        assertTrue(harness.engine.tryBegin(first));
    }

    /** Queued to the end by the dispatcher, whose ticks fall anywhere before the deadline. */
    @Property(seed = "41", tries = 60)
    void requestNeverSentIsShedAtDeadlineNotFailed(
            @ForAll Idempotency idempotency, @ForAll @IntRange(min = 0, max = 40) int phaseMs) {
        EngineHarness harness = new EngineHarness(idempotency, 100 * MS, 0.5);
        harness.listTargets(0, EndpointState.READY);
        harness.submit("first");
        harness.advance(phaseMs * MS);
        Request request = harness.submit("a");
        harness.advance(4 * SECOND);
        assertEquals("shed " + SECOND, harness.answers.get(request));
    }

    /** Its answer is given, or its target drains, while an attempt waits: it does not begin. */
    @Test
    void unwantedAttemptOrAttemptToDrainingTargetDoesNotBegin() {
        EngineHarness harness = new EngineHarness(Idempotency.IDEMPOTENT);
        harness.submit("a");
        Attempt drained = harness.inFlight.remove(0);
        harness.listTargets(0, EndpointState.READY);
        assertFalse(harness.engine.tryBegin(drained));
        harness.listTargets(3, EndpointState.READY);
        Request request = harness.submit("b");
        Attempt unwanted = harness.inFlight.stream()
                .filter(each -> each.request == request)
                .findFirst()
                .orElseThrow();
        request.finished = true;
        assertFalse(harness.engine.tryBegin(unwanted));
        assertTrue(drained.hasEnded() && unwanted.hasEnded());
    }

    @Test
    void requestsDeferredBySendGateResumeInOrderWithRemainingBudget() {
        EngineHarness harness = new EngineHarness(Idempotency.IDEMPOTENT);
        harness.gate.open = false;
        Request first = harness.submit("a");
        Request second = harness.submit("b");
        harness.advance(300 * MS);
        assertEquals(0, harness.counters.attemptsSent);
        assertEquals(2, harness.engine.openRequests());
        harness.gate.open = true;
        harness.engine.resumeDeferred();
        assertEquals(
                List.of(first, second),
                harness.inFlight.stream().map(each -> each.request).toList());
        harness.advance(4 * SECOND);
        assertTrue(harness.answers.containsKey(first) && harness.answers.containsKey(second));
    }

    /** Nothing of it was sent: it is shed, with the time until the gate opens, and not failed. */
    @Test
    void requestExpiringAtSendGateIsShedWithRetryAfter() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        harness.gate.open = false;
        Request request = harness.submit("a");
        harness.advance(4 * SECOND - 26 * MS);
        assertNull(harness.answers.get(request));
        harness.advance(2 * MS);
        assertEquals("shed " + 700 * MS, harness.answers.get(request));
        assertEquals(0, harness.engine.openRequests());
        harness.gate.open = true;
        harness.engine.resumeDeferred();
        assertEquals(0, harness.counters.attemptsSent);
    }

    @Test
    void requestDeferredBySendGateIsRemovedOnClientDisconnect() {
        EngineHarness harness = new EngineHarness(Idempotency.IDEMPOTENT);
        harness.gate.open = false;
        Request request = harness.submit("a");
        harness.engine.clientDisconnected(request);
        assertEquals(0, harness.engine.openRequests());
        harness.gate.open = true;
        harness.engine.resumeDeferred();
        assertEquals(0, harness.counters.attemptsSent);
        assertNotNull(harness.submit("a"), "its correlation is free");
    }

    /** The gate closes between the decision and the first byte: the attempt goes out once, when it opens. */
    @Test
    void attemptNotBegunIsDeferredBySendGate() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        harness.submit("a");
        Attempt attempt = harness.inFlight.remove(0);
        harness.gate.open = false;
        assertFalse(harness.engine.tryBegin(attempt));
        assertFalse(attempt.hasEnded());
        harness.engine.resumeDeferred();
        assertTrue(harness.inFlight.isEmpty(), "still closed");
        harness.gate.open = true;
        harness.engine.resumeDeferred();
        assertEquals(List.of(attempt), harness.inFlight);
        assertTrue(harness.engine.tryBegin(attempt));
        assertEquals(1, harness.counters.attemptsSent);
    }

    /** What was learned at the gate counts: the target drains, and the attempt ends as never sent. */
    @Test
    void attemptDeferredBySendGateIsReplacedWhenTargetDrains() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        harness.listTargets(1, EndpointState.READY);
        harness.submit("a");
        Attempt attempt = harness.inFlight.remove(0);
        harness.gate.open = false;
        assertFalse(harness.engine.tryBegin(attempt));
        harness.engine.updateEndpoints(
                EndpointUpdate.SNAPSHOT,
                List.of(
                        new WorkerEndpoint(1, 1, "z", "k", 0, EndpointState.DRAINING),
                        new WorkerEndpoint(2, 0, "z", "k", 0, EndpointState.READY)));
        harness.gate.open = true;
        harness.engine.resumeDeferred();
        assertTrue(attempt.hasEnded());
        assertEquals(
                List.of(2L), harness.inFlight.stream().map(each -> each.target).toList());
    }

    @Test
    void duplicateCorrelationIsRejectedWhileOpen() {
        EngineHarness harness = new EngineHarness(Idempotency.IDEMPOTENT);
        Request request = harness.submit("a");
        assertNull(harness.submit("a"));
        Attempt attempt = harness.inFlight.remove(0);
        harness.engine.attemptEnded(attempt, Outcome.SERVED, "ok".getBytes(), null);
        assertEquals("served ok", harness.answers.get(request));
        assertNotNull(harness.submit("a"), "it is free again");
    }

    /** Before the process ends: SIGKILL must find nothing unanswered, and nothing is sent for no one. */
    @Test
    void answerAllByBoundsDeadlinesOfLaterRequestsOnly() {
        EngineHarness harness = new EngineHarness(Idempotency.IDEMPOTENT);
        Request before = harness.submit("before");
        harness.engine.answerAllBy(harness.now + SECOND);
        Request after = harness.submit("after");
        harness.advance(SECOND - MS);
        long sent = harness.counters.attemptsSent;
        harness.advance(2 * MS);
        assertTrue(after.finished());
        assertFalse(before.finished(), "accepted before: its own deadline holds");
        assertEquals(sent, harness.counters.attemptsSent, "what is cut is not sent again");
        harness.advance(4 * SECOND);
        assertTrue(before.finished());
        assertEquals(0, harness.engine.openRequests());
    }
}
