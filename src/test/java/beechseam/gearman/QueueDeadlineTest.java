package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.TestPeer;
import beechseam.gearman.protocol.Packet;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests when queued jobs are given up while their function has no worker. */
class QueueDeadlineTest {
    private final GearmanHarness harness = new GearmanHarness("""
            {"listen":"127.0.0.1:0","name":"t","functions":[
              {"name":"f","effect":"safe","deadline_ms":300,"background_deadline_ms":3600000},
              {"name":"reversed","effect":"safe","deadline_ms":3600000,"background_deadline_ms":300}]}
            """);

    @AfterEach
    void close() {
        harness.close();
    }

    private static Stream<Arguments> pairsOfModes() {
        return Stream.of(Packet.SUBMIT_JOB_HIGH_BG, Packet.SUBMIT_JOB_BG, Packet.SUBMIT_JOB_LOW_BG)
                .flatMap(background -> Stream.of(Packet.SUBMIT_JOB_HIGH, Packet.SUBMIT_JOB, Packet.SUBMIT_JOB_LOW)
                        .map(foreground -> Arguments.of(background, foreground)));
    }

    private TestPeer submit(Packet kind, String function) {
        TestPeer client = harness.peer().send(kind, function, "", "x");
        client.next("JOB_CREATED");
        return client;
    }

    /** Guards against foreground jobs that get no answer because a background job before them has a later deadline. */
    @ParameterizedTest
    @MethodSource("pairsOfModes")
    void foregroundJobBehindBackgroundJobIsAnsweredAtItsDeadline(Packet background, Packet foreground) {
        submit(background, "f");
        submit(foreground, "f").next("WORK_FAIL");
        submit(foreground, "f").next("WORK_FAIL"); // the timer is set for the background job again
        assertEquals(1, harness.server.jobs.size(), "the background job waits for its own deadline");
    }

    /** Guards against the same with the deadlines the other way round. */
    @Test
    void backgroundJobBehindForegroundJobIsGivenUpAtItsDeadline() {
        TestPeer patient = submit(Packet.SUBMIT_JOB, "reversed");
        submit(Packet.SUBMIT_JOB_BG, "reversed");
        harness.net.until("the end of the background job", () -> harness.server.jobs.size() == 1);
        patient.sync();
        assertTrue(patient.received.isEmpty());
    }

    /** Guards against the same behind a job whose start was delayed. */
    @Test
    void foregroundJobBehindDelayedJobIsAnsweredAtItsDeadline() {
        long dueSeconds = harness.net.loop.now() / 1_000_000_000L + 1;
        TestPeer batch = harness.peer().send(Packet.SUBMIT_JOB_EPOCH, "f", "", Long.toString(dueSeconds), "x");
        batch.next("JOB_CREATED");
        harness.net.until("the due time", () -> harness.server.find("f").queues.size() == 1);
        submit(Packet.SUBMIT_JOB, "f").next("WORK_FAIL");
    }
}
