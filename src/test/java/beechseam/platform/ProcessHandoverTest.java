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

/** Two processes of one node at one address, here on one loop: the younger joins, the elder hands over. */
class ProcessHandoverTest extends NodeHarness {
    private final Path directory = Files.createTempDirectory("handover");
    private final int port = freePort();
    private final Set<PlatformNode> ended = new HashSet<>();
    private final PlatformNode elder = start();

    ProcessHandoverTest() throws Exception {
        net.until("the elder's list", () -> {
            answerDiscovery();
            return elder.isSynced();
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
        return operator(node.console(), "status");
    }

    private void answerDiscovery() {
        for (Peer each : discovery) {
            if (each.heard().endsWith("\r\n\r\n") && !each.heard().contains("wait_ms")) {
                each.take();
                each.say(answer("200 OK", list(2, row("SERVING"))));
            }
        }
    }

    private PlatformNode successor() throws Exception {
        PlatformNode younger = start();
        net.until("the successor's yes", () -> {
            answerDiscovery();
            return younger.status() == null;
        });
        return younger;
    }

    /** Jobs of either process end well whichever of them their call-backs come to. */
    @Test
    void theElderAnswersAllItTookWhileClientsGoToTheYounger() throws Exception {
        Peer early = ask("c1", "once", "30000m");
        attempt(0, "c1").say(answer("202 Accepted", ""));
        Peer idle = client().say("GET /_health HTTP/1.1\r\n\r\n");
        heard(idle, "ready\n");
        PlatformNode younger = start();
        assertEquals("ERR starting\n", status(younger), "not before discovery has told it the list");
        net.until("its yes", () -> {
            answerDiscovery();
            return younger.status() == null;
        });
        stop(elder);
        assertEquals("ERR stopping\n", status(elder));
        idle.say("GET /_health HTTP/1.1\r\n\r\n");
        assertTrue(heard(idle, "ready\n").startsWith("HTTP/1.1 200"), "one process's end is not the node's");
        net.until("the client sent on", () -> idle.gone);
        net.settle(50);
        Peer next = ask("c2", "once", "30000m"); // the elder listens no more
        net.until("taken by the younger", () -> younger.counters.requestsAccepted == 1);
        done("c1", "one"); // comes to the younger, and is the elder's
        assertTrue(heard(early, "one").contains("Connection: close\r\n"));
        net.until("the elder's end", () -> ended.contains(elder));
        done("c2", "two");
        assertFalse(heard(next, "two").contains("Connection: close"));
        assertEquals(0, younger.counters.lateCallbacks);
        net.until("nobody to pass it to", () -> {
            done("c1", "again");
            return younger.counters.lateCallbacks == 1;
        });
    }

    /** A successor that dies must not leave the address without a listener while jobs wait for call-backs. */
    @Test
    void theElderListensAgainWhenItsSuccessorDies() throws Exception {
        Peer early = ask("c1", "once", "30000m");
        attempt(0, "c1").say(answer("202 Accepted", ""));
        PlatformNode younger = successor();
        stop(elder);
        stop(younger);
        net.until("its end", () -> ended.contains(younger) && !elder.handedOver());
        net.settle(10); // a listener is closed by the next select
        done("c1", "one");
        assertTrue(heard(early, "one").startsWith("HTTP/1.1 200"));
        net.until("the elder's end", () -> ended.contains(elder));
    }

    /** What a process that was killed has left behind is no elder: the start is a plain one. */
    @Test
    void aDeadSocketIsRemovedAndTheNodeStartsAlone() throws Exception {
        Path stale;
        try (var files = Files.list(directory)) {
            stale = directory.resolve(files.findFirst().orElseThrow().getFileName() + ".x.sock");
        }
        Files.createFile(stale);
        PlatformNode younger = start();
        assertFalse(Files.exists(stale));
        assertFalse(younger.listening(), "the elder lives, and is waited for");
    }

    /** Unix sockets have short names; a node in a deep directory serves all the same, alone. */
    @Test
    void aPathTooLongForASocketMeansNoLink() throws Exception {
        Path deep = Files.createDirectories(directory.resolve("d".repeat(100)));
        PlatformNode alone = new PlatformNode(
                net.loop, config(discoveryAt, "\"listen\":\"127.0.0.1:0\",\"state_dir\":\"" + deep + "\","));
        listed(alone);
        assertEquals("OK\n", status(alone));
    }

    /** Standby is the node's, not one process's. */
    @Test
    void standbyHoldsForBothProcesses() throws Exception {
        PlatformNode younger = successor();
        operator(younger.console(), "standby");
        net.until("the elder's", elder::standby);
        operator(elder.console(), "active");
        net.until("the younger's", () -> !younger.standby());
        operator(elder.console(), "standby");
        net.until("again", younger::standby);
        PlatformNode third = start();
        net.until("a third, told at its start", third::standby);
    }

    /** The younger starts with the elder's figures, in as many pieces as they need. */
    @Test
    void whatTheElderHasLearnedComesWithItsWelcome() throws Exception {
        for (int i = 0; i < 5; i++) {
            rested();
            Peer client = ask("c" + i, "safe", "30000m");
            attempt(0, "c" + i).say(answer("202 Accepted", ""));
            executor.get(0).take();
            event("c" + i, "\"from\":\"s-0badcafe\",\"state\":\"started\"");
            done("c" + i, "r");
            heard(client, "r");
        }
        double[] learned = elder.engine.exportLearnedState().entries().get("class safe");
        assertEquals(5, learned[2]);
        assertArrayEquals(
                learned, successor().engine.exportLearnedState().entries().get("class safe"));
    }

    /** A ban holds through an upgrade and a kill, and either process may be told. */
    @Test
    void maintenanceHoldsForBothProcessesAndTheNext() throws Exception {
        assertEquals("OK\n", operator(elder.console(), "maint-on s-0badcafe"));
        PlatformNode younger = successor();
        assertFalse(younger.engine.routeTable().acceptsNewWork(0x0badcafeL), "kept, though it is listed");
        operator(younger.console(), "maint-off s-0badcafe");
        net.until(
                "back at both",
                () -> elder.engine.routeTable().acceptsNewWork(0x0badcafeL)
                        && younger.engine.routeTable().acceptsNewWork(0x0badcafeL));
        operator(elder.console(), "maint-on s-0badcafe");
        net.until("out at both", () -> !younger.engine.routeTable().acceptsNewWork(0x0badcafeL));
        stop(elder);
        net.until("the elder's end", () -> ended.contains(elder));
        assertFalse(successor().engine.routeTable().acceptsNewWork(0x0badcafeL));
    }

    /** A ban that could not be kept binds all the same, says so, and is kept when it is said again. */
    @Test
    void aBanThatCouldNotBeKeptIsKeptWhenSaidAgain() throws Exception {
        Path aside = directory.resolveSibling(directory.getFileName() + "-aside");
        Files.move(directory, aside);
        assertTrue(operator(elder.console(), "maint-on s-0badcafe").startsWith("ERR done, but"));
        assertFalse(elder.engine.routeTable().acceptsNewWork(0x0badcafeL));
        Files.move(aside, directory);
        assertEquals("OK\n", operator(elder.console(), "maint-on s-0badcafe"));
        assertFalse(successor().engine.routeTable().acceptsNewWork(0x0badcafeL));
    }

    /** Random jobs, call-backs and pauses through one upgrade: one whole answer to every client. */
    @Property(seed = "1207", tries = 8)
    void everyClientGetsOneAnswerThroughAnUpgrade(@ForAll long seed) throws Exception {
        ProcessHandoverTest each = new ProcessHandoverTest();
        try {
            each.randomSteps(new Random(seed));
        } finally {
            each.close();
        }
    }

    private void randomSteps(Random random) throws Exception {
        List<Peer> clients = new ArrayList<>();
        PlatformNode younger = null;
        for (int step = 0; step < 60; step++) {
            if (step == 20) {
                younger = start();
            } else if (step == 40) {
                PlatformNode joined = younger;
                net.until("the successor's yes", () -> {
                    answerDiscovery();
                    return joined.status() == null;
                });
                stop(elder);
            } else if (random.nextBoolean()) {
                clients.add(ask("c" + clients.size(), "safe", "900m"));
            } else if (!clients.isEmpty()) {
                done("c" + random.nextInt(clients.size()), "r");
            }
            executor.stream()
                    .filter(each -> each.take().endsWith("body"))
                    .forEach(each -> each.say(answer("202 Accepted", "")));
            answerDiscovery();
            net.settle(random.nextInt(3));
        }
        PlatformNode last = younger;
        net.until(
                "all answers",
                () -> last.engine.openRequests() == 0
                        && ended.contains(elder)
                        && clients.stream().allMatch(each -> each.heard().contains("\r\n\r\n")));
        for (Peer each : clients) {
            assertEquals(0, each.heard().lastIndexOf("HTTP/1.1 "), "one answer: " + each.heard());
        }
        assertEquals(clients.size(), answers(elder.counters) + answers(last.counters));
        assertEquals(0, elder.counters.faults + last.counters.faults);
    }

    private static long answers(Counters c) {
        return c.served() + c.shed() + c.failed() + c.crowdedOut();
    }
}
