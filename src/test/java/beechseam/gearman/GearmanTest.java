package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.gearman.GearmanHarness.TestPeer;
import beechseam.gearman.protocol.Packet;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterProperty;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the Gearman front end with test clients and workers on loopback. */
class GearmanTest {
    private static final String FILE = """
        {"listen":"127.0.0.1:0","name":"t","zone":"a","retry_after_ms":1500,"max_packet_kb":1,
         "functions":[
          {"name":"safe","effect":"safe","deadline_ms":60000},
          {"name":"once","effect":"unsafe","deadline_ms":60000},
          {"name":"keyed","effect":"keyed","group":"cell","window_ms":30000,"deadline_ms":60000},
          {"name":"short","effect":"unsafe","deadline_ms":300}],
         "workers":[{"client_id":"a1-*","zone":"a","cell":1},{"client_id":"b2-*","zone":"b","cell":2}]}
        """;

    private final GearmanHarness harness = new GearmanHarness(FILE);
    private final Loopback net = harness.net;
    private final GearmanServer server = harness.server;

    @AfterEach
    @AfterProperty
    void close() {
        harness.close();
    }

    private TestPeer peer() {
        return harness.peer();
    }

    private void disconnect(TestPeer testPeer) {
        harness.disconnect(testPeer);
    }

    @Test
    void jobWakesASleepingWorkerAndItsResultReachesTheClient() {
        TestPeer worker = peer().registerAndSleep("safe");
        TestPeer client = peer().send(Packet.SUBMIT_JOB, "safe", "", "load\0ed");
        String handle = client.next("JOB_CREATED");
        worker.expect("NOOP").send(Packet.GRAB_JOB_UNIQ).expect("JOB_ASSIGN_UNIQ " + handle + " safe  load ed");
        client.send(Packet.GET_STATUS, handle).expect("STATUS_RES " + handle + " 1 1 0 0");
        worker.send(Packet.WORK_STATUS, handle, "1", "4")
                .send(Packet.WORK_DATA, handle, "part")
                .send(Packet.WORK_WARNING, handle, "odd")
                .send(Packet.WORK_COMPLETE, handle, "done");
        client.expect("WORK_STATUS " + handle + " 1 4")
                .expect("WORK_DATA " + handle + " part")
                .expect("WORK_WARNING " + handle + " odd")
                .expect("WORK_COMPLETE " + handle + " done")
                .expectNothing();
        client.send(Packet.GET_STATUS, handle).expect("STATUS_RES " + handle + " 0 0 0 0");
        worker.send(Packet.GRAB_JOB_ALL).expect("NO_JOB");
    }

    /** A worker that grabs while it holds a job gets another one; a worker that does not grab gets none. */
    @Test
    void workerHoldsAsManyJobsAsItGrabs() {
        TestPeer worker = peer().registerAndSleep("safe", "once");
        TestPeer client = peer().send(Packet.SUBMIT_JOB, "safe", "", "1");
        client.expect("JOB_CREATED");
        String first = worker.grab();
        String second = client.send(Packet.SUBMIT_JOB_HIGH, "once", "", "2").next("JOB_CREATED");
        worker.expectNothing();
        worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN " + second);
        worker.send(Packet.WORK_COMPLETE, first, "x").send(Packet.WORK_COMPLETE, second, "y");
        client.expect("WORK_COMPLETE " + first + " x").expect("WORK_COMPLETE " + second + " y");
        worker.send(Packet.GRAB_JOB).expect("NO_JOB").expectNothing();
    }

