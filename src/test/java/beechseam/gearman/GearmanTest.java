package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.config.ConfigException;
import beechseam.config.GearmanConfig;
import beechseam.config.Json;
import beechseam.config.Tree;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
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

    private final Loopback net = new Loopback();
    private final GearmanServer server;
    private final List<StandIn> all = new ArrayList<>();

    GearmanTest() throws IOException, ConfigException {
        byte[] text = FILE.getBytes(StandardCharsets.UTF_8);
        Tree tree = new Tree("", (Map<?, ?>) Json.parse(text, 0, text.length));
        server = new GearmanServer(net.loop, GearmanConfig.of(tree), 7);
    }

    @AfterEach
    @AfterProperty
    void close() {
        server.stop(() -> { });
        net.close();
    }

    /** A client or worker: speaks packets, and keeps those that it hears. */
    private final class StandIn {
        final Loopback.Peer peer;
        final Deque<String> heard = new ArrayDeque<>();
        private int echoes;

        StandIn() {
            try {
                peer = net.dial(server.address());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            all.add(this);
        }

        StandIn say(Packet kind, String... args) {
            peer.write(kind.request((Object[]) args));
            return this;
        }

        /** A worker that can do this and has gone to sleep. */
        StandIn can(String... functions) {
            for (String each : functions) {
                say(Packet.CAN_DO, each);
            }
            return say(Packet.GRAB_JOB).expect("NO_JOB").say(Packet.PRE_SLEEP);
        }

        /** All that the server had to say up to now has been heard. */
        StandIn sync() {
            if (!peer.closed()) {
                String mark = "mark" + ++echoes;
                say(Packet.ECHO_REQ, mark);
                net.until(mark, () -> {
                    read();
                    return heard.contains("ECHO_RES " + mark) || peer.gone;
                });
                heard.remove("ECHO_RES " + mark);
            }
            return this;
        }

        void read() {
            String bytes = peer.take();
            ByteBuffer in = ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1));
            while (in.remaining() >= Packet.HEADER
                && in.remaining() >= Packet.HEADER + in.getInt(in.position() + 8)) {
                assertEquals(Packet.RES, in.getInt());
                Packet kind = Packet.of(in.getInt());
                byte[] body = new byte[in.getInt()];
                in.get(body);
                String args = new String(body, StandardCharsets.ISO_8859_1).replace('\0', ' ');
                heard.add((kind + " " + args).trim());
            }
            byte[] rest = new byte[in.remaining()];
            in.get(rest);
            peer.unread(new String(rest, StandardCharsets.ISO_8859_1));
        }

        /** Waits for the next packet; it must start so. Returns the rest of it. */
        StandIn expect(String start) {
            next(start);
            return this;
        }

        String next(String start) {
            net.until(start, () -> {
                read();
                return !heard.isEmpty();
            });
            String first = heard.poll();
            assertTrue(first.startsWith(start), first + " in place of " + start);
            return first.substring(start.length()).trim();
        }

        /** Wakes, grabs and returns the handle of the job assigned. */
        String grab() {
            expect("NOOP").say(Packet.GRAB_JOB);
            return next("JOB_ASSIGN").split(" ")[0];
        }

        void nothing() {
            sync();
            assertTrue(heard.isEmpty(), "unexpected: " + heard);
        }
    }

    private void drop(StandIn s) {
        s.peer.close();
        all.remove(s);
    }

    @Test
    void aJobGoesToASleepingWorkerAndItsResultToTheClient() {
        StandIn worker = new StandIn().can("safe");
        StandIn client = new StandIn().say(Packet.SUBMIT_JOB, "safe", "", "load\0ed");
        String handle = client.next("JOB_CREATED");
        worker.expect("NOOP").say(Packet.GRAB_JOB_UNIQ)
            .expect("JOB_ASSIGN_UNIQ " + handle + " safe  load ed");
        client.say(Packet.GET_STATUS, handle).expect("STATUS_RES " + handle + " 1 1 0 0");
        worker.say(Packet.WORK_STATUS, handle, "1", "4").say(Packet.WORK_DATA, handle, "part")
            .say(Packet.WORK_WARNING, handle, "odd").say(Packet.WORK_COMPLETE, handle, "done");
        client.expect("WORK_STATUS " + handle + " 1 4").expect("WORK_DATA " + handle + " part")
            .expect("WORK_WARNING " + handle + " odd").expect("WORK_COMPLETE " + handle + " done").nothing();
        client.say(Packet.GET_STATUS, handle).expect("STATUS_RES " + handle + " 0 0 0 0");
        worker.say(Packet.GRAB_JOB_ALL).expect("NO_JOB");
    }

    @Test
    void aWorkerOfSeveralFunctionsHoldsOneJob() {
        StandIn worker = new StandIn().can("safe", "once");
        StandIn client = new StandIn().say(Packet.SUBMIT_JOB, "safe", "", "1");
        client.expect("JOB_CREATED");
        String first = worker.grab();
        client.say(Packet.SUBMIT_JOB_HIGH, "once", "", "2").expect("JOB_CREATED");
        worker.say(Packet.GRAB_JOB).expect("NO_JOB").nothing();
        worker.say(Packet.WORK_COMPLETE, first, "x").say(Packet.GRAB_JOB).expect("JOB_ASSIGN");
    }

    /** Hard case one: the worker is gone mid-job, and it may have run to any point. */
    @Test
    void aWorkerThatDropsMidJobIsRepeatedOnlyAsTheClassAllows() {
        StandIn client = new StandIn().say(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES exceptions");
        StandIn first = new StandIn().can("safe", "once");
        client.say(Packet.SUBMIT_JOB, "once", "", "x");
        String once = client.next("JOB_CREATED");
        assertEquals(once, first.grab());
        StandIn second = new StandIn().can("safe", "once");
        drop(first);
        client.expect("WORK_EXCEPTION " + once).expect("WORK_FAIL " + once);
        second.nothing();

        client.say(Packet.SUBMIT_JOB, "safe", "", "y");
        String safe = client.next("JOB_CREATED");
        assertEquals(safe, second.grab());
        StandIn third = new StandIn().can("safe");
        drop(second);
        assertEquals(safe, third.grab(), "a safe job runs again elsewhere");
        third.say(Packet.WORK_COMPLETE, safe, "z");
        client.expect("WORK_COMPLETE " + safe + " z").nothing();
    }

    @Test
    void aKeyedJobIsRepeatedInItsCellOnly() {
        StandIn client = new StandIn().say(Packet.SUBMIT_JOB, "keyed", "", "x").expect("ERROR NO_KEY");
        StandIn first = new StandIn().say(Packet.SET_CLIENT_ID, "a1-x").can("keyed");
        client.say(Packet.SUBMIT_JOB, "keyed", "k", "x");
        String handle = client.next("JOB_CREATED");
        first.grab();
        StandIn elsewhere = new StandIn().say(Packet.SET_CLIENT_ID, "b2-x").can("keyed");
        StandIn sameCell = new StandIn().say(Packet.SET_CLIENT_ID, "a1-y").can("keyed");
        elsewhere.sync();
        sameCell.sync();
        drop(first);
        assertEquals(handle, sameCell.grab());
        elsewhere.nothing();
    }

    /** Hard case two: the key is submitted again while its job lives. */
    @Test
    void theSameKeyTwiceIsOneJobAndBothAreAnswered() {
        StandIn worker = new StandIn().can("once");
        StandIn one = new StandIn().say(Packet.SUBMIT_JOB, "once", "key", "x");
        String handle = one.next("JOB_CREATED");
        StandIn two = new StandIn().say(Packet.SUBMIT_JOB, "once", "key", "x");
        two.expect("JOB_CREATED " + handle);
        StandIn leaver = new StandIn().say(Packet.SUBMIT_JOB, "once", "key", "x").expect("JOB_CREATED");
        assertEquals(handle, worker.grab());
        drop(leaver);
        two.say(Packet.GET_STATUS_UNIQUE, "key").expect("STATUS_RES_UNIQUE key 1 1 0 0");
        worker.say(Packet.WORK_COMPLETE, handle, "r").say(Packet.GRAB_JOB).expect("NO_JOB").nothing();
        one.expect("WORK_COMPLETE " + handle + " r").nothing();
        two.expect("WORK_COMPLETE " + handle + " r").nothing();
        assertEquals(1, server.counters().sent);
        one.say(Packet.SUBMIT_JOB, "once", "key", "x");
        assertNotEquals(handle, one.next("JOB_CREATED"), "once it is over the key is free");
    }

    /** Nobody can do it: given up while the client still waits, and told when to come back. */
    @Test
    void aShedTellsWhenToComeBackThenFailsOnce() {
        StandIn asking = new StandIn().say(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES");
        StandIn plain = new StandIn();
        String a = asking.say(Packet.SUBMIT_JOB, "short", "", "x").next("JOB_CREATED");
        String b = plain.say(Packet.SUBMIT_JOB, "short", "", "x").next("JOB_CREATED");
        asking.expect("WORK_EXCEPTION " + a + " busy: retry after 1.500 s").expect("WORK_FAIL " + a)
            .nothing();
        plain.expect("WORK_FAIL " + b).nothing();
        assertEquals(2, server.counters().shed());
    }

    /** The worker keeps silent: the client has its answer, and what comes later is nobody's. */
    @Test
    void aDeadlinePassesWhileTheWorkerHoldsTheJob() {
        StandIn worker = new StandIn().can("short");
        StandIn client = new StandIn().say(Packet.SUBMIT_JOB, "short", "", "x");
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
    void aWorkersOwnLimitEndsItsHop() {
        StandIn worker = new StandIn().say(Packet.CAN_DO_TIMEOUT, "once", "1").say(Packet.PRE_SLEEP);
        StandIn client = new StandIn().say(Packet.SUBMIT_JOB, "once", "", "x");
        String handle = client.next("JOB_CREATED");
        worker.grab();
        client.expect("WORK_FAIL " + handle).nothing();
    }

    @Test
    void withdrawnAbilitiesGetNothingNew() {
        StandIn worker = new StandIn().can("safe", "once").say(Packet.CANT_DO, "safe").sync();
        StandIn client = new StandIn().say(Packet.SUBMIT_JOB, "safe", "", "x").expect("JOB_CREATED");
        worker.nothing();
        client.say(Packet.SUBMIT_JOB, "once", "", "x").expect("JOB_CREATED");
        // Between the call and the grab the ability goes: checked again at the last moment.
        worker.expect("NOOP").say(Packet.RESET_ABILITIES).say(Packet.GRAB_JOB).expect("NO_JOB").nothing();
        worker.say(Packet.CAN_DO, "safe").say(Packet.GRAB_JOB).expect("JOB_ASSIGN");
    }

    @Test
    void backgroundJobsRunWithoutAClient() {
        StandIn client = new StandIn();
        client.say(Packet.SUBMIT_JOB_BG, "once", "", "x").say(Packet.SUBMIT_JOB_LOW_BG, "once", "", "y");
        String first = client.next("JOB_CREATED");
        String second = client.next("JOB_CREATED");
        client.sync();
        drop(client);
        StandIn worker = new StandIn().say(Packet.CAN_DO, "once").say(Packet.GRAB_JOB);
        assertEquals(first, worker.next("JOB_ASSIGN").split(" ")[0]);
        worker.say(Packet.WORK_COMPLETE, first, "").say(Packet.GRAB_JOB);
        assertEquals(second, worker.next("JOB_ASSIGN").split(" ")[0]);
        worker.say(Packet.WORK_FAIL, second).sync();
        assertEquals(1, server.counters().served());
    }

    @Test
    void aClientThatLeavesTakesItsForegroundJobAlong() {
        StandIn client = new StandIn().say(Packet.SUBMIT_JOB_LOW, "once", "", "x");
        client.expect("JOB_CREATED").sync();
        drop(client);
        StandIn admin = new StandIn();
        net.until("the job to go", () -> server.counters().left == 1);
        StandIn worker = new StandIn().can("once");
        worker.nothing();
        admin.peer.say("status\n");
        net.until("status", () -> admin.peer.heard().equals(
            "keyed\t0\t0\t0\nonce\t0\t0\t1\nsafe\t0\t0\t0\nshort\t0\t0\t0\n.\n"));
    }

    @Test
    void adminLines() {
        new StandIn().say(Packet.SET_CLIENT_ID, "a1 x").can("safe").sync();
        Loopback.Peer admin = new StandIn().peer.say("workers\nversion\nwhat\n");
        net.until("three answers", () -> admin.heard().endsWith("server+command\n"));
        String said = admin.heard();
        assertTrue(said.contains("127.0.0.1 a1_x : safe\n"), said);
        assertTrue(said.contains(".\nOK "), said);
        assertTrue(said.contains("ERR UNKNOWN_COMMAND"), said);
    }

    @Test
    void badInputIsAnsweredOrCutOffAndHarmsNobodyElse() {
        StandIn other = new StandIn().can("safe");
        StandIn odd = new StandIn();
        odd.say(Packet.SUBMIT_JOB, "none", "", "x").expect("ERROR UNKNOWN_FUNCTION");
        odd.say(Packet.WORK_COMPLETE, "H:t:99", "x").expect("ERROR JOB_NOT_FOUND");
        odd.say(Packet.SUBMIT_JOB, "short").expect("ERROR BAD_ARGUMENTS");
        odd.say(Packet.OPTION_REQ, "magic").expect("ERROR UNKNOWN_OPTION");
        odd.say(Packet.CAN_DO_TIMEOUT, "safe", "soon").expect("ERROR BAD_ARGUMENTS");
        odd.say(Packet.JOB_ASSIGN, "a", "b", "c").expect("ERROR UNKNOWN_COMMAND");
        odd.peer.write(ByteBuffer.wrap(new byte[] {0, 'R', 'E', 'Q', 0, 0, 0, 99, 0, 0, 0, 0}));
        odd.expect("ERROR UNKNOWN_COMMAND").nothing();
        for (byte[] bytes : new byte[][] {{0, 'R', 'E', 'S', 0, 0, 0, 1, 0, 0, 0, 0},
            {0, 'R', 'E', 'Q', 0, 0, 0, 7, 0x7f, 0, 0, 0}, {0, 'R', 'E', 'Q', 0, 0, 0, 7, -1, 0, 0, 0},
            {(byte) 0x80, 1, 2, 3}}) {
            StandIn bad = new StandIn();
            bad.peer.write(ByteBuffer.wrap(bytes));
            bad.expect("ERROR");
            net.until("the cut", () -> bad.peer.gone);
        }
        StandIn client = new StandIn().say(Packet.SUBMIT_JOB, "safe", "", "x").expect("JOB_CREATED");
        other.say(Packet.WORK_COMPLETE, other.grab(), "fine");
        client.expect("WORK_COMPLETE");
    }

    /** Random steps of a client and workers against a model of who is owed what. */
    @Property(seed = "4730", tries = 40)
    void eachSubmissionEndsOnceAndEachWorkerHoldsOneJob(@ForAll long seed) throws Exception {
        GearmanTest each = new GearmanTest(); // all tries share one instance
        try {
            each.randomSteps(new Random(seed));
        } finally {
            each.close();
        }
    }

    private void randomSteps(Random random) {
        String[] functions = {"safe", "once"};
        StandIn client = new StandIn();
        List<StandIn> workers = new ArrayList<>();
        Map<StandIn, String> holds = new HashMap<>();
        Map<String, Integer> owed = new HashMap<>();
        Map<String, Integer> ran = new HashMap<>();
        for (int step = 0; step < 60; step++) {
            StandIn w = workers.isEmpty() ? null : workers.get(random.nextInt(workers.size()));
            int pick = random.nextInt(8);
            if (pick < 2) {
                String key = random.nextBoolean() ? "" : "k" + random.nextInt(3);
                client.say(Packet.SUBMIT_JOB, functions[random.nextInt(2)], key, "x");
            } else if (pick == 2 || w == null) {
                workers.add(new StandIn().say(Packet.CAN_DO, "safe").say(Packet.CAN_DO, "once"));
            } else if (pick == 3) {
                drop(w);
                workers.remove(w);
                holds.remove(w);
            } else if (pick == 4) {
                w.say(Packet.PRE_SLEEP);
            } else if (pick == 5 && holds.containsKey(w)) {
                w.say(random.nextInt(3) == 0 ? Packet.WORK_FAIL : Packet.WORK_COMPLETE, holds.remove(w), "r");
            } else {
                w.say(Packet.GRAB_JOB);
            }
            hear(client, workers, holds, owed, ran);
        }
        List.copyOf(workers).forEach(this::drop);
        workers.clear();
        StandIn last = new StandIn().say(Packet.CAN_DO, "safe").say(Packet.CAN_DO, "once");
        workers.add(last);
        for (int i = 0; i < 200 && owed.values().stream().anyMatch(n -> n > 0); i++) {
            last.say(Packet.GRAB_JOB);
            hear(client, workers, holds, owed, ran);
            if (holds.containsKey(last)) {
                last.say(Packet.WORK_COMPLETE, holds.remove(last), "r");
            }
        }
        hear(client, workers, holds, owed, ran);
        owed.forEach((handle, n) -> assertEquals(0, n, "answers owed for " + handle));
        assertEquals(0, server.counters().faults);
    }

    private void hear(StandIn client, List<StandIn> workers, Map<StandIn, String> holds,
                      Map<String, Integer> owed, Map<String, Integer> ran) {
        all.forEach(StandIn::sync);
        all.forEach(StandIn::sync); // what one's words brought about for another has come by now
        for (StandIn w : workers) {
            for (String said = w.heard.poll(); said != null; said = w.heard.poll()) {
                String[] words = said.split(" ");
                if (words[0].equals("JOB_ASSIGN")) {
                    assertNull(holds.put(w, words[1]), "a second job at one worker");
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
