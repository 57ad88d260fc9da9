package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import beechseam.core.Ingress;
import beechseam.core.Request;
import beechseam.dispatch.Outcome;
import org.junit.jupiter.api.Test;

/** Races on connections to executors: a close, reset or surplus response that coincides with the next request. */
class EgressRaceTest extends RaceHarness {
    /** The executor has closed an idle connection, and the node has not read the close when the next job arrives. */
    @Test
    void idleConnectionClosedByPeerIsNotReused() {
        startListed(SETTINGS, false);
        Peer client = connectedClient().send(job("c1", "once"));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        done("c1", "one");
        awaitResponse(client, "one");
        net.settle(20);
        executor.get(0).close();
        RecordedReply reply = new RecordedReply();
        Object message = new JobMessage("/once/x", "X-Correlation-Id: c2\r\n", "body".getBytes());
        // Submitted before the loop has read that close.
        node.engine.submit("c2", 1, 30_000_000_000L, 1, 0, message, reply);
        attempt(1, "c2").send(answer("202 Accepted", ""));
        done("c2", "two");
        net.until("the reply", () -> reply.text.equals("served two"));
        assertEquals(0, node.counters.ended(Outcome.LOST));
    }

    /** A second response behind the first must not be taken for the response to the next request. */
    @Test
    void surplusResponseClosesOnlyItsConnection() {
        startListed(SETTINGS, false);
        for (int i = 0; i < CONNECTIONS + 1; i++) {
            sendJob("c" + i, "once", "30000m");
        }
        net.until(
                "all connections busy",
                () -> requestsWritten() == CONNECTIONS && node.counters.attemptsSent == CONNECTIONS + 1);
        executor.get(0).send(answer("202 Accepted", "") + answer("500 Oops", ""));
        attempt(CONNECTIONS, "c");
        net.settle(50);
        assertEquals(0, node.counters.ended(Outcome.ERROR));
        assertTrue(executor.get(0).disconnected);
    }

    /** The second response comes some milliseconds later, when the next request would already be written. */
    @Test
    void delayedSurplusResponseIsNotTakenForTheNextOne() {
        startListed(SETTINGS, false);
        sendJob("c1", "once", "30000m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        net.settle(3);
        sendJob("c2", "once", "30000m");
        attempt(1, "c2");
        executor.get(0).send(answer("500 Oops", ""));
        net.until("the close of the first connection", () -> executor.get(0).disconnected);
        executor.get(1).send(answer("202 Accepted", ""));
        net.settle(50);
        assertEquals(0, node.counters.ended(Outcome.ERROR));
        sendJob("c3", "once", "30000m");
        net.until("the attempt of c3", () -> executor.get(1).receivedText().contains("X-Correlation-Id: c3"));
        assertEquals(2, executor.size(), "the connection is reused after the reuse delay");
    }

    /** The executor trickles a response without end and reports the result by callback: the connection is closed. */
    @Test
    void endlessResponseDoesNotKeepItsConnection() {
        startListed(SETTINGS, false);
        Peer client = connectedClient().send(job("c1", "once"));
        Peer trickling = attempt(0, "c1").send("HTTP/1.1 202 Acc");
        event("c1", "\"from\":\"s-0badcafe\",\"state\":\"started\"");
        for (int i = 0; i < 30; i++) {
            trickling.send("e");
            net.settle(20);
        }
        assertFalse(trickling.disconnected, "a close before the 202 would cancel the job");
        done("c1", "fine");
        assertTrue(awaitResponse(client, "fine").startsWith("HTTP/1.1 200"));
        for (int i = 0; i < 100 && !trickling.disconnected; i++) {
            trickling.send("p");
            net.settle(10);
        }
        assertTrue(trickling.disconnected);
    }

    /** Timeouts apply to the connections of an executor that is no longer listed; they were once left open. */
    @Test
    void connectionToRemovedExecutorIsClosed() {
        startListed(SETTINGS, false);
        Peer client = connectedClient().send(job("c1", "once"));
        Peer silent = attempt(0, "c1");
        event("c1", "\"from\":\"s-0badcafe\",\"state\":\"started\"");
        awaitDiscoveryCall(0, "after=2&");
        discovery.get(0).send(answer("200 OK", list(3, "")));
        net.until("the removal of the entry", () -> node.engine.routeTable().size() == 0);
        done("c1", "fine");
        awaitResponse(client, "fine");
        net.until("the close of its connection", () -> silent.disconnected);
    }

    /** The connection is lost after the whole request has been written: the job may have run. */
    @Test
    void nonIdempotentJobIsNotRetriedAfterResetBehindLastByte() {
        startListed(SETTINGS, true);
        Peer client = connectedClient().send(job("c1", "once"));
        net.until("the attempt", () -> requestsWritten() == 1);
        (executor.isEmpty() ? otherExecutor : executor).get(0).close();
        net.until("an answer", () -> client.receivedText().startsWith("HTTP/1.1 502"));
        assertEquals(1, node.counters.attemptsSent);
    }

    /** A client that records its reply. */
    private static final class RecordedReply implements Ingress {
        private String text = "";

        @Override
        public void served(Request request, byte[] result) {
            text += "served " + new String(result);
        }

        @Override
        public void shed(Request request, long pauseNs) {
            text += "shed";
        }

        @Override
        public void failed(Request request, String why) {
            text += "failed";
        }
    }
}
