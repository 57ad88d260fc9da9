package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the operators' actions on a node: shutdown, standby, statistics, maintenance of executors. */
class NodeOperationsTest extends ListedNodeHarness {
    private boolean stopped;

    /** After SIGTERM the node answers all accepted requests, accepts new ones for a while, and then closes. */
    @Test
    void shutdownAnswersAllAcceptedRequests() {
        Peer client = sendJob("c1", "once", "30000m");
        attempt(0, "c1").take();
        executor.get(0).send(answer("202 Accepted", ""));
        node.stop(() -> stopped = true);
        Peer health = client().send("GET /_health HTTP/1.1\r\n\r\n");
        net.until("a response", () -> health.receivedText().startsWith("HTTP/1.1 503"));
        done("c1", "one");
        String response = awaitResponse(client, "one");
        // The other nodes may be restarting as well, so connected clients are drained only shortly before the kill.
        assertTrue(node.isDraining() || !response.contains("Connection: close\r\n"), response);
        awaitConnectionReusable();
        Peer late = sendJob("c2", "once", "30000m");
        attempt(0, "c2");
        executor.get(0).send(answer("202 Accepted", ""));
        net.until("the start of draining", node::isDraining);
        assertFalse(stopped, "the node closed with an open job");
        net.until("the idle client's disconnect", () -> client.disconnected);
        done("c2", "two");
        assertTrue(awaitResponse(late, "two").contains("Connection: close\r\n"));
        net.until("the node's close", () -> stopped);
        assertEquals(0, node.engine.openRequests());
    }

