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
 * What comes between two lines of code: each test forces one race over loopback sockets, whose kernel
 * side acts at once while the node's loop is turned by hand. docs/STANDING.md lists them.
 */
class RaceConditionTest extends RaceHarness {
    private static final String MARKED_RETRIES =
            SETTINGS.replace("\"Limits\":", "\"Clients\":{\"MarksRetry\":true},\"Limits\":");

    private boolean stopped;

    /** Sent behind another, it is read at once and parsed late: its time has run meanwhile. */
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
        long told = Long.parseLong(sent.replaceAll("(?s).*X-Time-Left: (\\d+)m.*", "$1"));
        assertTrue(told <= 1500 - 700 + 150, "told to have " + told + " ms");
    }

    /** Its time is over before it is parsed: refused, with nothing sent, and the connection lives on. */
    @Test
    void pipelinedRequestPastItsDeadlineIsShed() {
        startListed(MARKED_RETRIES, false);
        Peer client = pipelineTwo("300m", 500);
        net.until("both answers", () -> client.receivedText().contains("HTTP/1.1 503"));
        assertTrue(client.receivedText().startsWith("HTTP/1.1 200"), client.receivedText());
        assertEquals(1, node.counters.attemptsSent);
    }

    /** Two requests in one write; the first is served after a while, and the second has so much time. */
    private Peer pipelineTwo(String timeOfSecond, long elapsedMs) {
        Peer client = connected();
        client.send(job("c1", "once") + job("c2", "once").replace("30000m", timeOfSecond));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        event("c1", "\"from\":\"s-0badcafe\",\"state\":\"started\"");
        net.settle(elapsedMs);
        done("c1", "one");
        return client;
    }

    /** With short deadlines it comes soon after SIGTERM: clients go as soon as no new ones come. */
    @Test
    void shortDeadlinesDrainClientsOnceNoNewOnesCome() {
        startListed(SETTINGS.replace("60000000000,\"Effect\"", "250000000,\"Effect\""), false);
        Peer client = connected();
        Peer silent = connected();
        node.stop(() -> stopped = true);
        net.settle(300);
        client.send("GET /_health HTTP/1.1\r\n\r\n");
        String before = awaitResponse(client, "not ready\n");
        assertFalse(before.contains("Connection: close"), "it could come back here: " + before);
        net.settle(150);
        client.send("GET /_health HTTP/1.1\r\n\r\n");
        String after = awaitResponse(client, "not ready\n");
        assertTrue(after.contains("Connection: close"), after);
        assertTrue(silent.disconnected, "idle ones are closed");
        client.close();
        net.until("the end", () -> stopped);
    }

    /** The request and the close are read in one turn: nobody is there any more, and nothing is sent. */
    @Test
    void clientDisconnectedBehindItsRequestGetsNoAttempt() {
        startListed(SETTINGS, false);
        Peer client = connected();
        client.send(job("c1", "safe"));
        client.close();
        net.until("the leaving", () -> node.counters.clientsDisconnected == 1);
        net.settle(50);
        assertEquals(0, node.counters.attemptsSent);
        assertEquals(0, node.counters.current());
        assertEquals(0, node.engine.openRequests());
        assertTrue(executor.isEmpty());
    }

    /** The close waits in the kernel while the first attempt's end is told: no further one may begin. */
    @Test
    void clientDisconnectedBetweenAttemptsGetsNoFurtherOne() {
        startListed(SETTINGS, true);
        while (executor.isEmpty() || other.isEmpty()) { // a connection to each stands ready
            sendJob("w" + executor.size() + other.size(), "once", "30000m");
            long before = written();
            net.until("a hop", () -> written() > before);
        }
        executor.get(0).send(answer("202 Accepted", ""));
        other.get(0).send(answer("202 Accepted", ""));
        awaitConnectionReusable();
        long before = written();
        Peer client = connected().send(job("c1", "safe"));
        net.until("the hop", () -> written() == before + 1);
        Request request = node.engine.findRequest("c1");
        Attempt first = request.attemptAt(TARGET) != null ? request.attemptAt(TARGET) : request.attemptAt(0xbeefL);
        client.close();
        node.engine.attemptEnded(first, Outcome.REJECTED, null, null); // before the loop has read the close
        net.until("the leaving", () -> node.counters.clientsDisconnected == 1);
        net.settle(100);
        assertEquals(before + 1, written());
        assertNull(node.engine.findRequest("c1"));
    }

    /** Where nothing may be cancelled an attempt that waits for a connection outlives its client. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void clientDisconnectedWhileAttemptIsQueuedGetsNoAttempt(boolean cancel) {
        startListed(SETTINGS.replace("\"Cancel\":true", "\"Cancel\":" + cancel), false);
        for (int i = 0; i < CONNECTIONS; i++) {
            sendJob("c" + i, "once", "30000m");
        }
        net.until("all connections busy", () -> written() == CONNECTIONS);
        Peer last = connected().send(job("last", "once"));
        net.until("its hop", () -> node.counters.attemptsSent == CONNECTIONS + 1);
        last.close();
        net.until("the leaving", () -> node.counters.clientsDisconnected == 1);
        executor.forEach(each -> each.send(answer("202 Accepted", "")));
        net.settle(100);
        assertEquals(CONNECTIONS, written());
        assertTrue(executor.stream().noneMatch(each -> each.receivedText().contains("X-Correlation-Id: last")));
    }

    /** Behind its request so much has come that the buffer is full: the close behind that is noticed too. */
    @Test
    void disconnectBehindFullBufferIsDetected() {
        startListed(SETTINGS, false);
        Peer client = connected().send(job("c1", "once"));
        net.until("the hop", () -> written() == 1);
        client.send(job("c2", "once").repeat(1500)); // 240 KB
        net.until("all is out", () -> client.unwritten() == 0);
        assertEquals(0, node.counters.clientsDisconnected);
        client.close();
        net.until("the leaving", () -> node.counters.clientsDisconnected == 1);
        assertEquals(1, node.counters.requestsAccepted);
    }

    /** Who stays behind such a heap gets the answer to what was taken, and no more. */
    @Test
    void acceptedRequestIsAnsweredThoughBufferOverflowsBehindIt() {
        startListed(SETTINGS, false);
        Peer client = connected().send(job("c1", "once"));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        client.send(job("c2", "once").repeat(1500));
        net.until("all is out", () -> client.unwritten() == 0);
        net.settle(100); // and read
        done("c1", "mine");
        net.until("the answer and the end", () -> client.disconnected);
        assertTrue(client.receivedText().startsWith("HTTP/1.1 200 OK"), client.receivedText());
        assertTrue(client.receivedText().endsWith("mine"), client.receivedText());
        assertTrue(client.receivedText().contains("Connection: close"));
        assertEquals(1, node.counters.requestsAccepted);
    }

    /** The result lies unread as the deadline passes: both are seen in one turn, and the result wins. */
    @Test
    void resultInTheTurnOfTheDeadlineIsServed() throws Exception {
        startListed(SETTINGS, false);
        Peer caller = connected();
        Peer client = sendJob("c1", "once", "600m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        net.settle(20);
        caller.send(callback("", "c1", "\"from\":\"s-0badcafe\",\"state\":\"done\",\"result\":\"late\""));
        Thread.sleep(620);
        assertTrue(awaitResponse(client, "late").startsWith("HTTP/1.1 200"));
    }

    /** Each of these is a call that failed; the next finds the list. */
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
    void failedDiscoveryCallChangesNothingAndIsRetried(String how) {
        node(SETTINGS);
        awaitDiscoveryCall(0, "");
        Peer first = discovery.get(0);
        if (how.equals("reset")) {
            first.close();
        } else if (how.startsWith("HTTP/1.1 5")) {
            first.send(how + "Content-Length: 0\r\n\r\n");
        } else if (how.startsWith("{") || how.startsWith("[")) {
            first.send(answer("200 OK", how));
        } else {
            first.send(how + (how.equals("nonsense") ? "\r\n\r\n" : ""));
        }
        long start = System.nanoTime();
        awaitDiscoveryCall(1, "GET /catalog/members HTTP/1.1");
        assertTrue(System.nanoTime() - start < 1_500_000_000L);
        assertTrue(node.engine.routeTable().acceptsNewWork(TARGET), "by the list as last held");
        assertFalse(node.isSynced());
        discovery.get(1).send(answer("200 OK", list(9, "")));
        net.until("the list", () -> node.engine.routeTable().size() == 0);
    }

    /** Whoever answers first has the word, and the others are hung up. */
    @Test
    void secondDiscoveryCallIsCancelledWhenTheFirstIsAnswered() {
        node(SETTINGS);
        awaitDiscoveryCall(1, "");
        discovery.get(0).send(answer("200 OK", list(9, row("DRAINING"))));
        net.until("the list", () -> !node.engine.routeTable().acceptsNewWork(TARGET));
        net.until("the other's end", () -> discovery.get(1).disconnected);
        awaitDiscoveryCall(0, "after=9&");
    }

    /** The file names another address, and no signal says so: the node looks once the old one refuses. */
    @Test
    void discoveryAddressChangeIsFoundWithoutSignal() throws Exception {
        startListed(SETTINGS, false);
        List<Peer> moved = new ArrayList<>();
        String settings = SETTINGS;
        InetSocketAddress movedTo = net.listen(moved);
        node.reloadsFrom(() -> {
            try {
                return config(movedTo, LISTEN, settings);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        net.until("the watch", () -> discovery.get(0).receivedText().contains("after=2&"));
        long start = System.nanoTime();
        discovery.get(0).close();
        net.until(
                "a call there",
                () -> moved.size() == 1 && moved.get(0).receivedText().endsWith("\r\n\r\n"));
        assertTrue(System.nanoTime() - start < 4_000_000_000L);
        assertTrue(moved.get(0).receivedText().startsWith("GET /catalog/members HTTP/1.1"), "the whole list");
    }

    @Test
    void nodeIsReadyOnceSyncedAndNotByKnownList() {
        node(SETTINGS);
        Peer early = client().send("GET /_health HTTP/1.1\r\n\r\n");
        assertTrue(awaitResponse(early, "ready\n").startsWith("HTTP/1.1 503"));
        awaitDiscoveryCall(0, "");
        discovery.get(0).send(answer("200 OK", list(2, row("SERVING"))));
        net.until("the list", () -> node.isSynced());
        assertTrue(node.ready());
    }

    /** SIGTERM again, SIGHUP in the drain, discovery elsewhere, executors that drain: one end, in time. */
    @Test
    void repeatedSignalsDuringDrainAreHarmless() throws Exception {
        startListed(SETTINGS, false);
        Peer client = connected().send(job("c1", "once"));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        node.stop(() -> stopped = true);
        node.stop(() -> fail("the end is told once"));
        List<Peer> moved = new ArrayList<>();
        node.reload(config(net.listen(moved), LISTEN));
        net.until(
                "a call there",
                () -> moved.size() == 1 && moved.get(0).receivedText().endsWith("\r\n\r\n"));
        moved.get(0).send(answer("200 OK", list(1, row("DRAINING"))));
        net.until("the drain", () -> !node.engine.routeTable().acceptsNewWork(TARGET));
        Peer late = connected().send(job("c2", "once"));
        done("c1", "one");
        awaitResponse(client, "one");
        net.until("nowhere to go", () -> late.receivedText().startsWith("HTTP/1.1 503"));
        assertFalse(stopped);
        net.until("the end", () -> stopped);
        int calls = moved.size() + discovery.size();
        node.reload(config(discoveryAt, LISTEN)); // after the end: nothing is opened again
        net.settle(300);
        assertEquals(calls, moved.size() + discovery.size());
    }

    /** A request comes on a resting connection in the moment in which that is closed: read first, taken. */
    @Test
    void requestOnIdleConnectionBeingClosedIsServed() {
        startListed(SETTINGS, false);
        Peer resting = connected();
        node.stop(() -> stopped = true);
        net.until("the time to leave", node::isDraining); // the next look at resting connections closes it
        resting.send(job("c1", "once"));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        done("c1", "through");
        String got = awaitResponse(resting, "through");
        assertTrue(got.startsWith("HTTP/1.1 200") && got.contains("Connection: close"), got);
        net.until("the end", () -> stopped);
    }
}
