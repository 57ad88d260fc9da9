package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.TestPeer;
import beechseam.gearman.protocol.Packet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that one client cannot take all memory or all jobs of a server, which others then cannot use. */
class ClientShareTest {
    private static final int OTHER_CLIENTS = 4;
    private static final int JOBS_OF_EACH = 10;
    private static final String SMALL = "x";

    private GearmanHarness harness;
    private int submitted;

    @AfterEach
    void close() {
        harness.close();
    }

    private void start(String limits) {
        harness = new GearmanHarness("{\"listen\":\"127.0.0.1:0\",\"name\":\"t\"," + limits
                + ",\"functions\":[{\"name\":\"f\",\"effect\":\"safe\",\"deadline_ms\":3600000}]}");
    }

    /** Submits a job under a new key and returns the name of the answer. */
    private String submit(TestPeer client, Packet kind, String workload) {
        client.send(kind, "f", "key-" + submitted++, workload);
        return client.next("").split(" ")[0];
    }

    private int submitUntilRefused(TestPeer client, Packet kind, String workload) {
        int accepted = 0;
        while (submit(client, kind, workload).equals("JOB_CREATED")) {
            accepted++;
        }
        return accepted;
    }

    private void assertOthersAreServed(Packet kind, String workload) {
        for (int i = 0; i < OTHER_CLIENTS; i++) {
            TestPeer other = harness.peer();
            for (int j = 0; j < JOBS_OF_EACH; j++) {
                assertEquals("JOB_CREATED", submit(other, kind, workload), "client " + i + ", job " + j);
            }
        }
    }

    /** Guards against one client that fills the memory for jobs, so that others are refused (picture b). */
    @ParameterizedTest
    @ValueSource(strings = {"SUBMIT_JOB", "SUBMIT_JOB_BG"})
    void clientThatFillsTheMemoryLeavesRoomForOthers(Packet kind) {
        start("\"max_memory_mb\":1");
        submitUntilRefused(harness.peer(), kind, SMALL);
        long share = harness.server.budget.maxWorkloadBytes();
        assertTrue(harness.server.budget.workloadBytes() > share * 7 / 8, "a client alone may use most of it");
        assertOthersAreServed(kind, SMALL);
    }

    /** Guards against the same by long workloads, which are reserved before they are read. */
    @Test
    void clientWithLongWorkloadsLeavesRoomForOthers() {
        start("\"max_memory_mb\":4");
        submitUntilRefused(harness.peer(), Packet.SUBMIT_JOB_BG, "x".repeat(50_000));
        assertOthersAreServed(Packet.SUBMIT_JOB_BG, "x".repeat(5_000));
    }

    /** Guards against the same by the number of jobs. */
    @Test
    void clientWithManyJobsLeavesRoomForOthers() {
        start("\"max_jobs\":900");
        assertEquals(800, submitUntilRefused(harness.peer(), Packet.SUBMIT_JOB_BG, SMALL));
        assertOthersAreServed(Packet.SUBMIT_JOB_BG, SMALL);
    }

    /** Guards against one client that names ever new functions, so that others cannot name one (picture b). */
    @Test
    void clientThatNamesManyFunctionsLeavesRoomForOthers() {
        harness = new GearmanHarness(
                "{\"listen\":\"127.0.0.1:0\",\"name\":\"t\",\"max_functions\":90,\"functions\":\"*\"}");
        TestPeer greedy = harness.peer();
        int named = 0;
        while (submitTo("greedy-" + named, greedy).equals("JOB_CREATED")) {
            named++;
        }
        assertEquals(80, named, "a client alone may name eight ninths of the functions");
        for (int i = 0; i < OTHER_CLIENTS; i++) {
            assertEquals("JOB_CREATED", submitTo("other-" + i, harness.peer()));
            harness.peer().send(Packet.CAN_DO, "worker-" + i).expectNothing();
        }
    }

    private static String submitTo(String function, TestPeer client) {
        return client.send(Packet.SUBMIT_JOB_BG, function, "", SMALL).next("").split(" ")[0];
    }

    /** Clients that all want more than there is get equal shares. */
    @Test
    void greedyClientsGetEqualShares() {
        start("\"max_jobs\":1700");
        TestPeer first = harness.peer();
        TestPeer second = harness.peer();
        int accepted = 0;
        while (submit(first, Packet.SUBMIT_JOB_BG, SMALL).equals("JOB_CREATED")
                && submit(second, Packet.SUBMIT_JOB_BG, SMALL).equals("JOB_CREATED")) {
            accepted++;
        }
        assertEquals(800, accepted, 1);
        assertOthersAreServed(Packet.SUBMIT_JOB_BG, SMALL);
    }
}
