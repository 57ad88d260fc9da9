package beechseam.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beechseam.Loopback.Peer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests repeated callbacks. A callback names the request and the executor but not the attempt, and an executor repeats
 * it until it is answered. So an event of one attempt must never be applied to a later attempt at the same executor,
 * and a later attempt must not overtake the cancellation of the first.
 */
class RepeatedCallbackTest extends NodeHarness {
    private static final String FIRST = EXECUTOR_ID;
    private static final String SECOND = "s-0000beef";
    /** Longer than the shortest latency objective of the settings, after which an executor is retried. */
    private static final long RETRY_WAIT_MS = 250;

    private final List<Peer> other = new ArrayList<>();
    private final InetSocketAddress otherAt = net.listen(other);
    private PlatformNode node;

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }

    private void start(String settings, boolean listsSecondExecutor) {
        node = newNode(settings);
        answerFirstListRequest(node);
        if (listsSecondExecutor) {
            String second = row("SERVING", SECOND, otherAt);
            discovery.get(0).take();
            discovery.get(0).send(answer("200 OK", list(3, row("SERVING") + "," + second)));
            net.until("both executors listed", () -> node.engine.routeTable().size() == 2);
        }
    }

    /** Returns the number of attempts that have reached the executor. */
    private static long attempts(List<Peer> at) {
        return at.stream()
                .mapToLong(peer -> (peer.receivedText() + " ").split("POST ", -1).length - 1)
                .sum();
    }

    /** Answers each complete attempt with a 202 response, once: the appended "~" marks it as answered. */
    private static void accept(List<Peer> at) {
        for (Peer peer : at) {
            if (peer.receivedText().endsWith("\r\n\r\nbody")) {
                peer.unread(peer.take() + "~");
                peer.send(answer("202 Accepted", ""));
            }
        }
    }

    private void event(String state) {
        event("c1", "\"from\":\"" + FIRST + "\",\"state\":\"" + state + "\"");
    }

    /** Attempt 1 ends by a callback whose response is lost; the callback is repeated while attempt 2 runs. */
    @ParameterizedTest
    @CsvSource({
        "safe,returned",
        "once,returned",
        "keyed,returned",
        "safe,failed",
        "safe,lost",
        "keyed,failed",
        "keyed,lost"
    })
    void repeatedCallbackOfEndedAttemptEndsNoOther(String jobClass, String state) {
        start(SETTINGS, false);
        sendJob("c1", jobClass, "2000m");
        attempt(0, "c1");
        accept(executor);
        event(state);
        net.settle(RETRY_WAIT_MS);
        long before = attempts(executor);
        accept(executor);
        net.settle(20);
        event(state); // repeated, since the first response was lost
        net.settle(RETRY_WAIT_MS);
        assertEquals(before, attempts(executor), "a further attempt was sent while one runs");
    }

    /** A response that ends its attempt cannot be repeated, so the same executor may get a further attempt. */
    @Test
    void attemptEndedByItsResponseMayBeRetriedOnSameExecutor() {
        start(SETTINGS, false);
        Peer client = sendJob("c1", "once", "5000m");
        attempt(0, "c1").take();
        executor.get(0).send("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        net.until("a further attempt", () -> attempts(executor) == 1);
        accept(executor);
        event("c1", "\"from\":\"" + FIRST + "\",\"state\":\"done\",\"result\":\"r1\"");
        assertTrue(awaitResponse(client, "r1").startsWith("HTTP/1.1 200"));
    }

    /** The first attempt's cancellation is still unanswered when the hedged attempt that replaced it fails. */
    @Test
    void noRetryWhereCancellationIsPending() {
        start(SETTINGS.replace("\"SecondCopies\":false", "\"SecondCopies\":true"), true);
        for (int i = 0; i < 30; i++) { // each job adds to the retry budget
            String id = "w" + i;
            Peer warm = sendJob(id, "safe", "30000m");
            net.until("its attempt", () -> !receiverOf(id).isEmpty());
            List<Peer> at = receiverOf(id);
            accept(at);
            event(
                    id,
                    "\"from\":\"" + executorId(at) + "\",\"state\":\"done\",\"result\":\"ok\","
                            + "\"load\":{\"x0\":4}");
            awaitResponse(warm, "ok");
            awaitConnectionReusable();
        }
        executor.forEach(Peer::take);
        other.forEach(Peer::take);
        sendJob("c1", "safe", "30000m");
        net.until("the first attempt", () -> !receiverOf("c1").isEmpty());
        List<Peer> first = receiverOf("c1");
        List<Peer> second = first == executor ? other : executor;
        accept(first);
        net.until("the hedged attempt", () -> attempts(second) == 1);
        accept(second);
        event("c1", "\"from\":\"" + executorId(second) + "\",\"state\":\"started\"");
        net.until(
                "the cancellation of the first attempt",
                () -> first.stream().anyMatch(peer -> peer.receivedText().contains("DELETE")));
        event("c1", "\"from\":\"" + executorId(second) + "\",\"state\":\"failed\"");
        net.settle(2 * RETRY_WAIT_MS);
        assertEquals(1, attempts(first), "a further attempt was sent before the cancellation was confirmed");
    }

    private List<Peer> receiverOf(String id) {
        return hasReceived(executor, id) ? executor : hasReceived(other, id) ? other : List.of();
    }

    private static boolean hasReceived(List<Peer> at, String id) {
        return at.stream()
                .anyMatch(peer -> peer.receivedText().contains("X-Correlation-Id: " + id + "\r\n")
                        && peer.receivedText().endsWith("body"));
    }

    private String executorId(List<Peer> at) {
        return at == executor ? FIRST : SECOND;
    }
}
