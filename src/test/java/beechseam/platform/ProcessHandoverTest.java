package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import beechseam.core.Counters;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the handover between two processes of one node at one address; here both run on one event loop. */
class ProcessHandoverTest extends NodeHarness {
    private final Path directory = Files.createTempDirectory("handover");
    private final int port = freePort();
    private final Set<PlatformNode> ended = new HashSet<>();
    private final PlatformNode predecessor = start();
    private int sentJobs;

    ProcessHandoverTest() throws Exception {
        net.until("the predecessor's endpoint list", () -> {
            answerDiscovery();
            return predecessor.isSynced();
        });
    }

    private static int freePort() throws IOException {
        try (ServerSocket any = new ServerSocket(0)) {
            return any.getLocalPort();
        }
    }

    @Override
    InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    private PlatformNode start() throws Exception {
        return new PlatformNode(
                net.loop,
                config(discoveryAt, "\"listen\":\"127.0.0.1:" + port + "\",\"state_dir\":\"" + directory + "\","));
    }

    private void stop(PlatformNode node) {
        node.stop(() -> ended.add(node));
    }

    private String status(PlatformNode node) throws IOException {
        return callAdmin(node.console(), "status");
    }

    private void answerDiscovery() {
        for (Peer each : discovery) {
            if (each.receivedText().endsWith("\r\n\r\n") && !each.receivedText().contains("wait_ms")) {
                each.take();
                each.send(answer("200 OK", list(2, row("SERVING"))));
            }
        }
    }

    private PlatformNode startSuccessor() throws Exception {
        PlatformNode successor = start();
        net.until("the successor's readiness", () -> {
            answerDiscovery();
            return successor.status() == null;
        });
        return successor;
    }

