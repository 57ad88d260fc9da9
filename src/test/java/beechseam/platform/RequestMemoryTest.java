package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.Loopback.Peer;
import beechseam.net.Buffers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests a node whose memory for long requests is used up by clients that stop in the middle of a request. */
class RequestMemoryTest extends NodeHarness {
    /** A body of this length needs a read buffer of 32 KiB. */
    private static final int BODY_BYTES = 20_000;
    /** Stopped requests that use up the memory for requests. */
    private static final int STOPPED_REQUESTS = 10;

    private static final String END = "\r\n\r\nbody";

    private static final long HEAP_BYTES = 4L * (STOPPED_REQUESTS * 32 + 16) * 1024;

    private final PlatformNode node = newNode(SETTINGS);

    RequestMemoryTest() {
        answerFirstListRequest(node);
    }

    @Override
    Loopback newLoopback() {
        return new Loopback(new Buffers(HEAP_BYTES));
    }

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }

    private static String job(String id, int bodyBytes) {
        return "POST /safe/x HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: safe\r\nX-Time-Left: 30000m"
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "b".repeat(bodyBytes - END.length()) + END;
    }

    private List<Peer> stoppedRequests(int count) {
        String half = job("half", BODY_BYTES).substring(0, BODY_BYTES - 1000);
        return IntStream.range(0, count).mapToObj(i -> client().send(half)).toList();
    }

    /** Returns the time left that an attempt tells its executor, in milliseconds. */
    private static long toldMs(String attempt) {
        int at = attempt.indexOf("X-Time-Left: ") + "X-Time-Left: ".length();
        return Long.parseLong(attempt.substring(at, attempt.indexOf('m', at)));
    }

    private void serve(Peer client, String id, int attempt) {
        attempt(attempt, id).send(answer("202 Accepted", ""));
        done(id, "result of " + id);
        assertTrue(awaitResponse(client, "result of " + id).startsWith("HTTP/1.1 200"));
    }

    /** Guards against requests lost because half requests of other clients had used up the memory for requests. */
    @Test
    void wholeRequestIsServedWhileOthersStopHalfway() {
        List<Peer> stopped = stoppedRequests(STOPPED_REQUESTS);
        net.settle(20);
        Peer client = client().send(job("c1", BODY_BYTES));
        serve(client, "c1", 0);
        assertEquals(
                1,
                stopped.stream()
                        .filter(each -> each.receivedText().startsWith("HTTP/1.1 408 "))
                        .count(),
                "no more stopped requests are cut off than there is need");
        assertEquals(1, node.counters.badInput);
    }

    /** Guards against the time in the kernel being given away: an executor must not be told more than is left. */
    @Test
    void timeSpentWaitingForMemoryCountsAgainstTheRequest() {
        stoppedRequests(STOPPED_REQUESTS);
        net.settle(20);
        long sentNs = System.nanoTime();
        client().send(job("c1", BODY_BYTES));
        String attempt = attempt(0, "c1").receivedText();
        long waitedMs = (System.nanoTime() - sentNs) / 1_000_000;
        assertTrue(waitedMs > 100, "waited " + waitedMs);
        long toldMs = toldMs(attempt);
        assertTrue(toldMs <= 30_000 - waitedMs + 20, "told " + toldMs + " ms after " + waitedMs + " ms");
    }

    /** Guards against a later request that is taken for as old as a wait that ended with a buffer filled to its end. */
    @Test
    void waitDoesNotCountAgainstTheNextRequest() {
        stoppedRequests(STOPPED_REQUESTS);
        net.settle(20);
        int headBytes = job("c1", BODY_BYTES).length() - BODY_BYTES;
        Peer client = client().send(job("c1", 32 * 1024 - headBytes));
        serve(client, "c1", 0);
        executor.get(0).take();
        net.settle(300);
        long sentNs = System.nanoTime();
        client.send(job("c2", END.length()));
        String attempt = attempt(0, "c2").receivedText();
        long tookMs = (System.nanoTime() - sentNs) / 1_000_000;
        assertTrue(toldMs(attempt) >= 30_000 - tookMs - 20, attempt);
    }

    /** Guards against requests that never get an answer because clients that write slowly have all the memory. */
    @Test
    void requestIsShedInTimeWhileSlowClientsHoldAllMemory() {
        List<Peer> slow = stoppedRequests(STOPPED_REQUESTS);
        net.settle(20);
        Peer client = client().send(job("c1", BODY_BYTES));
        long sentNs = System.nanoTime();
        net.until("an answer", () -> {
            slow.forEach(each -> each.send("b"));
            net.settle(20);
            return client.receivedText().contains("\r\n\r\n");
        });
        assertTrue(client.receivedText().startsWith("HTTP/1.1 503 "), client.receivedText());
        assertTrue(client.receivedText().contains("Retry-After: "), client.receivedText());
        assertTrue(System.nanoTime() - sentNs < 2_000_000_000L, "shed only when the slow requests timed out");
        assertTrue(slow.stream().noneMatch(each -> each.disconnected), "a client that writes slowly was cut off");
        assertEquals(1, node.counters.crowdedOut());
    }

    /** Guards against the close of a connection whose whole request waits in the kernel, when a new client connects. */
    @Test
    void requestThatWaitsForMemoryIsNotEvicted() {
        Peer client = client(); // the oldest connection without a whole request, which is evicted first
        net.settle(20);
        stoppedRequests(STOPPED_REQUESTS);
        net.settle(20);
        client.send(job("c1", BODY_BYTES));
        net.settle(20);
        List<Peer> crowd = new ArrayList<>();
        for (int i = 0; i < 70; i++) {
            crowd.add(client());
        }
        serve(client, "c1", 0);
        assertFalse(crowd.isEmpty());
    }
}
