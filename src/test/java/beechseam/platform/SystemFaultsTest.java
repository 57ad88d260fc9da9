package beechseam.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beechseam.Loopback.Peer;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIf;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The whole program while calls of the system fail for a time, and while the wall clock is stepped. */
@EnabledIf("beechseam.platform.FaultControl#available")
class SystemFaultsTest extends ProgramHarness {
    private static final long HOUR_MS = 3_600_000;
    private static final String SECOND = "s-0000beef";
    private static final int BURST = 24;
    /** An executor of the rig is warm so long after its start, with the time that its budget counts over. */
    private static final long WARM_MS = 2_300;

    @TempDir
    private Path dir;

    private final List<Peer> other = new ArrayList<>();
    private final InetSocketAddress otherAt = net.listen(other);
    private FaultControl faults;
    private Process program;
    private int jobs;

    @BeforeEach
    void start() throws Exception {
        faults = FaultControl.build(dir);
        configure(dir, discoveryAt, SETTINGS);
    }

    @AfterEach
    void end() {
        if (program != null) {
            program.destroyForcibly();
        }
    }

    private Peer serve() throws Exception {
        program = startProgram(dir, "true", faults.environment());
        Peer agent = answerListRequest(2, rows(0));
        awaitReady();
        return agent;
    }

    private String rows(long secondStartedMs) {
        return row("SERVING") + "," + second(secondStartedMs);
    }

    private String second(long startedMs) {
        return row("SERVING", SECOND, otherAt).replace("\"started_ms\":0", "\"started_ms\":" + startedMs);
    }

    /** Hands in jobs at once that all run on, and gives how many of them the second executor has got. */
    private int burst() {
        int first = jobs;
        for (int i = 0; i < BURST; i++) {
            sendJob("b" + jobs++, "once", "900m");
        }
        net.settle(300);
        int count = 0;
        for (int i = first; i < jobs; i++) {
            String id = "X-Correlation-Id: b" + i + "\r\n";
            count += other.stream().anyMatch(peer -> peer.receivedText().contains(id)) ? 1 : 0;
        }
        return count;
    }

    private void restartSecond(Peer agent, int version, long startedMs) {
        agent.take();
        agent.send(answer("200 OK", list(version, second(startedMs)).replace("true", "false")));
        net.until("the next watch", () -> agent.receivedText().contains("after=" + version + "&"));
    }

    /** The second executor restarts when the wall clock of the lists, of the node or of both has moved. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "-3600000,-3600000",
                "3600000,3600000",
                "-3600000,0",
                "0,-3600000",
                "3600000,0",
                "0,3600000",
                "-1500,0",
                "1500,-1500",
                "0,0"
            })
    void restartedExecutorWarmsUpWhateverTheWallClocksDo(String steps) throws Exception {
        Peer agent = serve();
        long stepOfNode = Long.parseLong(steps.split(",")[0]);
        long stepOfLists = Long.parseLong(steps.split(",")[1]);
        int before = burst();
        net.settle(1000);
        faults.stepClock(stepOfNode);
        restartSecond(agent, 3, System.currentTimeMillis() + stepOfLists);
        int cold = burst();
        net.settle(WARM_MS);
        int warm = burst();
        assertTrue(cold <= before / 2, "cold it got " + cold + ", before " + before);
        assertTrue(warm >= before / 2, "warm it got " + warm + ", before " + before);
    }

    /** Without a descriptor to spare nobody can be accepted: that costs no core and fills no log. */
    @ParameterizedTest
    @ValueSource(longs = {FaultControl.EMFILE, FaultControl.ENOBUFS})
    void failedAcceptsAreRetriedWithBackoff(long error) throws Exception {
        serve();
        faults.failAccept(error);
        Peer client = sendJob("c1", "once", "20000m");
        net.settle(1500);
        long failed = faults.failed();
        assertTrue(failed >= 2 && failed <= 100, failed + " accepts failed");
        assertTrue(Files.readString(dir.resolve("log")).lines().count() < 40);
        faults.failAccept(0);
        long begun = System.nanoTime();
        net.until("the attempt", () -> executor.size() + other.size() > 0);
        assertTrue(System.nanoTime() - begun < 500_000_000L, "the pause is short beside a client's patience");
        assertEquals("", client.receivedText());
        net.until(
                "the attempt whole",
                () -> Stream.concat(executor.stream(), other.stream())
                        .anyMatch(peer -> peer.receivedText().endsWith("\r\n\r\nbody")));
    }

    /** A moment without descriptors is no fault of the executors: the request waits for one. */
    @Test
    void attemptWaitsWhileNoSocketCanBeOpened() throws Exception {
        serve();
        faults.failSocket(FaultControl.EMFILE);
        assertAttemptWaitsUntil(() -> faults.failSocket(0));
    }

    @Test
    void attemptWaitsWhileNoPortIsFree() throws Exception {
        serve();
        faults.failConnect(FaultControl.EADDRNOTAVAIL);
        assertAttemptWaitsUntil(() -> faults.failConnect(0));
    }

    private void assertAttemptWaitsUntil(Runnable mended) {
        Peer client = sendJob("c1", "once", "20000m");
        net.settle(600);
        assertEquals("", client.receivedText(), "neither refused nor failed");
        mended.run();
        net.until("the attempt", () -> executor.size() + other.size() == 1);
        assertTrue(faults.failed() >= 2 && faults.failed() <= 60, faults.failed() + " calls failed");
    }

    /** That may be the executors' fault: what never ran is refused, and later jobs are served again. */
    @ParameterizedTest
    @ValueSource(longs = {FaultControl.ENETUNREACH, FaultControl.EHOSTUNREACH, FaultControl.ETIMEDOUT})
    void temporarilyUnreachableExecutorsLoseNothing(long error) throws Exception {
        serve();
        faults.failConnect(error);
        Peer client = sendJob("c1", "once", "1500m");
        net.until("an answer", () -> client.receivedText().contains("\r\n\r\n"));
        assertTrue(client.receivedText().startsWith("HTTP/1.1 503"), client.receivedText());
        faults.failConnect(0);
        for (int i = 2; executor.isEmpty() && other.isEmpty(); i++) {
            sendJob("c" + i, "once", "1500m");
            net.settle(200);
        }
    }
}
