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

/** Runs the whole program while system calls fail for a time, and while the wall clock is stepped. */
@EnabledIf("beechseam.platform.FaultControl#available")
class SystemFaultsTest extends ProgramHarness {
    private static final long HOUR_MS = 3_600_000;
    private static final String OTHER_ID = "s-0000beef";
    private static final int BURST = 24;
    /** Duration of the slow start of the harness's executors, with the period over which the budget counts. */
    private static final long WARM_UP_MS = 2_300;

    @TempDir
    private Path dir;

    private final List<Peer> otherExecutor = new ArrayList<>();
    private final InetSocketAddress otherAddress = net.listen(otherExecutor);
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

    private String rows(long otherStartedMs) {
        return row("SERVING") + "," + otherEntry(otherStartedMs);
    }

    private String otherEntry(long startedMs) {
        return row("SERVING", OTHER_ID, otherAddress).replace("\"started_ms\":0", "\"started_ms\":" + startedMs);
    }

    /** Submits jobs at once, none of which ends; returns how many of them the other executor has received. */
    private int submitBurst() {
        int first = jobs;
        for (int i = 0; i < BURST; i++) {
            sendJob("b" + jobs++, "once", "900m");
        }
        net.settle(300);
        int count = 0;
        for (int i = first; i < jobs; i++) {
            String id = "X-Correlation-Id: b" + i + "\r\n";
            count += otherExecutor.stream().anyMatch(peer -> peer.receivedText().contains(id)) ? 1 : 0;
        }
        return count;
    }

    private void restartOther(Peer agent, int version, long startedMs) {
        agent.take();
        agent.send(answer("200 OK", list(version, otherEntry(startedMs)).replace("true", "false")));
        net.until("the next watch", () -> agent.receivedText().contains("after=" + version + "&"));
    }

    /** The other executor restarts after the wall clock of the lists, of the node or of both has been stepped. */
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
    void restartedExecutorWarmsUpDespiteWallClockSteps(String steps) throws Exception {
        Peer agent = serve();
        long stepOfNode = Long.parseLong(steps.split(",")[0]);
        long stepOfLists = Long.parseLong(steps.split(",")[1]);
        int before = submitBurst();
        net.settle(1000);
        faults.stepClock(stepOfNode);
        restartOther(agent, 3, System.currentTimeMillis() + stepOfLists);
        int cold = submitBurst();
        net.settle(WARM_UP_MS);
        int warm = submitBurst();
        assertTrue(cold <= before / 2, "after the restart it got " + cold + ", before " + before);
        assertTrue(warm >= before / 2, "after the slow start it got " + warm + ", before " + before);
    }

    /** Accepts that fail for lack of descriptors or memory are retried without a busy loop or a flood of logs. */
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
        long restoredAt = System.nanoTime();
        net.until("the attempt", () -> executor.size() + otherExecutor.size() > 0);
        assertTrue(
                System.nanoTime() - restoredAt < 500_000_000L,
                "the retry pause is short compared to a client's timeout");
        assertEquals("", client.receivedText());
        net.until(
                "the complete attempt",
                () -> Stream.concat(executor.stream(), otherExecutor.stream())
                        .anyMatch(peer -> peer.receivedText().endsWith("\r\n\r\nbody")));
    }

    /** A shortage of descriptors is not a fault of the executors: the request waits for a free one. */
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

    private void assertAttemptWaitsUntil(Runnable endFault) {
        Peer client = sendJob("c1", "once", "20000m");
        net.settle(600);
        assertEquals("", client.receivedText(), "neither shed nor failed");
        endFault.run();
        net.until("the attempt", () -> executor.size() + otherExecutor.size() == 1);
        assertTrue(faults.failed() >= 2 && faults.failed() <= 60, faults.failed() + " calls failed");
    }

    /** These errors may be the executors' fault: a job that never ran is shed, and later jobs are sent again. */
    @ParameterizedTest
    @ValueSource(longs = {FaultControl.ENETUNREACH, FaultControl.EHOSTUNREACH, FaultControl.ETIMEDOUT})
    void temporarilyUnreachableExecutorsLoseNothing(long error) throws Exception {
        serve();
        faults.failConnect(error);
        Peer client = sendJob("c1", "once", "1500m");
        net.until("an answer", () -> client.receivedText().contains("\r\n\r\n"));
        assertTrue(client.receivedText().startsWith("HTTP/1.1 503"), client.receivedText());
        faults.failConnect(0);
        for (int i = 2; executor.isEmpty() && otherExecutor.isEmpty(); i++) {
            sendJob("c" + i, "once", "1500m");
            net.settle(200);
        }
    }
}
