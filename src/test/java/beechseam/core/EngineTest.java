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

/** Tests the engine's invariants for front ends and egresses that report any event at any time. */
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
                    "a request is answered unless its client disconnected");
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
            case 4 -> harness.failSendsImmediately = random.nextInt(4) == 0;
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
                    harness.engine.attemptEnded(attempt, Outcome.SERVED, new byte[0], null); // ignored: ended before
                }
            }
        }
    }

    /** A connect that is refused within the send must not re-enter the dispatcher while it acts. */
    @Test
    void attemptEndingWithinSendIsQueuedUntilDispatcherReturns() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        harness.failSendsImmediately = true;
        Request request = harness.submit("a");
        harness.advance(4 * SECOND);
        assertTrue(harness.answers.get(request).startsWith("shed"), "the request never ran, so it is safe to retry");
        assertEquals(0, harness.counters.faults);
        assertEquals(harness.counters.attemptsSent, harness.counters.ended(Outcome.UNREACHABLE));
    }

    /** The dispatcher sets no time-out for this attempt, so the engine must end it in time for the final answer. */
    @Test
    void silentAttemptTimesOutBeforeClientDeadline() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        Request request = harness.submit("a");
        harness.advance(4 * SECOND - 26 * MS);
        assertNull(harness.answers.get(request));
        harness.advance(2 * MS);
        assertEquals("failed", harness.answers.get(request), "the request may have run");
        assertEquals(1, harness.counters.ended(Outcome.TIMEOUT));
    }

    /** An attempt may wait for a connection for so long that its request may no longer be retried. */
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
        assertTrue(harness.engine.tryBegin(second), "window of 2 s, less 150 ms between the clock and the write");
        harness.advance(11 * MS);
        harness.inFlight.remove(second);
        assertFalse(harness.engine.tryBegin(second));
        assertTrue(second.hasEnded());
        harness.advance(4 * SECOND);
        assertEquals("failed", harness.answers.get(request), "the request may have run");
        assertEquals(1, harness.counters.withheld);
    }

    /** The idempotency window limits retries only: a first attempt may begin after it has passed. */
    @Test
    void firstAttemptMayBeginPastIdempotencyWindow() {
        EngineHarness harness = new EngineHarness(Idempotency.KEYED);
        harness.submit("a");
        Attempt first = harness.inFlight.get(0);
        harness.advance(2100 * MS);
        assertTrue(harness.engine.tryBegin(first));
    }

    /** The dispatcher queues the request up to its deadline; its timer fires at any phase before the deadline. */
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

    /** An attempt does not begin if its request is answered, or its target drains, while it waits. */
    @Test
    void unwantedAttemptOrAttemptToDrainingTargetDoesNotBegin() {
        EngineHarness harness = new EngineHarness(Idempotency.IDEMPOTENT);
        harness.submit("a");
        Attempt toDrainingTarget = harness.inFlight.remove(0);
        harness.listTargets(0, EndpointState.READY);
        assertFalse(harness.engine.tryBegin(toDrainingTarget));
        harness.listTargets(3, EndpointState.READY);
        Request request = harness.submit("b");
        Attempt unwanted = harness.inFlight.stream()
                .filter(each -> each.request == request)
                .findFirst()
                .orElseThrow();
        request.finished = true;
        assertFalse(harness.engine.tryBegin(unwanted));
        assertTrue(toDrainingTarget.hasEnded() && unwanted.hasEnded());
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

    /** Nothing of the request was sent, so it is shed with the time until the gate opens, and not failed. */
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
        assertNotNull(harness.submit("a"), "the correlation id can be used again");
    }

    /** The gate closes between the decision and the first byte; the attempt is sent once, when the gate opens. */
    @Test
    void attemptNotBegunIsDeferredBySendGate() {
        EngineHarness harness = new EngineHarness(Idempotency.NON_IDEMPOTENT);
        harness.submit("a");
        Attempt attempt = harness.inFlight.remove(0);
        harness.gate.open = false;
        assertFalse(harness.engine.tryBegin(attempt));
        assertFalse(attempt.hasEnded());
        harness.engine.resumeDeferred();
        assertTrue(harness.inFlight.isEmpty(), "the gate is still closed");
        harness.gate.open = true;
        harness.engine.resumeDeferred();
        assertEquals(List.of(attempt), harness.inFlight);
        assertTrue(harness.engine.tryBegin(attempt));
        assertEquals(1, harness.counters.attemptsSent);
    }

    /** The target starts to drain while the attempt is deferred: the attempt ends unsent and is replaced. */
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
        assertNotNull(harness.submit("a"), "the correlation id can be used again");
    }

    /**
     * Before the process ends: SIGKILL must find no request unanswered, and no attempt may be sent for a request that
     * has its answer.
     */
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
        assertFalse(before.finished(), "accepted before answerAllBy: it keeps its own deadline");
        assertEquals(sent, harness.counters.attemptsSent, "no attempt is sent in place of those that were cut off");
        harness.advance(4 * SECOND);
        assertTrue(before.finished());
        assertEquals(0, harness.engine.openRequests());
    }
}
