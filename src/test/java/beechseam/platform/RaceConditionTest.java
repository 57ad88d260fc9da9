package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import beechseam.core.Attempt;
import beechseam.core.Request;
import beechseam.dispatch.Outcome;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Race conditions between the events of several connections. Each test forces one order of events over loopback
 * sockets: the kernel delivers data immediately, while the test decides when the node's event loop runs.
 * docs/STANDING.md lists the cases.
 */
class RaceConditionTest extends RaceHarness {
    private static final String MARKED_RETRIES =
            SETTINGS.replace("\"Limits\":", "\"Clients\":{\"MarksRetry\":true},\"Limits\":");

    private boolean stopped;

    /** A pipelined request is parsed only after the previous one has ended: its budget runs from its last byte. */
    @Test
    void pipelinedRequestsDeadlineCountsFromItsLastByte() {
        startListed(MARKED_RETRIES, false);
        pipelineTwo("1500m", 700);
        net.until(
                "the second's attempt",
                () -> executor.stream()
                        .anyMatch(each -> each.receivedText().contains(": c2\r\n")
                                && each.receivedText().endsWith("body")));
        String sent = executor.stream()
                .map(Peer::receivedText)
                .filter(each -> each.contains(": c2"))
                .findFirst()
                .orElseThrow();
        long budgetMs = Long.parseLong(sent.replaceAll("(?s).*X-Time-Left: (\\d+)m.*", "$1"));
        assertTrue(budgetMs <= 1500 - 700 + 150, "budget sent: " + budgetMs + " ms");
    }

    /** A pipelined request whose budget ends before it is parsed is shed without an attempt. */
    @Test
    void pipelinedRequestPastItsDeadlineIsShed() {
        startListed(MARKED_RETRIES, false);
        Peer client = pipelineTwo("300m", 500);
        net.until("both answers", () -> client.receivedText().contains("HTTP/1.1 503"));
        assertTrue(client.receivedText().startsWith("HTTP/1.1 200"), client.receivedText());
        assertEquals(1, node.counters.attemptsSent);
    }

    /** Sends two requests in one write, the second with the given budget; the first is served after a delay. */
    private Peer pipelineTwo(String budgetOfSecond, long delayMs) {
        Peer client = connectedClient();
        client.send(job("c1", "once") + job("c2", "once").replace("30000m", budgetOfSecond));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        event("c1", "\"from\":\"s-0badcafe\",\"state\":\"started\"");
        net.settle(delayMs);
        done("c1", "one");
        return client;
    }

    /** With short deadlines a node that shuts down disconnects its clients soon after new ones stop arriving. */
    @Test
    void shortDeadlinesDrainClientsOnceNoNewOnesCome() {
        startListed(SETTINGS.replace("60000000000,\"Effect\"", "250000000,\"Effect\""), false);
        Peer client = connectedClient();
        Peer silent = connectedClient();
        node.stop(() -> stopped = true);
        net.settle(300);
        client.send("GET /_health HTTP/1.1\r\n\r\n");
        String before = awaitResponse(client, "not ready\n");
        assertFalse(before.contains("Connection: close"), "the client could still reconnect to this node: " + before);
        net.settle(150);
        client.send("GET /_health HTTP/1.1\r\n\r\n");
        String after = awaitResponse(client, "not ready\n");
        assertTrue(after.contains("Connection: close"), after);
        assertTrue(silent.disconnected, "idle connections are closed");
        client.close();
        net.until("the end of the shutdown", () -> stopped);
    }

    /** The request and the client's close are read in one turn of the loop: no attempt is sent. */
    @Test
    void clientDisconnectedBehindItsRequestGetsNoAttempt() {
        startListed(SETTINGS, false);
        Peer client = connectedClient();
        client.send(job("c1", "safe"));
        client.close();
        net.until("the client's disconnect", () -> node.counters.clientsDisconnected == 1);
        net.settle(50);
        assertEquals(0, node.counters.attemptsSent);
        assertEquals(0, node.counters.current());
        assertEquals(0, node.engine.openRequests());
        assertTrue(executor.isEmpty());
    }

    /** The first attempt ends while the client's close is still unread: no further attempt may begin. */
    @Test
    void clientDisconnectedBetweenAttemptsGetsNoFurtherOne() {
        startListed(SETTINGS, true);
        while (executor.isEmpty() || otherExecutor.isEmpty()) { // until there is a connection to each executor
            sendJob("w" + executor.size() + otherExecutor.size(), "once", "30000m");
            long before = requestsWritten();
            net.until("an attempt", () -> requestsWritten() > before);
        }
        executor.get(0).send(answer("202 Accepted", ""));
        otherExecutor.get(0).send(answer("202 Accepted", ""));
        awaitConnectionReusable();
        long before = requestsWritten();
        Peer client = connectedClient().send(job("c1", "safe"));
        net.until("the attempt", () -> requestsWritten() == before + 1);
        Request request = node.engine.findRequest("c1");
        Attempt first = request.attemptAt(TARGET) != null ? request.attemptAt(TARGET) : request.attemptAt(0xbeefL);
        client.close();
        node.engine.attemptEnded(first, Outcome.REJECTED, null, null); // before the loop reads the close
        net.until("the client's disconnect", () -> node.counters.clientsDisconnected == 1);
        net.settle(100);
        assertEquals(before + 1, requestsWritten());
        assertNull(node.engine.findRequest("c1"));
    }

