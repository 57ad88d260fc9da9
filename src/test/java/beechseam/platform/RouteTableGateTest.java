package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import beechseam.core.Ingress;
import beechseam.core.Request;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * No attempt is sent by a route table that may be stale: after a start, a change of discovery's address, or a
 * stall of the process. The test runs the event loop, so that what it does not read stays unread.
 */
class RouteTableGateTest extends NodeHarness {
    private static final String LISTEN = "\"listen\":\"127.0.0.1:0\",";
    private static final String OTHER_ID = "s-0000beef";
    private static final long STALL_MS = 400;
    private static final long LONG_STALL_MS = 1200;

    private final List<Peer> otherExecutor = new ArrayList<>();
    private final InetSocketAddress otherAddress = net.listen(otherExecutor);
    private PlatformNode node;

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }

    private void start() {
        try {
            node = new PlatformNode(net.loop, config(discoveryAt, LISTEN));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
        awaitPoll(discovery, 0, "");
    }

    private void startListed() {
        start();
        respond(discovery, 0, list(2, row("SERVING") + "," + otherEntry()));
        net.until("the list", () -> node.isSynced());
        awaitPoll(discovery, 0, "after=2&");
    }

    private String otherEntry() {
        return row("SERVING")
                .replace("s-0badcafe", OTHER_ID)
                .replace(":" + executorAt.getPort(), ":" + otherAddress.getPort());
    }

    private String drainedList() {
        return list(7, row("DRAINING") + "," + otherEntry());
    }

    private String emptyDelta(int version) {
        return list(version, "").replace("true", "false");
    }

    /** After a stall a call that does not wait is made, and the request is sent by its response only. */
    private void pollsAfterStallBeforeSending() {
        stall(STALL_MS);
        submit("c1");
        assertEquals(0, node.counters.attemptsSent);
        awaitPoll(discovery, 1, "after=2&wait_ms=1 ");
        respond(discovery, 1, drainedList());
        assertSentToOther("c1");
    }

    private void awaitPoll(List<Peer> agent, int connection, String expectedText) {
        net.until(
                "a call to discovery",
                () -> agent.size() > connection
                        && agent.get(connection).receivedText().contains(expectedText)
                        && agent.get(connection).receivedText().endsWith("\r\n\r\n"));
    }

    private static void respond(List<Peer> agent, int connection, String list) {
        agent.get(connection).take();
        agent.get(connection).send(answer("200 OK", list));
    }

    private static void stall(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Submits a request as from a connection that is read before discovery's. */
    private void submit(String id) {
        submit(node, id);
    }

    private static void submit(PlatformNode target, String id) {
        Object message = new JobMessage("/safe/x", "X-Correlation-Id: " + id + "\r\n", "body".getBytes());
        target.engine.submit(id, 0, 30_000_000_000L, 1, 0, message, new IgnoredReply());
    }

    /** The only attempt is sent to the executor that is not draining. */
    private void assertSentToOther(String id) {
        net.until(
                "the attempt",
                () -> !otherExecutor.isEmpty()
                        && otherExecutor.get(0).receivedText().contains(id));
        net.settle(30);
        assertTrue(executor.stream().noneMatch(each -> each.receivedText().contains("POST")), "sent by the old list");
        assertEquals(1, node.counters.attemptsSent);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestBeforeFirstListIsDeferredAndSentByThatList(boolean drained) {
        start();
        Peer client = sendJob("c1", "safe", "30000m");
        net.until("the request", () -> node.counters.requestsAccepted == 1);
        net.settle(100);
        assertEquals(0, node.counters.attemptsSent);
        assertEquals("", client.receivedText(), "deferred, not shed");
        respond(discovery, 0, drained ? drainedList() : list(7, row("SERVING")));
        if (drained) {
            assertSentToOther("c1");
        } else {
            attempt(0, "c1");
        }
    }

    @Test
    void requestsAreSentByCachedListAfterResponseTimeout() {
        start();
        long startedAt = System.nanoTime();
        sendJob("c1", "safe", "30000m");
        attempt(0, "c1");
        assertTrue(System.nanoTime() - startedAt > ListWatch.RESPONSE_TIMEOUT_NS * 8 / 10);
        assertEquals(RouteTableFreshness.State.UNCONFIRMED, node.routeTable());
        assertFalse(node.isSynced());
    }

    @Test
    void requestWithShortDeadlineIsShedWithRetryAfter() {
        start();
        Peer client = sendJob("c1", "safe", "200m");
        net.until(
                "the refusal",
                () -> client.receivedText().endsWith("\n")
                        && client.receivedText().contains("\r\n\r\n"));
        assertTrue(client.receivedText().startsWith("HTTP/1.1 503"), client.receivedText());
        assertTrue(client.receivedText().contains("Retry-After: 0."), client.receivedText());
        assertEquals(0, node.counters.attemptsSent);
    }

    /** By the clock the response timeout is over, but the process did not run: the response lies unread. */
    @Test
    void starvedStartReadsListBeforeUsingCachedOne() {
        start();
        respond(discovery, 0, drainedList());
        stall(LONG_STALL_MS);
        submit("c1");
        assertEquals(0, node.counters.attemptsSent);
        awaitPoll(discovery, 0, "after=7&");
        respond(discovery, 0, emptyDelta(7));
        assertSentToOther("c1");
    }

    /** The same with nothing read at all: even the call may not have been sent. */
    @Test
    void responseTimeoutDoesNotElapseDuringStarvedStart() {
        start();
        for (int i = 0; i < 3; i++) {
            stall(STALL_MS);
            net.settle(1);
        }
        submit("c1");
        assertEquals(0, node.counters.attemptsSent);
        respond(discovery, discovery.size() - 1, drainedList());
        assertSentToOther("c1");
    }

    @Test
    void stateIsReportedByHealthAndAdminEndpoint() throws IOException {
        start();
        Peer probe = client().send("GET /_health HTTP/1.1\r\n\r\n");
        String waiting = awaitResponse(probe, "ready\n");
        assertTrue(waiting.startsWith("HTTP/1.1 503"), waiting);
        assertTrue(waiting.contains("X-Route-Table: awaited\r\n"), waiting);
        assertEquals("ERR waiting for discovery's list\n", callAdmin(node.console(), "status"));
        respond(discovery, 0, list(2, row("SERVING")));
        net.until("the list", () -> node.isSynced());
        probe.send("GET /_health HTTP/1.1\r\n\r\n");
        String ready = awaitResponse(probe, "ready\n");
        assertTrue(ready.startsWith("HTTP/1.1 200") && ready.contains("X-Route-Table: confirmed\r\n"), ready);
        assertEquals("OK\n", callAdmin(node.console(), "status"));
    }

    @Test
    void requestAfterAddressChangeIsDeferredUntilListFromNewAddress() throws Exception {
        startListed();
        List<Peer> newAgent = new ArrayList<>();
        node.reload(config(net.listen(newAgent), LISTEN));
        Peer client = sendJob("c1", "safe", "30000m");
        net.until("the request", () -> node.counters.requestsAccepted == 1);
        net.settle(100);
        assertEquals(0, node.counters.attemptsSent);
        assertEquals("", client.receivedText());
        assertTrue(node.ready(), "a node that has served stays ready");
        awaitPoll(newAgent, 0, "");
        respond(newAgent, 0, drainedList());
        assertSentToOther("c1");
    }

    /** A list and a request have arrived during the stall, and the request is handled first. */
    @Test
    void stalledProcessReadsListBeforeSending() {
        startListed();
        respond(discovery, 0, drainedList());
        stall(STALL_MS);
        submit("c1");
        assertEquals(0, node.counters.attemptsSent);
        awaitPoll(discovery, 0, "after=7&");
        assertEquals(1, discovery.size(), "one call is enough");
        respond(discovery, 0, emptyDelta(7));
        assertSentToOther("c1");
    }

    /** The watch ended without a change, and later changes have not been requested. */
    @Test
    void stalledProcessPollsDiscoveryBeforeSending() {
        startListed();
        respond(discovery, 0, emptyDelta(2));
        pollsAfterStallBeforeSending();
    }

    /** The watch is still pending, but it is unknown whether it was so throughout the stall. */
    @Test
    void stalledProcessPollsBesidePendingWatch() {
        startListed();
        pollsAfterStallBeforeSending();
    }

    /** The attempt was dispatched before the stall and waits for its connection. */
    @Test
    void attemptPendingDuringStallIsSentByNewList() {
        startListed();
        submit("c1");
        assertEquals(1, node.counters.attemptsSent);
        respond(discovery, 0, drainedList());
        stall(STALL_MS);
        net.settle(20);
        assertTrue(executor.stream().noneMatch(each -> each.receivedText().contains("POST")));
        assertTrue(otherExecutor.stream().noneMatch(each -> each.receivedText().contains("POST")));
        awaitPoll(discovery, 0, "after=7&");
        respond(discovery, 0, emptyDelta(7));
        net.until(
                "the attempt",
                () -> !otherExecutor.isEmpty()
                        && otherExecutor.get(0).receivedText().contains("c1"));
        assertTrue(executor.stream().noneMatch(each -> each.receivedText().contains("POST")));
    }

    /** A successor process sends by its own list, not by that of its predecessor. */
    @Test
    void successorSendsNothingBeforeItsOwnList() throws Exception {
        String state = java.nio.file.Files.createTempDirectory("gate").toString();
        String extra = LISTEN + "\"state_dir\":\"" + state + "\",";
        node = new PlatformNode(net.loop, config(discoveryAt, extra));
        awaitPoll(discovery, 0, "");
        respond(discovery, 0, list(2, row("SERVING") + "," + otherEntry()));
        net.until("the list", () -> node.isSynced());
        PlatformNode successor = new PlatformNode(
                net.loop,
                config(
                        discoveryAt,
                        extra.replace(
                                "127.0.0.1:0", "127.0.0.1:" + node.address().getPort())));
        awaitPoll(discovery, 1, "");
        submit(successor, "c1");
        net.settle(100);
        assertEquals(0, successor.counters.attemptsSent);
        respond(discovery, 1, drainedList());
        net.until(
                "the attempt",
                () -> !otherExecutor.isEmpty()
                        && otherExecutor.get(0).receivedText().contains("c1"));
        assertTrue(executor.isEmpty());
    }

    /** A client whose reply is ignored. */
    private static final class IgnoredReply implements Ingress {
        @Override
        public void served(Request request, byte[] result) {}

        @Override
        public void shed(Request request, long pauseNs) {}

        @Override
        public void failed(Request request, String why) {}
    }
}