    /** A worker disconnects while it runs a job, which may have run up to any point. */
    @Test
    void lostAttemptIsRetriedOnlyAsIdempotencyAllows() {
        TestPeer client = peer().send(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES exceptions");
        TestPeer first = peer().registerAndSleep("safe", "once");
        client.send(Packet.SUBMIT_JOB, "once", "", "x");
        String once = client.next("JOB_CREATED");
        assertEquals(once, first.grab());
        TestPeer second = peer().registerAndSleep("safe", "once");
        disconnect(first);
        client.expect("WORK_EXCEPTION " + once).expect("WORK_FAIL " + once);
        second.expectNothing();

        client.send(Packet.SUBMIT_JOB, "safe", "", "y");
        String safe = client.next("JOB_CREATED");
        assertEquals(safe, second.grab());
        TestPeer third = peer().registerAndSleep("safe");
        disconnect(second);
        assertEquals(safe, third.grab(), "a safe job runs again elsewhere");
        third.send(Packet.WORK_COMPLETE, safe, "z");
        client.expect("WORK_COMPLETE " + safe + " z").expectNothing();
    }

    @Test
    void keyedRetryStaysInItsDeduplicationScope() {
        TestPeer client = peer().send(Packet.SUBMIT_JOB, "keyed", "", "x").expect("ERROR NO_KEY");
        TestPeer first = peer().send(Packet.SET_CLIENT_ID, "a1-x").registerAndSleep("keyed");
        client.send(Packet.SUBMIT_JOB, "keyed", "k", "x");
        String handle = client.next("JOB_CREATED");
        first.grab();
        TestPeer otherCell = peer().send(Packet.SET_CLIENT_ID, "b2-x").registerAndSleep("keyed");
        TestPeer sameCell = peer().send(Packet.SET_CLIENT_ID, "a1-y").registerAndSleep("keyed");
        otherCell.sync();
        sameCell.sync();
        disconnect(first);
        assertEquals(handle, sameCell.grab());
        otherCell.expectNothing();
    }

    /** A unique key is submitted again while its job is alive. */
    @Test
    void sameUniqueCoalescesAndBothClientsAreAnswered() {
        TestPeer worker = peer().registerAndSleep("once");
        TestPeer one = peer().send(Packet.SUBMIT_JOB, "once", "key", "x");
        String handle = one.next("JOB_CREATED");
        TestPeer two = peer().send(Packet.SUBMIT_JOB, "once", "key", "x");
        two.expect("JOB_CREATED " + handle);
        TestPeer leavingClient =
                peer().send(Packet.SUBMIT_JOB, "once", "key", "x").expect("JOB_CREATED");
        assertEquals(handle, worker.grab());
        disconnect(leavingClient);
        two.send(Packet.GET_STATUS_UNIQUE, "key").expect("STATUS_RES_UNIQUE key 1 1 0 0");
        worker.send(Packet.WORK_COMPLETE, handle, "r")
                .send(Packet.GRAB_JOB)
                .expect("NO_JOB")
                .expectNothing();
        one.expect("WORK_COMPLETE " + handle + " r").expectNothing();
        two.expect("WORK_COMPLETE " + handle + " r").expectNothing();
        assertEquals(1, server.counters().attemptsSent);
        one.send(Packet.SUBMIT_JOB, "once", "key", "x");
        assertNotEquals(handle, one.next("JOB_CREATED"), "a key can be used again after its job has ended");
    }

    /** A job without workers is shed before its deadline, and the client receives the time to retry after. */
    @Test
    void shedJobReportsRetryAfterThenFailsOnce() {
        TestPeer exceptionClient = peer().send(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES");
        TestPeer plainClient = peer();
        String a = exceptionClient.send(Packet.SUBMIT_JOB, "short", "", "x").next("JOB_CREATED");
        String b = plainClient.send(Packet.SUBMIT_JOB, "short", "", "x").next("JOB_CREATED");
        exceptionClient
                .expect("WORK_EXCEPTION " + a + " busy: retry after 1.500 s")
                .expect("WORK_FAIL " + a)
                .expectNothing();
        plainClient.expect("WORK_FAIL " + b).expectNothing();
        assertEquals(2, server.counters().shed());
    }

    /** A worker does not answer: the client receives a failure at the deadline, and a later result is discarded. */
    @Test
    void deadlineExpiresWhileTheJobIsInFlight() {
        TestPeer worker = peer().registerAndSleep("short");
        TestPeer client = peer().send(Packet.SUBMIT_JOB, "short", "", "x");
        String handle = client.next("JOB_CREATED");
        worker.grab();
        client.expect("WORK_FAIL " + handle);
        client.send(Packet.SUBMIT_JOB, "short", "", "y").expect("JOB_CREATED");
        worker.expectNothing();
        client.expect("WORK_FAIL");
        worker.send(Packet.WORK_COMPLETE, handle, "late").expectNothing();
        client.expectNothing();
    }

    @Test
    void workerTimeLimitEndsTheAttempt() {
        TestPeer worker = peer().send(Packet.CAN_DO_TIMEOUT, "once", "1").send(Packet.PRE_SLEEP);
        TestPeer client = peer().send(Packet.SUBMIT_JOB, "once", "", "x");
        String handle = client.next("JOB_CREATED");
        worker.grab();
        client.expect("WORK_FAIL " + handle).expectNothing();
    }

    @Test
    void withdrawnAbilitiesGetNoNewJobs() {
        TestPeer worker = peer().registerAndSleep("safe", "once")
                .send(Packet.CANT_DO, "safe")
                .sync();
        TestPeer client = peer().send(Packet.SUBMIT_JOB, "safe", "", "x").expect("JOB_CREATED");
        worker.expectNothing();
        client.send(Packet.SUBMIT_JOB, "once", "", "x").expect("JOB_CREATED");
        // The worker withdraws its abilities after NOOP and before the grab, which has to check them again.
        worker.expect("NOOP")
                .send(Packet.RESET_ABILITIES)
                .send(Packet.GRAB_JOB)
                .expect("NO_JOB")
                .expectNothing();
        worker.send(Packet.CAN_DO, "safe").send(Packet.GRAB_JOB).expect("JOB_ASSIGN");
    }

    @Test
    void backgroundJobsRunWithoutAClient() {
        TestPeer client = peer();
        client.send(Packet.SUBMIT_JOB_BG, "once", "", "x").send(Packet.SUBMIT_JOB_LOW_BG, "once", "", "y");
        String first = client.next("JOB_CREATED");
        String second = client.next("JOB_CREATED");
        client.sync();
        disconnect(client);
        TestPeer worker = peer().send(Packet.CAN_DO, "once").send(Packet.GRAB_JOB);
        assertEquals(first, worker.next("JOB_ASSIGN").split(" ")[0]);
        worker.send(Packet.WORK_COMPLETE, first, "").send(Packet.GRAB_JOB);
        assertEquals(second, worker.next("JOB_ASSIGN").split(" ")[0]);
        worker.send(Packet.WORK_FAIL, second).sync();
        assertEquals(1, server.counters().served());
    }

    @Test
    void clientDisconnectCancelsItsForegroundJob() {
        TestPeer client = peer().send(Packet.SUBMIT_JOB_LOW, "once", "", "x");
        client.expect("JOB_CREATED").sync();
        disconnect(client);
        TestPeer admin = peer();
        net.until("the job to be abandoned", () -> server.jobs.ended(Jobs.End.LEFT) == 1);
        TestPeer worker = peer().registerAndSleep("once");
        worker.expectNothing();
        admin.peer.send("status\n");
        net.until(
                "status",
                () -> admin.peer
                        .receivedText()
                        .equals("keyed\t0\t0\t0\nonce\t0\t0\t1\nsafe\t0\t0\t0\nshort\t0\t0\t0\n.\n"));
    }

    @Test
    void adminCommandsAreAnswered() {
        peer().send(Packet.SET_CLIENT_ID, "a1 x").registerAndSleep("safe").sync();
        Loopback.Peer admin = peer().peer.send("workers\nversion\nwhat\n");
        net.until("three answers", () -> admin.receivedText().endsWith("server+command\n"));
        String answers = admin.receivedText();
        assertTrue(answers.contains("127.0.0.1 a1_x : safe\n"), answers);
        assertTrue(answers.contains(".\nOK "), answers);
        assertTrue(answers.contains("ERR UNKNOWN_COMMAND"), answers);
    }

    @Test
    void badInputIsAnsweredOrDisconnectedAndIsolated() {
        TestPeer worker = peer().registerAndSleep("safe");
        TestPeer invalidPeer = peer();
        invalidPeer.send(Packet.SUBMIT_JOB, "none", "", "x").expect("ERROR UNKNOWN_FUNCTION");
        invalidPeer.send(Packet.WORK_COMPLETE, "H:t:99", "x").expect("ERROR JOB_NOT_FOUND");
        invalidPeer.send(Packet.SUBMIT_JOB, "short").expect("ERROR BAD_ARGUMENTS");
        invalidPeer.send(Packet.OPTION_REQ, "magic").expect("ERROR UNKNOWN_OPTION");
        invalidPeer.send(Packet.CAN_DO_TIMEOUT, "safe", "soon").expect("ERROR BAD_ARGUMENTS");
        invalidPeer.send(Packet.JOB_ASSIGN, "a", "b", "c").expect("ERROR UNKNOWN_COMMAND");
        invalidPeer.peer.write(ByteBuffer.wrap(new byte[] {0, 'R', 'E', 'Q', 0, 0, 0, 99, 0, 0, 0, 0}));
        invalidPeer.expect("ERROR UNKNOWN_COMMAND").expectNothing();
        for (byte[] bytes : new byte[][] {
            {0, 'R', 'E', 'S', 0, 0, 0, 1, 0, 0, 0, 0},
            {0, 'R', 'E', 'Q', 0, 0, 0, 7, 0x7f, 0, 0, 0},
            {0, 'R', 'E', 'Q', 0, 0, 0, 7, -1, 0, 0, 0},
            {(byte) 0x80, 1, 2, 3}
        }) {
            TestPeer malformedPeer = peer();
            malformedPeer.peer.write(ByteBuffer.wrap(bytes));
            malformedPeer.expect("ERROR");
            net.until("the server to disconnect", () -> malformedPeer.peer.disconnected);
        }
        TestPeer client = peer().send(Packet.SUBMIT_JOB, "safe", "", "x").expect("JOB_CREATED");
        worker.send(Packet.WORK_COMPLETE, worker.grab(), "fine");
        client.expect("WORK_COMPLETE");
    }

    /** Runs random steps of a client and workers, and compares the answers with a model of those still expected. */
    @Property(seed = "4730", tries = 40)
    void eachSubmissionEndsOnceAndNoNonIdempotentJobRunsTwice(@ForAll long seed) throws Exception {
        GearmanTest each = new GearmanTest(); // jqwik runs all tries on one instance, so each try creates its own
        try {
            each.randomSteps(new Random(seed));
        } finally {
            each.close();
        }
    }

    private void randomSteps(Random random) {
        String[] functions = {"safe", "once"};
        TestPeer client = peer();
        List<TestPeer> workers = new ArrayList<>();
        Map<TestPeer, Set<String>> heldJobs = new HashMap<>();
        Map<String, Integer> expectedAnswers = new HashMap<>();
        Map<String, Integer> runCounts = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            TestPeer worker = workers.isEmpty() ? null : workers.get(random.nextInt(workers.size()));
            int action = random.nextInt(8);
            if (action < 2) {
                String key = random.nextBoolean() ? "" : "k" + random.nextInt(3);
                client.send(Packet.SUBMIT_JOB, functions[random.nextInt(2)], key, "x");
            } else if (action == 2 || worker == null) {
                workers.add(peer().send(Packet.CAN_DO, "safe").send(Packet.CAN_DO, "once"));
            } else if (action == 3) {
                disconnect(worker);
                workers.remove(worker);
                heldJobs.remove(worker);
            } else if (action == 4) {
                worker.send(Packet.PRE_SLEEP);
            } else if (action >= 5
                    && action < 7
                    && !heldJobs.getOrDefault(worker, Set.of()).isEmpty()) {
                worker.send(
                        random.nextInt(3) == 0 ? Packet.WORK_FAIL : Packet.WORK_COMPLETE,
                        removeFirst(heldJobs.get(worker)),
                        "r");
            } else {
                worker.send(Packet.GRAB_JOB);
            }
            processReceived(client, workers, heldJobs, expectedAnswers, runCounts);
        }
        List.copyOf(workers).forEach(this::disconnect);
        workers.clear();
        TestPeer lastWorker = peer().send(Packet.CAN_DO, "safe").send(Packet.CAN_DO, "once");
        workers.add(lastWorker);
        for (int i = 0; i < 200 && expectedAnswers.values().stream().anyMatch(n -> n > 0); i++) {
            lastWorker.send(Packet.GRAB_JOB);
            processReceived(client, workers, heldJobs, expectedAnswers, runCounts);
            if (!heldJobs.getOrDefault(lastWorker, Set.of()).isEmpty()) {
                lastWorker.send(Packet.WORK_COMPLETE, removeFirst(heldJobs.get(lastWorker)), "r");
            }
        }
        processReceived(client, workers, heldJobs, expectedAnswers, runCounts);
        expectedAnswers.forEach((handle, n) -> assertEquals(0, n, "expected answers for " + handle));
        assertEquals(0, server.counters().faults);
    }

    private static String removeFirst(Set<String> handles) {
        String first = handles.iterator().next();
        handles.remove(first);
        return first;
    }

    /** Waits until all packets have arrived, and applies them to the model. */
    private void processReceived(
            TestPeer client,
            List<TestPeer> workers,
            Map<TestPeer, Set<String>> heldJobs,
            Map<String, Integer> expectedAnswers,
            Map<String, Integer> runCounts) {
        harness.connectedPeers.forEach(TestPeer::sync);
        // The second round receives the packets that one peer's input caused for another.
        harness.connectedPeers.forEach(TestPeer::sync);
        for (TestPeer worker : workers) {
            for (String packet = worker.received.poll(); packet != null; packet = worker.received.poll()) {
                String[] fields = packet.split(" ");
                if (fields[0].equals("JOB_ASSIGN")) {
                    heldJobs.computeIfAbsent(worker, x -> new LinkedHashSet<>()).add(fields[1]);
                    int times = runCounts.merge(fields[1], 1, Integer::sum);
                    assertTrue(fields[2].equals("safe") || times == 1, "an unsafe job ran twice");
                }
            }
        }
        for (String packet = client.received.poll(); packet != null; packet = client.received.poll()) {
            String[] fields = packet.split(" ");
            if (fields[0].equals("JOB_CREATED")) {
                expectedAnswers.put(fields[1], 1); // a connection that joins a job twice gets one answer
            } else if (fields[0].equals("WORK_COMPLETE") || fields[0].equals("WORK_FAIL")) {
                assertEquals(
                        1,
                        expectedAnswers.merge(fields[1], -1, Integer::sum) + 1,
                        "exactly one final answer: " + packet);
            }
        }
    }
}