    /** An attempt that waits for a connection is not sent after its client has left, with cancelling on or off. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void clientDisconnectedWhileAttemptIsQueuedGetsNoAttempt(boolean cancel) {
        startListed(SETTINGS.replace("\"Cancel\":true", "\"Cancel\":" + cancel), false);
        for (int i = 0; i < CONNECTIONS; i++) {
            sendJob("c" + i, "once", "30000m");
        }
        net.until("all connections busy", () -> requestsWritten() == CONNECTIONS);
        Peer last = connectedClient().send(job("last", "once"));
        net.until("the dispatch of its attempt", () -> node.counters.attemptsSent == CONNECTIONS + 1);
        last.close();
        net.until("the client's disconnect", () -> node.counters.clientsDisconnected == 1);
        executor.forEach(each -> each.send(answer("202 Accepted", "")));
        net.settle(100);
        assertEquals(CONNECTIONS, requestsWritten());
        assertTrue(executor.stream().noneMatch(each -> each.receivedText().contains("X-Correlation-Id: last")));
    }

    /** A client that has filled the read buffer behind its request and then closes is still detected. */
    @Test
    void disconnectBehindFullBufferIsDetected() {
        startListed(SETTINGS, false);
        Peer client = connectedClient().send(job("c1", "once"));
        net.until("the attempt", () -> requestsWritten() == 1);
        client.send(job("c2", "once").repeat(1500)); // 240 KB
        net.until("all bytes written", () -> client.unwritten() == 0);
        assertEquals(0, node.counters.clientsDisconnected);
        client.close();
        net.until("the client's disconnect", () -> node.counters.clientsDisconnected == 1);
        assertEquals(1, node.counters.requestsAccepted);
    }

    /** A client that overflows the buffer and stays gets the response to its accepted request, then a close. */
    @Test
    void acceptedRequestIsAnsweredThoughBufferOverflowsBehindIt() {
        startListed(SETTINGS, false);
        Peer client = connectedClient().send(job("c1", "once"));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        client.send(job("c2", "once").repeat(1500));
        net.until("all bytes written", () -> client.unwritten() == 0);
        net.settle(100); // the node reads them
        done("c1", "mine");
        net.until("the response and the close", () -> client.disconnected);
        assertTrue(client.receivedText().startsWith("HTTP/1.1 200 OK"), client.receivedText());
        assertTrue(client.receivedText().endsWith("mine"), client.receivedText());
        assertTrue(client.receivedText().contains("Connection: close"));
        assertEquals(1, node.counters.requestsAccepted);
    }