    /** The jobs of both processes are answered, whichever process receives their callbacks. */
    @Test
    void predecessorAnswersItsJobsWhileClientsGoToTheSuccessor() throws Exception {
        Peer early = sendJob("c1", "once", "30000m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        Peer idle = client().send("GET /_health HTTP/1.1\r\n\r\n");
        awaitResponse(idle, "ready\n");
        PlatformNode successor = start();
        assertEquals("ERR starting\n", status(successor), "ready before discovery has sent the list");
        net.until("the successor's readiness", () -> {
            answerDiscovery();
            return successor.status() == null;
        });
        stop(predecessor);
        assertEquals("ERR stopping\n", status(predecessor));
        idle.send("GET /_health HTTP/1.1\r\n\r\n");
        assertTrue(
                awaitResponse(idle, "ready\n").startsWith("HTTP/1.1 200"),
                "the shutdown of one process made the node unhealthy");
        net.until("the idle client's disconnect", () -> idle.disconnected);
        net.settle(50);
        Peer next = sendJob("c2", "once", "30000m"); // the predecessor no longer listens
        net.until("the successor to accept the job", () -> successor.counters.requestsAccepted == 1);
        done("c1", "one"); // arrives at the successor, for a job of the predecessor
        assertTrue(awaitResponse(early, "one").contains("Connection: close\r\n"));
        net.until("the predecessor's end", () -> ended.contains(predecessor));
        done("c2", "two");
        assertFalse(awaitResponse(next, "two").contains("Connection: close"));
        assertEquals(0, successor.counters.lateCallbacks);
        net.until("a callback without a process to forward it to", () -> {
            done("c1", "again");
            return successor.counters.lateCallbacks == 1;
        });
    }

    /** A successor that stops must not leave the address without a listener while jobs wait for callbacks. */
    @Test
    void predecessorListensAgainWhenItsSuccessorStops() throws Exception {
        Peer early = sendJob("c1", "once", "30000m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        PlatformNode successor = startSuccessor();
        stop(predecessor);
        stop(successor);
        net.until("the successor's end", () -> ended.contains(successor) && !predecessor.handedOver());
        net.settle(10); // a listener is closed by the next select
        done("c1", "one");
        assertTrue(awaitResponse(early, "one").startsWith("HTTP/1.1 200"));
        net.until("the predecessor's end", () -> ended.contains(predecessor));
    }

    /** A socket file that a killed process has left behind does not count as a predecessor. */
    @Test
    void staleSocketIsRemovedAtStart() throws Exception {
        Path stale;
        try (var files = Files.list(directory)) {
            stale = directory.resolve(files.findFirst().orElseThrow().getFileName() + ".x.sock");
        }
        Files.createFile(stale);
        PlatformNode successor = start();
        assertFalse(Files.exists(stale));
        assertFalse(successor.listening(), "did not wait for the running predecessor");
    }

    /** The length of a Unix socket's path is limited; a node with a longer path serves without a handover link. */
    @Test
    void nodeServesWithoutLinkWhenSocketPathIsTooLong() throws Exception {
        Path deep = Files.createDirectories(directory.resolve("d".repeat(100)));
        PlatformNode alone = new PlatformNode(
                net.loop, config(discoveryAt, "\"listen\":\"127.0.0.1:0\",\"state_dir\":\"" + deep + "\","));
        answerFirstListRequest(alone);
        assertEquals("OK\n", status(alone));
    }

    /** Standby applies to the whole node, so each process passes it on to the others. */
    @Test
    void standbyAppliesToAllProcesses() throws Exception {
        PlatformNode successor = startSuccessor();
        callAdmin(successor.console(), "standby");
        net.until("the predecessor's standby", predecessor::standby);
        callAdmin(predecessor.console(), "active");
        net.until("the end of the successor's standby", () -> !successor.standby());
        callAdmin(predecessor.console(), "standby");
        net.until("the successor's standby", successor::standby);
        PlatformNode third = start();
        net.until("the standby of a process started later", third::standby);
    }

    /** The successor starts with the learned state that the predecessor has sent. */
    @Test
    void successorStartsWithThePredecessorsLearnedState() throws Exception {
        for (int i = 0; i < 5; i++) {
            awaitConnectionReusable();
            Peer client = sendJob("c" + i, "safe", "30000m");
            attempt(0, "c" + i).send(answer("202 Accepted", ""));
            executor.get(0).take();
            event("c" + i, "\"from\":\"s-0badcafe\",\"state\":\"started\"");
            done("c" + i, "r");
            awaitResponse(client, "r");
        }
        double[] learned = predecessor.engine.exportLearnedState().entries().get("class safe");
        assertEquals(5, learned[2]);
        assertArrayEquals(
                learned, startSuccessor().engine.exportLearnedState().entries().get("class safe"));
    }

    /** Maintenance persists through an upgrade, and either process accepts the calls. */
    @Test
    void maintenanceAppliesToBothProcessesAndTheNext() throws Exception {
        assertEquals("OK\n", callAdmin(predecessor.console(), "maint-on s-0badcafe"));
        PlatformNode successor = startSuccessor();
        assertFalse(
                successor.engine.routeTable().acceptsNewWork(0x0badcafeL),
                "maintenance was lost when the executor was listed");
        callAdmin(successor.console(), "maint-off s-0badcafe");
        net.until(
                "the executor back in service at both processes",
                () -> predecessor.engine.routeTable().acceptsNewWork(0x0badcafeL)
                        && successor.engine.routeTable().acceptsNewWork(0x0badcafeL));
        callAdmin(predecessor.console(), "maint-on s-0badcafe");
        net.until(
                "the executor out of service at both processes",
                () -> !successor.engine.routeTable().acceptsNewWork(0x0badcafeL));
        stop(predecessor);
        net.until("the predecessor's end", () -> ended.contains(predecessor));
        assertFalse(startSuccessor().engine.routeTable().acceptsNewWork(0x0badcafeL));
    }

    /** Maintenance whose write failed is in force, is reported as an error, and is written by a repeated call. */
    @Test
    void failedMaintenanceWriteIsRetriedByTheSameCall() throws Exception {
        Path moved = directory.resolveSibling(directory.getFileName() + "-aside");
        Files.move(directory, moved);
        assertTrue(callAdmin(predecessor.console(), "maint-on s-0badcafe").startsWith("ERR done, but"));
        assertFalse(predecessor.engine.routeTable().acceptsNewWork(0x0badcafeL));
        Files.move(moved, directory);
        assertEquals("OK\n", callAdmin(predecessor.console(), "maint-on s-0badcafe"));
        assertFalse(startSuccessor().engine.routeTable().acceptsNewWork(0x0badcafeL));
    }

    /** With random jobs, callbacks and pauses during one upgrade, every client gets one complete response. */
    @Property(seed = "1207", tries = 8)
    void everyClientGetsExactlyOneAnswerDuringAnUpgrade(@ForAll long seed) throws Exception {
        ProcessHandoverTest each = new ProcessHandoverTest();
        try {
            each.randomSteps(new Random(seed));
        } finally {
            each.close();
        }
    }

    private void randomSteps(Random random) throws Exception {
        List<Peer> clients = new ArrayList<>();
        PlatformNode successor = null;
        for (int step = 0; step < 60; step++) {
            if (step == 20) {
                successor = start();
            } else if (step == 40) {
                PlatformNode joined = successor;
                net.until("the successor's readiness", () -> {
                    answerDiscovery();
                    return joined.status() == null;
                });
                stop(predecessor);
            } else if (random.nextBoolean()) {
                clients.add(sendJob("c" + clients.size(), "safe", "900m"));
            } else if (!clients.isEmpty()) {
                done("c" + random.nextInt(clients.size()), "r");
            }
            executor.stream()
                    .filter(each -> each.take().endsWith("body"))
                    .forEach(each -> each.send(answer("202 Accepted", "")));
            answerDiscovery();
            net.settle(random.nextInt(3));
        }
        PlatformNode last = successor;
        net.until(
                "all responses",
                () -> last.engine.openRequests() == 0
                        && ended.contains(predecessor)
                        && clients.stream().allMatch(each -> each.receivedText().contains("\r\n\r\n")));
        for (Peer each : clients) {
            assertEquals(0, each.receivedText().lastIndexOf("HTTP/1.1 "), "not one response: " + each.receivedText());
        }
        assertEquals(clients.size(), responses(predecessor.counters) + responses(last.counters));
        assertEquals(0, predecessor.counters.faults + last.counters.faults);
    }

    private static long responses(Counters counters) {
        return counters.served() + counters.shed() + counters.failed() + counters.crowdedOut();
    }

    private void assertRefusedAsInUse(Peer client) {
        assertTrue(awaitResponse(client, "may still run\n").startsWith("HTTP/1.1 409"));
    }

    /** Guards against a job that runs twice, since its id comes again at the other process (picture c). */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void idThatBegunInOneProcessIsRefusedByTheOther(boolean beganBeforeUpgrade) throws Exception {
        Peer atPredecessor = client();
        if (!beganBeforeUpgrade) {
            startSuccessor();
        }
        sendJobOn(atPredecessor, "c1");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        net.settle(20);
        atPredecessor.close();
        if (beganBeforeUpgrade) {
            startSuccessor();
        }
        stop(predecessor);
        net.settle(50);
        assertRefusedAsInUse(sendJob("c1", "once", "30000m")); // the predecessor no longer listens
    }

    /** The same in the other direction, as when an upgrade is cancelled. */
    @Test
    void idThatBegunInTheSuccessorIsRefusedByThePredecessor() throws Exception {
        Peer atPredecessor = client();
        PlatformNode successor = startSuccessor();
        String id = sendJobTo(successor);
        net.until(
                "the attempt",
                () -> executor.stream()
                        .anyMatch(each -> each.receivedText().contains("X-Correlation-Id: " + id + "\r\n")));
        net.settle(20); // the successor's message is on the way
        sendJobOn(atPredecessor, id);
        assertRefusedAsInUse(atPredecessor);
    }

    /** Sends jobs, which may reach either process, until one has reached this process; returns its id. */
    private String sendJobTo(PlatformNode receiver) {
        while (true) {
            long before = receiver.counters.requestsAccepted;
            String id = "to-either-" + ++sentJobs;
            sendJob(id, "once", "30000m");
            net.until(
                    "the acceptance of " + id,
                    () -> receiver.counters.requestsAccepted + predecessor.counters.requestsAccepted == sentJobs);
            if (receiver.counters.requestsAccepted > before) {
                return id;
            }
        }
    }

    private static void sendJobOn(Peer client, String id) {
        client.send("POST /once/x HTTP/1.1\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: once\r\nX-Time-Left: 30000m\r\nContent-Length: 4\r\n\r\nbody");
    }
}
