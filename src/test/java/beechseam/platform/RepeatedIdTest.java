package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests requests whose id comes again after the first client with this id has left. */
class RepeatedIdTest extends NodeHarness {
    /** How far the first attempt was when its client left. */
    private enum Progress {
        SENT,
        ACCEPTED,
        DONE_LATER
    }

    private static final String BRIEF_SETTINGS =
            SETTINGS.replace("\"DeadlineNs\":60000000000", "\"DeadlineNs\":2000000000");

    private PlatformNode node;

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }

    private void start(String settings) {
        node = newNode(settings);
        answerFirstListRequest(node);
    }

    private void leave(Peer client) {
        long before = node.counters.clientsDisconnected;
        client.close();
        net.until("the end of the client", () -> node.counters.clientsDisconnected > before);
    }

    /** Sends a job whose client leaves after its attempt has reached the executor. */
    private void abandonedJob(String jobClass, Progress progress) {
        Peer client = sendJob("c1", jobClass, "20000m");
        Peer at = attempt(0, "c1");
        if (progress != Progress.SENT) {
            at.send(answer("202 Accepted", ""));
            net.settle(20);
        }
        leave(client);
        if (progress == Progress.DONE_LATER) {
            done("c1", "ok");
        }
    }

    private long attemptsSent() {
        return node.counters.attemptsSent;
    }

    /** Guards against a job that runs twice, since its id came again after its client had left (picture c). */
    @ParameterizedTest
    @CsvSource({"once,SENT", "once,ACCEPTED", "once,DONE_LATER", "keyed,SENT", "keyed,ACCEPTED", "keyed,DONE_LATER"})
    void idOfJobThatMayHaveRunIsRefused(String jobClass, Progress progress) {
        start(SETTINGS);
        abandonedJob(jobClass, progress);
        assertTrue(awaitResponse(sendJob("c1", jobClass, "20000m"), "may still run\n")
                .startsWith("HTTP/1.1 409"));
        assertEquals(1, attemptsSent());
    }

    /** An idempotent job may run again under its id. */
    @Test
    void idOfIdempotentJobMayComeAgain() {
        start(SETTINGS);
        abandonedJob("safe", Progress.ACCEPTED);
        sendJob("c1", "safe", "20000m");
        net.until("the second attempt", () -> attemptsSent() == 2);
    }

    /** The longest deadline of all classes bounds how long an id is refused. */
    @Test
    void idIsFreeAgainAfterTheLongestDeadline() {
        start(BRIEF_SETTINGS);
        Peer client = sendJob("c1", "once", "1800m");
        attempt(0, "c1");
        leave(client);
        net.settle(2100);
        sendJob("c1", "once", "1800m");
        net.until("a further attempt", () -> attemptsSent() == 2);
    }

    /** The id of a job that was handed back unprocessed is not refused. */
    @Test
    void idOfJobThatDidNotRunMayComeAgain() {
        start(BRIEF_SETTINGS);
        Peer client = sendJob("c1", "once", "1800m");
        net.until("the answer", () -> {
            executor.forEach(RepeatedIdTest::handBack);
            return !client.receivedText().isEmpty();
        });
        long before = attemptsSent();
        sendJob("c1", "once", "1800m");
        net.until("a further attempt", () -> attemptsSent() > before);
    }

    private static void handBack(Peer at) {
        if (at.receivedText().endsWith("\r\n\r\nbody")) {
            at.take();
            at.send("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        }
    }
}
