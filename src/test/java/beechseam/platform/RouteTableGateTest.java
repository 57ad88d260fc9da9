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
 * No attempt goes by a route table that discovery may have changed: after a start, a move, and a time in
 * which the process did not run. The loop is turned by hand, so that what a test does not read stays unread.
 */
class RouteTableGateTest extends NodeHarness {
    private static final String LISTEN = "\"listen\":\"127.0.0.1:0\",";
    private static final String OTHER = "s-0000beef";
    private static final long LONGER_THAN_THE_GRACE_MS = 400;
    private static final long LONGER_THAN_AN_ANSWER_MS = 1200;

    private final List<Peer> other = new ArrayList<>();
    private final InetSocketAddress otherAt = net.standIn(other);
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
        called(discovery, 0, "");
    }

    private void startListed() {
        start();
        say(discovery, 0, list(2, row("SERVING") + "," + otherRow()));
        net.until("the list", () -> node.isSynced());
        called(discovery, 0, "after=2&");
    }

    private String otherRow() {
        return row("SERVING").replace("s-0badcafe", OTHER).replace(":" + executorAt.getPort(), ":" + otherAt.getPort());
    }

    private String drained() {
        return list(7, row("DRAINING") + "," + otherRow());
    }

    private void called(List<Peer> agent, int connection, String holds) {
        net.until(
                "a call to discovery",
                () -> agent.size() > connection
                        && agent.get(connection).heard().contains(holds)
                        && agent.get(connection).heard().endsWith("\r\n\r\n"));
    }

    private static void say(List<Peer> agent, int connection, String list) {
        agent.get(connection).take();
        agent.get(connection).say(answer("200 OK", list));
    }

    private static void notRunFor(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Taken as from a connection that is read before discovery's. */
    private void take(String id) {
        take(node, id);
    }

    private static void take(PlatformNode by, String id) {
        Object message = new JobMessage("/safe/x", "X-Correlation-Id: " + id + "\r\n", "body".getBytes());
        by.engine.submit(id, 0, 30_000_000_000L, 1, 0, message, new AnyAnswer());
    }

    /** The one attempt has gone to the executor that still serves. */
    private void goesToTheOther(String id) {
        net.until("the attempt", () -> !other.isEmpty() && other.get(0).heard().contains(id));
        net.settle(30);
        assertTrue(executor.stream().noneMatch(each -> each.heard().contains("POST")), "by the old list");
        assertEquals(1, node.counters.attemptsSent);
    }

    // ---- Start

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestBeforeDiscoverysFirstAnswerWaitsAndGoesByIt(boolean drained) {
        start();
        Peer client = ask("c1", "safe", "30000m");
        net.until("the request", () -> node.counters.requestsAccepted == 1);
        net.settle(100);
        assertEquals(0, node.counters.attemptsSent);
        assertEquals("", client.heard(), "it waits, and is not turned away");
        say(discovery, 0, drained ? drained() : list(7, row("SERVING")));
        if (drained) {
            goesToTheOther("c1");
        } else {
            attempt(0, "c1");
        }
    }

    @Test
    void withDiscoveryDownRequestsGoByTheListAsHeldAfterTheTimeOfAnAnswer() {
        start();
        long startedAt = System.nanoTime();
        ask("c1", "safe", "30000m");
        attempt(0, "c1");
        assertTrue(System.nanoTime() - startedAt > ListWatch.ANSWER_TIMEOUT_NS * 8 / 10);
        assertEquals(RouteTableFreshness.State.UNCONFIRMED, node.routeTable());
        assertFalse(node.isSynced());
    }

    @Test
    void aRequestThatCannotWaitSoLongIsToldWhenToComeBack() {
        start();
        Peer client = ask("c1", "safe", "200m");
        net.until(
                "the refusal",
                () -> client.heard().endsWith("\n") && client.heard().contains("\r\n\r\n"));
        assertTrue(client.heard().startsWith("HTTP/1.1 503"), client.heard());
        assertTrue(client.heard().contains("Retry-After: 0."), client.heard());
        assertEquals(0, node.counters.attemptsSent);
    }

    /** The clock says that discovery has had its time, but this process had none: the answer lies unread. */
    @Test
    void aStarvedStartReadsDiscoverysAnswerBeforeItGoesByItsOldList() {
        start();
        say(discovery, 0, drained());
        notRunFor(LONGER_THAN_AN_ANSWER_MS);
        take("c1");
        assertEquals(0, node.counters.attemptsSent);
        called(discovery, 0, "after=7&");
        say(discovery, 0, list(7, "").replace("true", "false"));
        goesToTheOther("c1");
    }

    /** The same with nothing read at all: not even the call may have gone out. */
    @Test
    void aStarvedStartGivesDiscoveryItsTime() {
        start();
        for (int i = 0; i < 3; i++) {
            notRunFor(LONGER_THAN_THE_GRACE_MS);
            net.settle(1);
        }
        take("c1");
        assertEquals(0, node.counters.attemptsSent);
        say(discovery, discovery.size() - 1, drained());
        goesToTheOther("c1");
    }

    @Test
    void theStateIsToldByHealthAndConsole() throws IOException {
        start();
        Peer early = client().say("GET /_health HTTP/1.1\r\n\r\n");
        String waiting = heard(early, "ready\n");
        assertTrue(waiting.startsWith("HTTP/1.1 503"), waiting);
        assertTrue(waiting.contains("X-Route-Table: awaited\r\n"), waiting);
        assertEquals("ERR waiting for discovery's list\n", operator(node.console(), "status"));
        say(discovery, 0, list(2, row("SERVING")));
        net.until("the list", () -> node.isSynced());
        early.say("GET /_health HTTP/1.1\r\n\r\n");
        String ready = heard(early, "ready\n");
        assertTrue(ready.startsWith("HTTP/1.1 200") && ready.contains("X-Route-Table: confirmed\r\n"), ready);
        assertEquals("OK\n", operator(node.console(), "status"));
    }

    // ---- Move

    @Test
    void aRequestAfterAMoveOfDiscoveryWaitsForTheNewAddress() throws Exception {
        startListed();
        List<Peer> moved = new ArrayList<>();
        node.reload(config(net.standIn(moved), LISTEN));
        Peer client = ask("c1", "safe", "30000m");
        net.until("the request", () -> node.counters.requestsAccepted == 1);
        net.settle(100);
        assertEquals(0, node.counters.attemptsSent);
        assertEquals("", client.heard());
        assertTrue(node.ready(), "a node that has served stays in service meanwhile");
        called(moved, 0, "");
        say(moved, 0, drained());
        goesToTheOther("c1");
    }

    // ---- A process that did not run

    /** The list and a request have come meanwhile, and the request is seen first. */
    @Test
    void aStoppedProcessReadsItsListBeforeItSends() {
        startListed();
        say(discovery, 0, drained());
        notRunFor(LONGER_THAN_THE_GRACE_MS);
        take("c1");
        assertEquals(0, node.counters.attemptsSent);
        called(discovery, 0, "after=7&");
        assertEquals(1, discovery.size(), "one call is enough");
        say(discovery, 0, list(7, "").replace("true", "false"));
        goesToTheOther("c1");
    }

    /** The watch was answered with nothing, and what came after that has not been asked for. */
    @Test
    void aStoppedProcessAsksDiscoveryBeforeItSends() {
        startListed();
        say(discovery, 0, list(2, "").replace("true", "false"));
        notRunFor(LONGER_THAN_THE_GRACE_MS);
        take("c1");
        assertEquals(0, node.counters.attemptsSent);
        called(discovery, 1, "after=2&wait_ms=1 ");
        say(discovery, 1, drained());
        goesToTheOther("c1");
    }

    /** The watch is still open, but whether it was all the time nobody can tell. */
    @Test
    void aStoppedProcessAsksBesideAnOpenWatch() {
        startListed();
        notRunFor(LONGER_THAN_THE_GRACE_MS);
        take("c1");
        assertEquals(0, node.counters.attemptsSent);
        called(discovery, 1, "after=2&wait_ms=1 ");
        say(discovery, 1, drained());
        goesToTheOther("c1");
    }

    /** The attempt was decided on before the stop, and waits for its connection to come up. */
    @Test
    void anAttemptThatWaitedThroughAStopGoesByTheNewList() {
        startListed();
        take("c1");
        assertEquals(1, node.counters.attemptsSent);
        say(discovery, 0, drained());
        notRunFor(LONGER_THAN_THE_GRACE_MS);
        net.settle(20);
        assertTrue(executor.stream().noneMatch(each -> each.heard().contains("POST")));
        assertTrue(other.stream().noneMatch(each -> each.heard().contains("POST")));
        called(discovery, 0, "after=7&");
        say(discovery, 0, list(7, "").replace("true", "false"));
        net.until("the attempt", () -> !other.isEmpty() && other.get(0).heard().contains("c1"));
        assertTrue(executor.stream().noneMatch(each -> each.heard().contains("POST")));
    }

    // ---- Upgrade

    /** A successor serves by its own list; the elder's does not count for it. */
    @Test
    void aSuccessorSendsNothingBeforeItsOwnListHasCome() throws Exception {
        String state = java.nio.file.Files.createTempDirectory("gate").toString();
        String keeps = LISTEN + "\"state_dir\":\"" + state + "\",";
        node = new PlatformNode(net.loop, config(discoveryAt, keeps));
        called(discovery, 0, "");
        say(discovery, 0, list(2, row("SERVING") + "," + otherRow()));
        net.until("the list", () -> node.isSynced());
        PlatformNode younger = new PlatformNode(
                net.loop,
                config(
                        discoveryAt,
                        keeps.replace(
                                "127.0.0.1:0", "127.0.0.1:" + node.address().getPort())));
        called(discovery, 1, "");
        take(younger, "c1");
        net.settle(100);
        assertEquals(0, younger.counters.attemptsSent);
        say(discovery, 1, drained());
        net.until("the attempt", () -> !other.isEmpty() && other.get(0).heard().contains("c1"));
        assertTrue(executor.isEmpty());
    }

    /** A client whose answer no test here asks for. */
    private static final class AnyAnswer implements Ingress {
        @Override
        public void served(Request request, byte[] result) {}

        @Override
        public void shed(Request request, long pauseNs) {}

        @Override
        public void failed(Request request, String why) {}
    }
}
