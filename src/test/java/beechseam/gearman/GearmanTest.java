package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.gearman.GearmanHarness.StandIn;
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

/** The Gearman front against stand-in clients and workers on loopback. */
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

    private StandIn peer() {
        return harness.peer();
    }

    private void drop(StandIn s) {
        harness.drop(s);
    }

    @Test
    void jobWakesASleepingWorkerAndItsResultReachesTheClient() {
        StandIn worker = peer().can("safe");
        StandIn client = peer().say(Packet.SUBMIT_JOB, "safe", "", "load\0ed");
        String handle = client.next("JOB_CREATED");
        worker.expect("NOOP").say(Packet.GRAB_JOB_UNIQ).expect("JOB_ASSIGN_UNIQ " + handle + " safe  load ed");
        client.say(Packet.GET_STATUS, handle).expect("STATUS_RES " + handle + " 1 1 0 0");
        worker.say(Packet.WORK_STATUS, handle, "1", "4")
                .say(Packet.WORK_DATA, handle, "part")
                .say(Packet.WORK_WARNING, handle, "odd")
                .say(Packet.WORK_COMPLETE, handle, "done");
        client.expect("WORK_STATUS " + handle + " 1 4")
                .expect("WORK_DATA " + handle + " part")
                .expect("WORK_WARNING " + handle + " odd")
                .expect("WORK_COMPLETE " + handle + " done")
                .nothing();
        client.say(Packet.GET_STATUS, handle).expect("STATUS_RES " + handle + " 0 0 0 0");
        worker.say(Packet.GRAB_JOB_ALL).expect("NO_JOB");
    }

    /** A worker that asks while it holds a job can hold more; one that does not ask gets none. */
    @Test
    void workerHoldsAsManyJobsAsItGrabs() {
        StandIn worker = peer().can("safe", "once");
        StandIn client = peer().say(Packet.SUBMIT_JOB, "safe", "", "1");
        client.expect("JOB_CREATED");
        String first = worker.grab();
        String second = client.say(Packet.SUBMIT_JOB_HIGH, "once", "", "2").next("JOB_CREATED");
        worker.nothing();
        worker.say(Packet.GRAB_JOB).expect("JOB_ASSIGN " + second);
        worker.say(Packet.WORK_COMPLETE, first, "x").say(Packet.WORK_COMPLETE, second, "y");
        client.expect("WORK_COMPLETE " + first + " x").expect("WORK_COMPLETE " + second + " y");
        worker.say(Packet.GRAB_JOB).expect("NO_JOB").nothing();
    }

    /** Hard case one: the worker is gone mid-job, and it may have run to any point. */
    @Test
    void lostAttemptIsRetriedOnlyAsIdempotencyAllows() {
        StandIn client = peer().say(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES exceptions");
        StandIn first = peer().can("safe", "once");
        client.say(Packet.SUBMIT_JOB, "once", "", "x");
        String once = client.next("JOB_CREATED");
        assertEquals(once, first.grab());
        StandIn second = peer().can("safe", "once");
        drop(first);
        client.expect("WORK_EXCEPTION " + once).expect("WORK_FAIL " + once);
        second.nothing();

        client.say(Packet.SUBMIT_JOB, "safe", "", "y");
        String safe = client.next("JOB_CREATED");
        assertEquals(safe, second.grab());
        StandIn third = peer().can("safe");
        drop(second);
        assertEquals(safe, third.grab(), "a safe job runs again elsewhere");
        third.say(Packet.WORK_COMPLETE, safe, "z");
        client.expect("WORK_COMPLETE " + safe + " z").nothing();
    }

    @Test
    void keyedRetryStaysInItsDeduplicationScope() {
        StandIn client = peer().say(Packet.SUBMIT_JOB, "keyed", "", "x").expect("ERROR NO_KEY");
        StandIn first = peer().say(Packet.SET_CLIENT_ID, "a1-x").can("keyed");
        client.say(Packet.SUBMIT_JOB, "keyed", "k", "x");
        String handle = client.next("JOB_CREATED");
        first.grab();
        StandIn elsewhere = peer().say(Packet.SET_CLIENT_ID, "b2-x").can("keyed");
        StandIn sameCell = peer().say(Packet.SET_CLIENT_ID, "a1-y").can("keyed");
        elsewhere.sync();
        sameCell.sync();
        drop(first);
        assertEquals(handle, sameCell.grab());
        elsewhere.nothing();
    }

    /** Hard case two: the key is submitted again while its job lives. */
    @Test
    void sameUniqueCoalescesAndBothClientsAreAnswered() {
        StandIn worker = peer().can("once");
        StandIn one = peer().say(Packet.SUBMIT_JOB, "once", "key", "x");
        String handle = one.next("JOB_CREATED");
        StandIn two = peer().say(Packet.SUBMIT_JOB, "once", "key", "x");
        two.expect("JOB_CREATED " + handle);
        StandIn leaver = peer().say(Packet.SUBMIT_JOB, "once", "key", "x").expect("JOB_CREATED");
        assertEquals(handle, worker.grab());
        drop(leaver);
        two.say(Packet.GET_STATUS_UNIQUE, "key").expect("STATUS_RES_UNIQUE key 1 1 0 0");
        worker.say(Packet.WORK_COMPLETE, handle, "r")
                .say(Packet.GRAB_JOB)
                .expect("NO_JOB")
                .nothing();
        one.expect("WORK_COMPLETE " + handle + " r").nothing();
        two.expect("WORK_COMPLETE " + handle + " r").nothing();
        assertEquals(1, server.counters().attemptsSent);
        one.say(Packet.SUBMIT_JOB, "once", "key", "x");
        assertNotEquals(handle, one.next("JOB_CREATED"), "once it is over the key is free");
    }

    /** Nobody can do it: given up while the client still waits, and told when to come back. */
    @Test
    void shedJobReportsRetryAfterThenFailsOnce() {
        StandIn asking = peer().say(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES");
        StandIn plain = peer();
        String a = asking.say(Packet.SUBMIT_JOB, "short", "", "x").next("JOB_CREATED");
        String b = plain.say(Packet.SUBMIT_JOB, "short", "", "x").next("JOB_CREATED");
        asking.expect("WORK_EXCEPTION " + a + " busy: retry after 1.500 s")
                .expect("WORK_FAIL " + a)
                .nothing();
        plain.expect("WORK_FAIL " + b).nothing();
        assertEquals(2, server.counters().shed());
    }

    /** The worker keeps silent: the client has its answer, and what comes later is nobody's. */
    @Test
    void deadlineExpiresWhileTheJobIsInFlight() {
        StandIn worker = peer().can("short");
        StandIn client = peer().say(Packet.SUBMIT_JOB, "short", "", "x");
        String handle = client.next("JOB_CREATED");
        worker.grab();
        client.expect("WORK_FAIL " + handle);
        client.say(Packet.SUBMIT_JOB, "short", "", "y").expect("JOB_CREATED");
        worker.nothing();
        client.expect("WORK_FAIL");
        worker.say(Packet.WORK_COMPLETE, handle, "late").nothing();
        client.nothing();
    }

    @Test
    void workerTimeLimitEndsTheAttempt() {
        StandIn worker = peer().say(Packet.CAN_DO_TIMEOUT, "once", "1").say(Packet.PRE_SLEEP);
        StandIn client = peer().say(Packet.SUBMIT_JOB, "once", "", "x");
        String handle = client.next("JOB_CREATED");
        worker.grab();
        client.expect("WORK_FAIL " + handle).nothing();
    }

    @Test
    void withdrawnAbilitiesGetNoNewJobs() {
        StandIn worker = peer().can("safe", "once").say(Packet.CANT_DO, "safe").sync();
        StandIn client = peer().say(Packet.SUBMIT_JOB, "safe", "", "x").expect("JOB_CREATED");
        worker.nothing();
        client.say(Packet.SUBMIT_JOB, "once", "", "x").expect("JOB_CREATED");
        // Between the call and the grab the ability goes: checked again at the last moment.
        worker.expect("NOOP")
                .say(Packet.RESET_ABILITIES)
                .say(Packet.GRAB_JOB)
                .expect("NO_JOB")
                .nothing();
        worker.say(Packet.CAN_DO, "safe").say(Packet.GRAB_JOB).expect("JOB_ASSIGN");
    }

    @Test
    void backgroundJobsRunWithoutAClient() {
        StandIn client = peer();
        client.say(Packet.SUBMIT_JOB_BG, "once", "", "x").say(Packet.SUBMIT_JOB_LOW_BG, "once", "", "y");
        String first = client.next("JOB_CREATED");
        String second = client.next("JOB_CREATED");
        client.sync();
        drop(client);
        StandIn worker = peer().say(Packet.CAN_DO, "once").say(Packet.GRAB_JOB);
        assertEquals(first, worker.next("JOB_ASSIGN").split(" ")[0]);
        worker.say(Packet.WORK_COMPLETE, first, "").say(Packet.GRAB_JOB);
        assertEquals(second, worker.next("JOB_ASSIGN").split(" ")[0]);
        worker.say(Packet.WORK_FAIL, second).sync();
        assertEquals(1, server.counters().served());
    }

    @Test
    void clientDisconnectCancelsItsForegroundJob() {
        StandIn client = peer().say(Packet.SUBMIT_JOB_LOW, "once", "", "x");
        client.expect("JOB_CREATED").sync();
        drop(client);
        StandIn admin = peer();
        net.until("the job to go", () -> server.jobs.ended(Jobs.End.LEFT) == 1);
        StandIn worker = peer().can("once");
        worker.nothing();
        admin.peer.send("status\n");
        net.until(
                "status",
                () -> admin.peer
                        .receivedText()
                        .equals("keyed\t0\t0\t0\nonce\t0\t0\t1\nsafe\t0\t0\t0\nshort\t0\t0\t0\n.\n"));
    }

    @Test
    void adminCommandsAreAnswered() {
        peer().say(Packet.SET_CLIENT_ID, "a1 x").can("safe").sync();
        Loopback.Peer admin = peer().peer.send("workers\nversion\nwhat\n");
        net.until("three answers", () -> admin.receivedText().endsWith("server+command\n"));
        String said = admin.receivedText();
        assertTrue(said.contains("127.0.0.1 a1_x : safe\n"), said);
        assertTrue(said.contains(".\nOK "), said);
        assertTrue(said.contains("ERR UNKNOWN_COMMAND"), said);
    }

    @Test
    void badInputIsAnsweredOrDisconnectedAndIsolated() {
        StandIn other = peer().can("safe");
        StandIn odd = peer();
        odd.say(Packet.SUBMIT_JOB, "none", "", "x").expect("ERROR UNKNOWN_FUNCTION");
        odd.say(Packet.WORK_COMPLETE, "H:t:99", "x").expect("ERROR JOB_NOT_FOUND");
        odd.say(Packet.SUBMIT_JOB, "short").expect("ERROR BAD_ARGUMENTS");
        odd.say(Packet.OPTION_REQ, "magic").expect("ERROR UNKNOWN_OPTION");
        odd.say(Packet.CAN_DO_TIMEOUT, "safe", "soon").expect("ERROR BAD_ARGUMENTS");
        odd.say(Packet.JOB_ASSIGN, "a", "b", "c").expect("ERROR UNKNOWN_COMMAND");
        odd.peer.write(ByteBuffer.wrap(new byte[] {0, 'R', 'E', 'Q', 0, 0, 0, 99, 0, 0, 0, 0}));
        odd.expect("ERROR UNKNOWN_COMMAND").nothing();
        for (byte[] bytes : new byte[][] {
            {0, 'R', 'E', 'S', 0, 0, 0, 1, 0, 0, 0, 0},
            {0, 'R', 'E', 'Q', 0, 0, 0, 7, 0x7f, 0, 0, 0},
            {0, 'R', 'E', 'Q', 0, 0, 0, 7, -1, 0, 0, 0},
            {(byte) 0x80, 1, 2, 3}
        }) {
            StandIn bad = peer();
            bad.peer.write(ByteBuffer.wrap(bytes));
            bad.expect("ERROR");
            net.until("the cut", () -> bad.peer.disconnected);
        }
        StandIn client = peer().say(Packet.SUBMIT_JOB, "safe", "", "x").expect("JOB_CREATED");
        other.say(Packet.WORK_COMPLETE, other.grab(), "fine");
        client.expect("WORK_COMPLETE");
    }

    /** Random steps of a client and workers against a model of who is owed what. */
    @Property(seed = "4730", tries = 40)
    void eachSubmissionEndsOnceAndNoNonIdempotentJobRunsTwice(@ForAll long seed) throws Exception {
        GearmanTest each = new GearmanTest(); // all tries share one instance
        try {
            each.randomSteps(new Random(seed));
        } finally {
            each.close();
        }
    }

    private void randomSteps(Random random) {
        String[] functions = {"safe", "once"};
        StandIn client = peer();
        List<StandIn> workers = new ArrayList<>();
        Map<StandIn, Set<String>> holds = new HashMap<>();
        Map<String, Integer> owed = new HashMap<>();
        Map<String, Integer> ran = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            StandIn w = workers.isEmpty() ? null : workers.get(random.nextInt(workers.size()));
            int pick = random.nextInt(8);
            if (pick < 2) {
                String key = random.nextBoolean() ? "" : "k" + random.nextInt(3);
                client.say(Packet.SUBMIT_JOB, functions[random.nextInt(2)], key, "x");
            } else if (pick == 2 || w == null) {
                workers.add(peer().say(Packet.CAN_DO, "safe").say(Packet.CAN_DO, "once"));
            } else if (pick == 3) {
                drop(w);
                workers.remove(w);
                holds.remove(w);
            } else if (pick == 4) {
                w.say(Packet.PRE_SLEEP);
            } else if (pick >= 5 && pick < 7 && !holds.getOrDefault(w, Set.of()).isEmpty()) {
                w.say(random.nextInt(3) == 0 ? Packet.WORK_FAIL : Packet.WORK_COMPLETE, one(holds.get(w)), "r");
            } else {
                w.say(Packet.GRAB_JOB);
            }
            hear(client, workers, holds, owed, ran);
        }
        List.copyOf(workers).forEach(this::drop);
        workers.clear();
        StandIn last = peer().say(Packet.CAN_DO, "safe").say(Packet.CAN_DO, "once");
        workers.add(last);
        for (int i = 0; i < 200 && owed.values().stream().anyMatch(n -> n > 0); i++) {
            last.say(Packet.GRAB_JOB);
            hear(client, workers, holds, owed, ran);
            if (!holds.getOrDefault(last, Set.of()).isEmpty()) {
                last.say(Packet.WORK_COMPLETE, one(holds.get(last)), "r");
            }
        }
        hear(client, workers, holds, owed, ran);
        owed.forEach((handle, n) -> assertEquals(0, n, "answers owed for " + handle));
        assertEquals(0, server.counters().faults);
    }

    private static String one(Set<String> of) {
        String first = of.iterator().next();
        of.remove(first);
        return first;
    }

    private void hear(
            StandIn client,
            List<StandIn> workers,
            Map<StandIn, Set<String>> holds,
            Map<String, Integer> owed,
            Map<String, Integer> ran) {
        harness.all.forEach(StandIn::sync);
        harness.all.forEach(StandIn::sync); // what one's words brought about for another has come by now
        for (StandIn w : workers) {
            for (String said = w.heard.poll(); said != null; said = w.heard.poll()) {
                String[] words = said.split(" ");
                if (words[0].equals("JOB_ASSIGN")) {
                    holds.computeIfAbsent(w, x -> new LinkedHashSet<>()).add(words[1]);
                    int times = ran.merge(words[1], 1, Integer::sum);
                    assertTrue(words[2].equals("safe") || times == 1, "an unsafe job ran twice");
                }
            }
        }
        for (String said = client.heard.poll(); said != null; said = client.heard.poll()) {
            String[] words = said.split(" ");
            if (words[0].equals("JOB_CREATED")) {
                owed.put(words[1], 1); // joining a job twice from one connection brings one answer
            } else if (words[0].equals("WORK_COMPLETE") || words[0].equals("WORK_FAIL")) {
                assertEquals(1, owed.merge(words[1], -1, Integer::sum) + 1, "one final answer: " + said);
            }
        }
    }
}
