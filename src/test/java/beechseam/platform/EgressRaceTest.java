package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import beechseam.core.Ingress;
import beechseam.core.Request;
import beechseam.dispatch.Outcome;
import org.junit.jupiter.api.Test;

/** Races on connections to executors: closes, resets and surplus responses beside the next request. */
class EgressRaceTest extends RaceHarness {
    /** Its peer has closed it, and the close lies unread when the next request would be written. */
    @Test
    void idleConnectionClosedByPeerIsNotReused() {
        startListed(SETTINGS, false);
        Peer client = connected().send(job("c1", "once"));
        attempt(0, "c1").send(answer("202 Accepted", ""));
        done("c1", "one");
        awaitResponse(client, "one");
        net.settle(20);
        executor.get(0).close();
        Answers answers = new Answers();
        Object message = new JobMessage("/once/x", "X-Correlation-Id: c2\r\n", "body".getBytes());
        // Before the loop has read that close.
        node.engine.submit("c2", 1, 30_000_000_000L, 1, 0, message, answers);
        attempt(1, "c2").send(answer("202 Accepted", ""));
        done("c2", "two");
        net.until("the answer", () -> answers.said.equals("served two"));
        assertEquals(0, node.counters.ended(Outcome.LOST));
    }

    /** An answer behind the answer must not be taken for that of the next request on the connection. */
    @Test
    void surplusResponseClosesOnlyItsConnection() {
        startListed(SETTINGS, false);
        for (int i = 0; i < CONNECTIONS + 1; i++) {
            sendJob("c" + i, "once", "30000m");
        }
        net.until(
                "all connections busy",
                () -> written() == CONNECTIONS && node.counters.attemptsSent == CONNECTIONS + 1);
        executor.get(0).send(answer("202 Accepted", "") + answer("500 Oops", ""));
        attempt(CONNECTIONS, "c");
        net.settle(50);
        assertEquals(0, node.counters.ended(Outcome.ERROR));
        assertTrue(executor.get(0).disconnected);
    }

    /** The same some milliseconds later, when the next request would long be written. */
    @Test
    void delayedSurplusResponseIsNotTakenForTheNextOne() {
        startListed(SETTINGS, false);
        sendJob("c1", "once", "30000m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        net.settle(3);
        sendJob("c2", "once", "30000m");
        attempt(1, "c2");
        executor.get(0).send(answer("500 Oops", ""));
        net.until("the end of the first connection", () -> executor.get(0).disconnected);
        executor.get(1).send(answer("202 Accepted", ""));
        net.settle(50);
        assertEquals(0, node.counters.ended(Outcome.ERROR));
        sendJob("c3", "once", "30000m");
        net.until("the hop of c3", () -> executor.get(1).receivedText().contains("X-Correlation-Id: c3"));
        assertEquals(2, executor.size(), "rested, it is used again");
    }

    /** Half a line of an answer, then another by call-back: the connection is freed, not held for good. */
    @Test
    void endlessResponseDoesNotKeepItsConnection() {
        startListed(SETTINGS, false);
        Peer client = connected().send(job("c1", "once"));
        Peer trickling = attempt(0, "c1").send("HTTP/1.1 202 Acc");
        event("c1", "\"from\":\"s-0badcafe\",\"state\":\"started\"");
        for (int i = 0; i < 30; i++) {
            trickling.send("e");
            net.settle(20);
        }
        assertFalse(trickling.disconnected, "a close before the 202 would give the job up");
        done("c1", "fine");
        assertTrue(awaitResponse(client, "fine").startsWith("HTTP/1.1 200"));
        for (int i = 0; i < 100 && !trickling.disconnected; i++) {
            trickling.send("p");
            net.settle(10);
        }
        assertTrue(trickling.disconnected);
    }

    /** The same at an executor that is listed no more: nobody looked after its connections. */
    @Test
    void connectionToRemovedExecutorIsClosed() {
        startListed(SETTINGS, false);
        Peer client = connected().send(job("c1", "once"));
        Peer silent = attempt(0, "c1");
        event("c1", "\"from\":\"s-0badcafe\",\"state\":\"started\"");
        awaitDiscoveryCall(0, "after=2&");
        discovery.get(0).send(answer("200 OK", list(3, "")));
        net.until("the row to go", () -> node.engine.routeTable().size() == 0);
        done("c1", "fine");
        awaitResponse(client, "fine");
        net.until("the end of its connection", () -> silent.disconnected);
    }

    /** The connection is reset when the whole request has been handed to the kernel: it may have run. */
    @Test
    void nonIdempotentJobIsNotRetriedAfterResetBehindLastByte() {
        startListed(SETTINGS, true);
        Peer client = connected().send(job("c1", "once"));
        net.until("the hop", () -> written() == 1);
        (executor.isEmpty() ? other : executor).get(0).close();
        net.until("an answer", () -> client.receivedText().startsWith("HTTP/1.1 502"));
        assertEquals(1, node.counters.attemptsSent);
    }

    /** Keeps what it was told. */
    private static final class Answers implements Ingress {
        private String said = "";

        @Override
        public void served(Request request, byte[] result) {
            said += "served " + new String(result);
        }

        @Override
        public void shed(Request request, long pauseNs) {
            said += "shed";
        }

        @Override
        public void failed(Request request, String why) {
            said += "failed";
        }
    }
}
