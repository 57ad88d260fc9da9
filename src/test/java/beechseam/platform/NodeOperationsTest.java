package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What operators do with a node: shutdown, standby, statistics, maintenance of executors. */
class NodeOperationsTest extends ListedNodeHarness {
    private boolean stopped;

    /** After SIGTERM what is taken is answered, new work still is for a while, and then it ends. */
    @Test
    void shutdownAnswersAllAcceptedRequests() {
        Peer client = sendJob("c1", "once", "30000m");
        attempt(0, "c1").take();
        executor.get(0).say(answer("202 Accepted", ""));
        node.stop(() -> stopped = true);
        Peer health = client().say("GET /_health HTTP/1.1\r\n\r\n");
        net.until("an answer", () -> health.heard().startsWith("HTTP/1.1 503"));
        done("c1", "one");
        String one = awaitResponse(client, "one");
        // The other nodes may be away as well: who is connected is sent away only when time is nearly up.
        assertTrue(node.isDraining() || !one.contains("Connection: close\r\n"), one);
        awaitConnectionReusable();
        Peer late = sendJob("c2", "once", "30000m");
        attempt(0, "c2");
        executor.get(0).say(answer("202 Accepted", ""));
        net.until("the time to leave", node::isDraining);
        assertFalse(stopped, "a job is open");
        net.until("the idle client sent away", () -> client.gone);
        done("c2", "two");
        assertTrue(awaitResponse(late, "two").contains("Connection: close\r\n"));
        net.until("the end", () -> stopped);
        assertEquals(0, node.engine.openRequests());
    }

    /** After the call nothing idle or young may be held, while what was taken and its call-backs go on. */
    @Test
    void standbyDrainsClientsAndActiveServesThemAgain() throws Exception {
        Peer early = sendJob("c1", "once", "30000m");
        attempt(0, "c1").say(answer("202 Accepted", ""));
        executor.get(0).take();
        Peer caller = client().say("POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}");
        Peer idle = client().say("GET /_health HTTP/1.1\r\n\r\n");
        awaitResponse(idle, "ready\n");
        Peer silent = client();
        assertEquals("OK\n", callAdmin(node.console(), "standby"));
        assertEquals("OK\n", callAdmin(node.console(), "standby"), "said again it changes nothing");
        long start = System.nanoTime();
        assertEquals("ERR standby\n", callAdmin(node.console(), "status"));
        Peer health = client().say("GET /_health HTTP/1.1\r\n\r\n");
        net.until("an answer", () -> health.heard().startsWith("HTTP/1.1 503"));
        awaitConnectionReusable();
        Peer second = sendJob("c2", "once", "30000m"); // the front sends new clients for a moment more
        attempt(0, "c2").say(answer("202 Accepted", ""));
        done("c2", "two");
        assertTrue(awaitResponse(second, "two").contains("Connection: close\r\n"));
        net.until("idle and silent ones away", () -> idle.gone && silent.gone);
        assertTrue(System.nanoTime() - start < 3_500_000_000L, "in time");
        net.until("the time to shed", node::shedsNewJobs);
        Peer late = sendJob("c3", "once", "30000m");
        net.until("shed", () -> late.gone);
        assertTrue(late.heard().startsWith("HTTP/1.1 503") && late.heard().contains("Connection: close"));
        assertFalse(caller.gone, "a connection of call-backs is no client's");
        done("c1", "one");
        awaitResponse(early, "one");
        assertEquals("OK\n", callAdmin(node.console(), "active"));
        assertEquals("OK\n", callAdmin(node.console(), "status"));
        Peer back = sendJob("c4", "once", "30000m");
        attempt(0, "c4");
        done("c4", "four");
        assertFalse(awaitResponse(back, "four").contains("Connection: close"));
    }