    /** The result is still unread when the deadline passes: both are handled in one turn, and the result wins. */
    @Test
    void resultInTheTurnOfTheDeadlineIsServed() throws Exception {
        startListed(SETTINGS, false);
        Peer caller = connectedClient();
        Peer client = sendJob("c1", "once", "600m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        net.settle(20);
        caller.send(callback("", "c1", "\"from\":\"s-0badcafe\",\"state\":\"done\",\"result\":\"late\""));
        Thread.sleep(620);
        assertTrue(awaitResponse(client, "late").startsWith("HTTP/1.1 200"));
    }

    /** Each of these responses fails the call; the next call gets the list. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "reset",
                "HTTP/1.1 200 OK\r\nContent-Le",
                "HTTP/1.1 500 Oops\r\n",
                "nonsense",
                "{\"version\":7",
                "[1]",
                "{\"version\":\"x\"}",
                "{\"version\":3,\"servers\":7}"
            })
    void failedDiscoveryCallChangesNothingAndIsRetried(String response) {
        startNode(SETTINGS);
        awaitDiscoveryCall(0, "");
        Peer first = discovery.get(0);
        if (response.equals("reset")) {
            first.close();
        } else if (response.startsWith("HTTP/1.1 5")) {
            first.send(response + "Content-Length: 0\r\n\r\n");
        } else if (response.startsWith("{") || response.startsWith("[")) {
            first.send(answer("200 OK", response));
        } else {
            first.send(response + (response.equals("nonsense") ? "\r\n\r\n" : ""));
        }
        long start = System.nanoTime();
        awaitDiscoveryCall(1, "GET /catalog/members HTTP/1.1");
        assertTrue(System.nanoTime() - start < 1_500_000_000L);
        assertTrue(node.engine.routeTable().acceptsNewWork(TARGET), "the cached list stays in effect");
        assertFalse(node.isSynced());
        discovery.get(1).send(answer("200 OK", list(9, "")));
        net.until("the list", () -> node.engine.routeTable().size() == 0);
    }

    /** The first response to parallel discovery calls is applied and cancels the other calls. */
    @Test
    void secondDiscoveryCallIsCancelledWhenTheFirstIsAnswered() {
        startNode(SETTINGS);
        awaitDiscoveryCall(1, "");
        discovery.get(0).send(answer("200 OK", list(9, row("DRAINING"))));
        net.until("the list", () -> !node.engine.routeTable().acceptsNewWork(TARGET));
        net.until("the close of the other call", () -> discovery.get(1).disconnected);
        awaitDiscoveryCall(0, "after=9&");
    }

    /** The file has a new address but no reload signal came: the node reloads it when the old one fails. */
    @Test
    void discoveryAddressChangeIsFoundWithoutSignal() throws Exception {
        startListed(SETTINGS, false);
        List<Peer> newAgent = new ArrayList<>();
        String settings = SETTINGS;
        InetSocketAddress newAddress = net.listen(newAgent);
        node.reloadsFrom(() -> {
            try {
                return config(newAddress, LISTEN, settings);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        net.until("the watch", () -> discovery.get(0).receivedText().contains("after=2&"));
        long start = System.nanoTime();
        discovery.get(0).close();
        net.until(
                "a call to the new address",
                () -> newAgent.size() == 1 && newAgent.get(0).receivedText().endsWith("\r\n\r\n"));
        assertTrue(System.nanoTime() - start < 4_000_000_000L);
        assertTrue(
                newAgent.get(0).receivedText().startsWith("GET /catalog/members HTTP/1.1"), "asks for the full list");
    }

    @Test
    void nodeIsReadyOnceSyncedAndNotByCachedList() {
        startNode(SETTINGS);
        Peer early = client().send("GET /_health HTTP/1.1\r\n\r\n");
        assertTrue(awaitResponse(early, "ready\n").startsWith("HTTP/1.1 503"));
        awaitDiscoveryCall(0, "");
        discovery.get(0).send(answer("200 OK", list(2, row("SERVING"))));
        net.until("the list", () -> node.isSynced());
        assertTrue(node.ready());
    }

    /** A second stop, a reload with a new discovery address and draining executors during the drain: one end. */
    @Test
    void repeatedSignalsDuringDrainAreHarmless() throws Exception {
        startListed(SETTINGS, false);
        Peer client = connectedClient().send(job("c1", "once"));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        node.stop(() -> stopped = true);
        node.stop(() -> fail("the end is reported once"));
        List<Peer> newAgent = new ArrayList<>();
        node.reload(config(net.listen(newAgent), LISTEN));
        net.until(
                "a call to the new address",
                () -> newAgent.size() == 1 && newAgent.get(0).receivedText().endsWith("\r\n\r\n"));
        newAgent.get(0).send(answer("200 OK", list(1, row("DRAINING"))));
        net.until("the drain", () -> !node.engine.routeTable().acceptsNewWork(TARGET));
        Peer late = connectedClient().send(job("c2", "once"));
        done("c1", "one");
        awaitResponse(client, "one");
        net.until(
                "the refusal, since no executor accepts work",
                () -> late.receivedText().startsWith("HTTP/1.1 503"));
        assertFalse(stopped);
        net.until("the end of the shutdown", () -> stopped);
        int calls = newAgent.size() + discovery.size();
        node.reload(config(discoveryAt, LISTEN)); // after the end no connection is opened
        net.settle(300);
        assertEquals(calls, newAgent.size() + discovery.size());
    }

    /** A request arrives on an idle connection as the node is about to close it: it is read and served. */
    @Test
    void requestOnIdleConnectionBeingClosedIsServed() {
        startListed(SETTINGS, false);
        Peer idle = connectedClient();
        node.stop(() -> stopped = true);
        net.until("the drain", node::isDraining); // the next check of idle connections closes it
        idle.send(job("c1", "once"));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        done("c1", "through");
        String response = awaitResponse(idle, "through");
        assertTrue(response.startsWith("HTTP/1.1 200") && response.contains("Connection: close"), response);
        net.until("the end of the shutdown", () -> stopped);
    }

    /** Guards against the loss of a request over 8 KiB, which takes several reads, as its idle connection is closed. */
    @ParameterizedTest
    @ValueSource(ints = {9_000, 20_000, 60_000})
    void longRequestOnIdleConnectionBeingClosedIsServed(int bodyBytes) {
        startListed(SETTINGS, false);
        Peer idle = connectedClient();
        idle.send(job("c1", "once", bodyBytes));
        node.ingress().closeIdle(net.loop.now() + 1_000_000_000L, false); // the request is in the kernel, unread
        attempt(0, "c1").send(answer("202 Accepted", ""));
        done("c1", "through");
        assertTrue(awaitResponse(idle, "through").startsWith("HTTP/1.1 200"));
    }

    /** Guards against the close of a connection on which a request has begun to arrive; its rest may be under way. */
    @Test
    void requestThatBeginsOnIdleConnectionBeingClosedIsServed() {
        startListed(SETTINGS, false);
        Peer idle = connectedClient();
        String whole = job("c1", "once", 20_000);
        idle.send(whole.substring(0, 12_000));
        node.ingress().closeIdle(net.loop.now() + 1_000_000_000L, false);
        idle.send(whole.substring(12_000));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        done("c1", "through");
        assertTrue(awaitResponse(idle, "through").startsWith("HTTP/1.1 200"));
    }
}