    /** On standby idle and unused connections are closed, while accepted jobs and their callbacks are still handled. */
    @Test
    void standbyDrainsClientsAndActiveServesThemAgain() throws Exception {
        Peer early = sendJob("c1", "once", "30000m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        executor.get(0).take();
        Peer callbackClient = client().send("POST /v1/job-events HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}");
        Peer idle = client().send("GET /_health HTTP/1.1\r\n\r\n");
        awaitResponse(idle, "ready\n");
        Peer silent = client();
        assertEquals("OK\n", callAdmin(node.console(), "standby"));
        assertEquals("OK\n", callAdmin(node.console(), "standby"), "a repeated call failed");
        long start = System.nanoTime();
        assertEquals("ERR standby\n", callAdmin(node.console(), "status"));
        Peer health = client().send("GET /_health HTTP/1.1\r\n\r\n");
        net.until("a response", () -> health.receivedText().startsWith("HTTP/1.1 503"));
        awaitConnectionReusable();
        Peer second = sendJob("c2", "once", "30000m"); // the load balancer in front still sends new clients
        attempt(0, "c2").send(answer("202 Accepted", ""));
        done("c2", "two");
        assertTrue(awaitResponse(second, "two").contains("Connection: close\r\n"));
        net.until("the close of idle and silent connections", () -> idle.disconnected && silent.disconnected);
        assertTrue(System.nanoTime() - start < 3_500_000_000L, "closed too late");
        net.until("the start of shedding", node::shedsNewJobs);
        Peer late = sendJob("c3", "once", "30000m");
        net.until("shed", () -> late.disconnected);
        assertTrue(late.receivedText().startsWith("HTTP/1.1 503")
                && late.receivedText().contains("Connection: close"));
        assertFalse(callbackClient.disconnected, "a connection of an executor was closed");
        done("c1", "one");
        awaitResponse(early, "one");
        assertEquals("OK\n", callAdmin(node.console(), "active"));
        assertEquals("OK\n", callAdmin(node.console(), "status"));
        Peer afterStandby = sendJob("c4", "once", "30000m");
        attempt(0, "c4");
        done("c4", "four");
        assertFalse(awaitResponse(afterStandby, "four").contains("Connection: close"));
    }

    /** Each job counts once, an attempt counts when its last byte is written, and answered jobs are not current. */
    @Test
    void statisticsCountWhatWasWritten() throws Exception {
        for (int i = 0; i < 10; i++) {
            sendJob("c" + i, "once", "30000m"); // ten attempts are decided, and six connections carry one each
        }
        awaitAllConnectionsBusy(node);
        assertEquals(List.of("0", "0", "0", "6", "10", "1", "0"), figures("once"));
        done("c0", "r");
        event("c1", "\"from\":\"s-0badcafe\",\"state\":\"failed\"");
        assertEquals(List.of("1", "0", "1", "6", "8", "1", "0"), figures("once"));
        executor.get(0).send(answer("202 Accepted", "")); // the connection is free for a queued attempt
        net.until("the next attempt written", () -> figures("once").get(3).equals("7"));
        client().send("POST /once HTTP/1.1\r\nX-Service-Class: once\r\nContent-Length: 0\r\n\r\n");
        net.until("the invalid request", () -> node.counters.badInput == 1);
        callAdmin(node.console(), "maint-on s-0badcafe");
        assertEquals(List.of("1", "0", "1", "7", "8", "1", "1"), figures("once"));
        callAdmin(node.console(), "standby");
        net.until("the start of shedding", node::shedsNewJobs);
        Peer late = sendJob("late", "safe", "30000m");
        net.until("shed", () -> late.disconnected);
        assertEquals(List.of("0", "1", "0", "0"), figures("safe").subList(0, 4));
    }

    /** Returns answered, deferred, errored, sends of one class; then current, cluster_size, cluster_unhealthy. */
    private List<String> figures(String jobClass) {
        try {
            String all = callAdmin(node.console(), "stats");
            assertTrue(all.endsWith("\nsvc.conf_loaded=1\nsvc.conf_invalid=0\nEND\n"), all);
            String prefix = "svc.transactions." + jobClass + ".";
            return all.lines()
                    .filter(each -> each.startsWith(prefix) || each.matches("svc.cu.*|svc.cl.*"))
                    .map(each -> each.replaceAll(".*=", ""))
                    .toList();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * After the OK no new work goes to the executor, whatever discovery lists. Put back into service, it is used again
     * with a slow start.
     */
    @Test
    void executorInMaintenanceGetsNothingUntilReleased() throws Exception {
        String neverListed = "ERR no such executor was ever listed\n";
        assertEquals(neverListed, callAdmin(node.console(), "maint-on s-0badcaff"));
        assertEquals(neverListed, callAdmin(node.console(), "maint-off s-1"));
        for (int i = 0; i < 10; i++) {
            sendJob("c" + i, "once", "30000m"); // six connections carry one each, the others are queued
        }
        awaitAllConnectionsBusy(node);
        assertEquals("OK\n", callAdmin(node.console(), "maint-on s-0badcafe"));
        assertEquals("OK\n", callAdmin(node.console(), "maint-on s-0badcafe"));
        executor.forEach(each -> each.send(answer("202 Accepted", "")));
        net.until("the queued attempts to be withheld", () -> node.counters.withheld == 4);
        discovery.get(0).send(answer("200 OK", list(3, row("SERVING"))));
        net.until("the list", () -> discovery.get(0).receivedText().contains("after=3&"));
        assertFalse(node.engine.routeTable().acceptsNewWork(0x0badcafeL));
        for (int i = 0; i < 10; i++) {
            done("c" + i, "r");
        }
        executor.forEach(Peer::take);
        Peer late = sendJob("late", "safe", "30000m");
        net.until("shed", () -> late.receivedText().startsWith("HTTP/1.1 503"));
        assertTrue(executor.stream().allMatch(each -> each.receivedText().isEmpty()));
        assertEquals("OK\n", callAdmin(node.console(), "maint-off s-0badcafe"));
        assertEquals("OK\n", callAdmin(node.console(), "maint-off s-0badcafe"));
        List<Peer> again = new ArrayList<>();
        net.until(
                "an attempt at the executor",
                () -> { // a new node sends nothing to a cold executor in its first second, but sheds
                    if (again.isEmpty()
                            || !again.get(again.size() - 1).receivedText().isEmpty()) {
                        again.add(sendJob("a" + again.size(), "safe", "30000m"));
                    }
                    return executor.stream()
                            .anyMatch(each -> each.receivedText().contains("X-Correlation-Id: a"));
                });
    }
}