    /** Each job in one figure, an attempt once its last byte is out; what is answered is not current. */
    @Test
    void statisticsCountWhatWasWritten() throws Exception {
        for (int i = 0; i < 10; i++) {
            sendJob("c" + i, "once", "30000m"); // the module decides on ten, and six connections carry one each
        }
        awaitAllConnectionsBusy(node);
        assertEquals(List.of("0", "0", "0", "6", "10", "1", "0"), figures("once"));
        done("c0", "r");
        event("c1", "\"from\":\"s-0badcafe\",\"state\":\"failed\"");
        assertEquals(List.of("1", "0", "1", "6", "8", "1", "0"), figures("once"));
        executor.get(0).say(answer("202 Accepted", "")); // it is free for an attempt that waited
        net.until("the next hop out", () -> figures("once").get(3).equals("7"));
        client().say("POST /once HTTP/1.1\r\nX-Service-Class: once\r\nContent-Length: 0\r\n\r\n");
        net.until("no request of a class", () -> node.counters.badInput == 1);
        callAdmin(node.console(), "maint-on s-0badcafe");
        assertEquals(List.of("1", "0", "1", "7", "8", "1", "1"), figures("once"));
        callAdmin(node.console(), "standby");
        net.until("the time to shed", node::shedsNewJobs);
        Peer late = sendJob("late", "safe", "30000m");
        net.until("shed", () -> late.gone);
        assertEquals(List.of("0", "1", "0", "0"), figures("safe").subList(0, 4));
    }

    /** Of one class answered, deferred, errored, sends; then current, size and unhealthy of the cluster. */
    private List<String> figures(String jobClass) {
        try {
            String all = callAdmin(node.console(), "stats");
            assertTrue(all.endsWith("\nsvc.conf_loaded=1\nsvc.conf_invalid=0\nEND\n"), all);
            String of = "svc.transactions." + jobClass + ".";
            return all.lines()
                    .filter(each -> each.startsWith(of) || each.matches("svc.cu.*|svc.cl.*"))
                    .map(each -> each.replaceAll(".*=", ""))
                    .toList();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** From the OK on nothing new goes there, whatever is listed; put back it is used, as a cold target. */
    @Test
    void executorInMaintenanceGetsNothingUntilReleased() throws Exception {
        String neverListed = "ERR no such executor was ever listed\n";
        assertEquals(neverListed, callAdmin(node.console(), "maint-on s-0badcaff"));
        assertEquals(neverListed, callAdmin(node.console(), "maint-off s-1"));
        for (int i = 0; i < 10; i++) {
            sendJob("c" + i, "once", "30000m"); // six connections: the others wait for one
        }
        awaitAllConnectionsBusy(node);
        assertEquals("OK\n", callAdmin(node.console(), "maint-on s-0badcafe"));
        assertEquals("OK\n", callAdmin(node.console(), "maint-on s-0badcafe"));
        executor.forEach(each -> each.say(answer("202 Accepted", "")));
        net.until("the rest withheld", () -> node.counters.withheld == 4);
        discovery.get(0).say(answer("200 OK", list(3, row("SERVING"))));
        net.until("the list", () -> discovery.get(0).heard().contains("after=3&"));
        assertFalse(node.engine.routeTable().acceptsNewWork(0x0badcafeL));
        for (int i = 0; i < 10; i++) {
            done("c" + i, "r");
        }
        executor.forEach(Peer::take);
        Peer late = sendJob("late", "safe", "30000m");
        net.until("shed", () -> late.heard().startsWith("HTTP/1.1 503"));
        assertTrue(executor.stream().allMatch(each -> each.heard().isEmpty()));
        assertEquals("OK\n", callAdmin(node.console(), "maint-off s-0badcafe"));
        assertEquals("OK\n", callAdmin(node.console(), "maint-off s-0badcafe"));
        List<Peer> again = new ArrayList<>();
        net.until(
                "used again",
                () -> { // a new node warms nobody in its first second, and sheds till then
                    if (again.isEmpty() || !again.get(again.size() - 1).heard().isEmpty()) {
                        again.add(sendJob("a" + again.size(), "safe", "30000m"));
                    }
                    return executor.stream().anyMatch(each -> each.heard().contains("X-Correlation-Id: a"));
                });
    }
}
