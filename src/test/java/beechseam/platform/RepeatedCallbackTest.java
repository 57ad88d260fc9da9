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
 * A call-back names the request and the executor but not the attempt, and an executor repeats it until it is
 * answered. So an event of one attempt must never be booked on a further one at the same executor, and a
 * further one must not overtake the call that gives the first up.
 */
class RepeatedCallbackTest extends NodeHarness {
    private static final String FIRST = EXECUTOR_ID;
    private static final String SECOND = "s-0000beef";
    /** Longer than the least latency objective of the settings, after which an executor is tried again. */
    private static final long RETRY_WAIT_MS = 250;

    private final List<Peer> other = new ArrayList<>();
    private final InetSocketAddress otherAt = net.standIn(other);
    private PlatformNode node;

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }

    private void start(String settings, boolean two) {
        node = newNode(settings);
        answerFirstListRequest(node);
        if (two) {
            String second = row("SERVING", SECOND, otherAt);
            discovery.get(0).take();
            discovery.get(0).say(answer("200 OK", list(3, row("SERVING") + "," + second)));
            net.until("both listed", () -> node.engine.routeTable().size() == 2);
        }
    }

    /** How many attempts have reached the executor whole. */
    private static long attempts(List<Peer> at) {
        return at.stream()
                .mapToLong(peer -> (peer.heard() + " ").split("POST ", -1).length - 1)
                .sum();
    }

    private static void accept(List<Peer> at) {
        for (Peer peer : at) {
            if (peer.heard().endsWith("\r\n\r\nbody")) {
                peer.unread(peer.take() + "~");
                peer.say(answer("202 Accepted", ""));
            }
        }
    }

    private void event(String state) {
        event("c1", "\"from\":\"" + FIRST + "\",\"state\":\"" + state + "\"");
    }

    /** Attempt 1 ends by a call-back whose answer is lost; attempt 2 runs when that is repeated. */
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
        event(state); // its first answer was lost on the way
        net.settle(RETRY_WAIT_MS);
        assertEquals(before, attempts(executor), "another attempt beside one that runs");
    }

    /** What ends an attempt in its own answer can't be told again: the executor may have it once more. */
    @Test
    void attemptEndedByItsResponseMayBeRetriedOnSameExecutor() {
        start(SETTINGS, false);
        Peer client = sendJob("c1", "once", "5000m");
        attempt(0, "c1").take();
        executor.get(0).say("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        net.until("a further attempt", () -> attempts(executor) == 1);
        accept(executor);
        event("c1", "\"from\":\"" + FIRST + "\",\"state\":\"done\",\"result\":\"r1\"");
        assertTrue(awaitResponse(client, "r1").startsWith("HTTP/1.1 200"));
    }

    /** The call that gives an attempt up is not answered yet when the copy that had taken its place fails. */
    @Test
    void noRetryWhereCancellationIsPending() {
        start(SETTINGS.replace("\"SecondCopies\":false", "\"SecondCopies\":true"), true);
        for (int i = 0; i < 30; i++) { // what is saved up for repeats grows by jobs
            String id = "w" + i;
            Peer warm = sendJob(id, "safe", "30000m");
            net.until("its attempt", () -> !find(id).isEmpty());
            List<Peer> at = find(id);
            accept(at);
            event(id, "\"from\":\"" + name(at) + "\",\"state\":\"done\",\"result\":\"ok\"," + "\"load\":{\"x0\":4}");
            awaitResponse(warm, "ok");
            awaitConnectionReusable();
        }
        executor.forEach(Peer::take);
        other.forEach(Peer::take);
        sendJob("c1", "safe", "30000m");
        net.until("the first attempt", () -> !find("c1").isEmpty());
        List<Peer> first = find("c1");
        List<Peer> then = first == executor ? other : executor;
        accept(first);
        net.until("a copy", () -> attempts(then) == 1);
        accept(then);
        event("c1", "\"from\":\"" + name(then) + "\",\"state\":\"started\"");
        net.until(
                "the first given up",
                () -> first.stream().anyMatch(peer -> peer.heard().contains("DELETE")));
        event("c1", "\"from\":\"" + name(then) + "\",\"state\":\"failed\"");
        net.settle(2 * RETRY_WAIT_MS);
        assertEquals(1, attempts(first), "a further attempt where the first may still be held");
    }

    private List<Peer> find(String id) {
        return has(executor, id) ? executor : has(other, id) ? other : List.of();
    }

    private static boolean has(List<Peer> at, String id) {
        return at.stream()
                .anyMatch(peer -> peer.heard().contains("X-Correlation-Id: " + id + "\r\n")
                        && peer.heard().endsWith("body"));
    }

    private String name(List<Peer> at) {
        return at == executor ? FIRST : SECOND;
    }
}
