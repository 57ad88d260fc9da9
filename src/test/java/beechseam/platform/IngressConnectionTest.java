package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what a node accepts from clients: malformed and partial requests, limits on connections and on jobs. */
class IngressConnectionTest extends ListedNodeHarness {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "405 | GET /safe HTTP/1.1~~",
                "404 | POST /unknown HTTP/1.1~Content-Length: 0~~",
                "404 | POST / HTTP/1.1~Content-Length: 0~~",
                "405 | POST /_health HTTP/1.1~Content-Length: 0~~",
                "405 | GET /v1/job-events HTTP/1.1~~",
                "400 | POST /v1/job-events HTTP/1.1~Content-Length: 3~~{]}",
                "400 | POST /v1/job-events HTTP/1.1~Content-Length: 2~~{}",
                "400 | POST /safe HTTP/1.1~X-Correlation-Id: 1~X-Time-Left: 5m~Content-Length: 0~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: odd~X-Correlation-Id: 1~X-Time-Left: 5m~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Time-Left: 5m~Content-Length: 0~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: 1~Content-Length: 0~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: a/b~X-Time-Left: 5m~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: ..~X-Time-Left: 5m~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: a b~X-Time-Left: 5m~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: 1~X-Time-Left: NaNm~~",
                "400 | POST /keyed HTTP/1.1~X-Service-Class: keyed~X-Correlation-Id: 1~X-Time-Left: 5m"
                        + "~Idempotency-Key: a b~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: 1~X-Time-Left: 5s~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: 1~X-Time-Left: -5m~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: 1~X-Time-Left: 1e9m~~",
                "400 | POST /safe HTTP/1.1~X-Service-Class: safe~X-Correlation-Id: 1~X-Time-Left: m~~",
                "400 | POST /keyed HTTP/1.1~X-Service-Class: keyed~X-Correlation-Id: 1~X-Time-Left: 5m~~",
                "413 | POST /safe HTTP/1.1~Content-Length: 70000~~",
                "400 | what~~"
            })
    void malformedRequestIsAnsweredWithReason(int status, String input) {
        Peer client = client().send(input.replace("~", "\r\n"));
        net.until(
                "an answer",
                () -> client.receivedText().endsWith("\n")
                        && client.receivedText().contains("\r\n\r\n"));
        assertTrue(client.receivedText().startsWith("HTTP/1.1 " + status + " "), client.receivedText());
        assertEquals(1, node.counters.badInput);
        assertEquals(0, node.counters.requestsAccepted);
    }

    /** Closing a connection with unread input would reset it, and the response in transit would be lost. */
    @Test
    void oversizedBodyIsDroppedAndResponseDelivered() {
        Peer client = client().send("POST /safe HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + "x".repeat(600_000));
        net.until("the close", () -> client.disconnected);
        assertTrue(client.receivedText().startsWith("HTTP/1.1 413 "), client.receivedText());
        assertTrue(client.receivedText().contains("Connection: close"));
        assertEquals(0, client.unwritten(), "the rest of the body was not read");
    }

    /** A connection without a complete request must be closed long before the idle timeout between requests. */
    @Test
    void silentAndPartialRequestsTimeOutWhileIdleClientStays() {
        Peer idle = client().send("GET /_health HTTP/1.1\r\n\r\n");
        awaitResponse(idle, "ready\n");
        Peer silent = client();
        Peer half = client().send("POST /safe HTTP/1.1\r\nContent-Le");
        Peer body = client().send("POST /safe HTTP/1.1\r\nContent-Length: 9\r\n\r\nshort");
        long start = System.nanoTime();
        net.until("all three closes", () -> silent.disconnected && half.disconnected && body.disconnected);
        assertTrue(System.nanoTime() - start < 8_000_000_000L, "closed too close to the idle timeout");
        assertTrue(half.receivedText().startsWith("HTTP/1.1 408 ")
                && body.receivedText().startsWith("HTTP/1.1 408 "));
        assertEquals("", silent.receivedText());
        assertFalse(idle.disconnected);
        assertEquals(0, node.counters.requestsAccepted);
    }

    /** Many silent connections fill the table, and the callback that the job waits for still gets through. */
    @Test
    void silentConnectionsDoNotBlockCallbacks() {
        Peer client = sendJob("c1", "once", "30000m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        Peer idle = client().send("GET /_health HTTP/1.1\r\n\r\n");
        awaitResponse(idle, "ready\n");
        List<Peer> silent = new ArrayList<>();
        for (int i = 0; i < 55; i++) {
            silent.add(client());
            net.settle(i == 30 ? 200 : 0); // after this the first ones have exceeded the grace time
        }
        done("c1", "through");
        awaitResponse(client, "through");
        net.until("the oldest one's eviction", () -> silent.get(0).disconnected);
        assertFalse(idle.disconnected, "a connection that has been served was evicted before the silent ones");
    }

    /**
     * A node with little processor time accepts a burst of connections before it has read what earlier clients have
     * sent. Evicted without a further read, these clients lost requests that counted as accepted.
     */
    @Test
    void pendingRequestsAreServedBeforeEviction() {
        List<Peer> early = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            early.add(client());
        }
        net.settle(150); // they are accepted and exceed the grace time
        for (int i = 0; i < 40; i++) {
            client(); // the listener is ready before the early clients' requests
        }
        early.forEach(each -> each.send("GET /_health HTTP/1.1\r\n\r\n"));
        early.forEach(each -> awaitResponse(each, "ready\n"));
    }

    /** Some connections are kept free for callbacks, because without these no job would ever end. */
    @Test
    void jobsOverCapacityAreShedAndCallbacksAccepted() {
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < 29; i++) {
            clients.add(sendJob("c" + i, "once", "30000m"));
        }
        net.until("all jobs accepted", () -> node.counters.requestsAccepted == 29);
        Peer excess = sendJob("over", "once", "30000m");
        net.until("a response", () -> excess.receivedText().startsWith("HTTP/1.1 503"));
        assertTrue(excess.receivedText().contains("Retry-After: 1.500\r\n"));
        attempt(0, "c0").send(answer("202 Accepted", ""));
        done("c0", "through");
        awaitResponse(clients.get(0), "through");
        Peer next = sendJob("next", "once", "30000m");
        net.until("the next job accepted", () -> node.counters.requestsAccepted == 30);
        assertFalse(next.disconnected);
        assertEquals(1, node.counters.crowdedOut());
    }

    /** The responses to a client that sends many requests and reads no response must not fill the heap. */
    @Test
    void unreadResponsesApplyBackpressure() {
        String request = "GET /_counters HTTP/1.1\r\n\r\n";
        Peer client = client().send(request.repeat(20_000));
        String first = awaitResponse(client, "}}\n");
        net.until(
                "all responses", () -> client.receivedText().length() + first.length() > 0 && client.unwritten() == 0);
        net.settle(300);
        String all = first + client.receivedText();
        assertEquals(20_000, all.split("HTTP/1.1 200 OK", -1).length - 1, "not one response per request");
    }

    @Test
    void healthAndCountersAreServed() {
        Peer client = client().send("GET /_health HTTP/1.1\r\n\r\nGET /_counters HTTP/1.1\r\n\r\n");
        String both = awaitResponse(client, "}}\n");
        assertTrue(both.startsWith("HTTP/1.1 200 OK"), both);
        assertTrue(both.contains("{\"taken\":0,\"sent\":0,\"answered\":0"), both);
    }

    /** Above its limit the node closes idle connections, but none that awaits a response. */
    @Test
    void ingressConnectionsAreBounded() {
        Peer client = sendJob("c1", "once", "30000m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Peer each = client().send("GET /_health HTTP/1.1\r\n\r\n");
            net.until("a response", () -> each.receivedText().startsWith("HTTP/1.1 200"));
            idle.add(each);
        }
        net.until("the oldest one's eviction", () -> idle.get(0).disconnected);
        assertFalse(idle.get(59).disconnected);
        done("c1", "still here");
        awaitResponse(client, "still here");
    }
}
