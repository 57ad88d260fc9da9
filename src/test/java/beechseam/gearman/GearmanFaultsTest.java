package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.StandIn;
import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.protocol.PacketDecoder;
import beechseam.net.Connection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The hard cases of the Gearman front: what goes wrong at once, in crowds, or at the wrong moment. */
class GearmanFaultsTest {
    private GearmanHarness harness;

    private void serve(String more) {
        harness = new GearmanHarness("{\"listen\":\"127.0.0.1:0\",\"name\":\"t\"," + more + "\"functions\":["
                + "{\"name\":\"*\",\"effect\":\"unsafe\"},{\"name\":\"safe\",\"effect\":\"safe\"}]}");
    }

    /** A peer that keeps the last packet with a long argument, however long. */
    private static final class Sink extends Connection implements PacketDecoder.Owner {
        private final PacketDecoder decoder = new PacketDecoder(this, Packet.RES, 1 << 28, 4096);
        Arguments last;

        Sink(GearmanHarness harness) throws IOException {
            super(harness.net.loop, null, 8192);
            connect(harness.server.address());
        }

        @Override
        protected long maxUnwrittenBytes() {
            return 1L << 30;
        }

        @Override
        protected void received(ByteBuffer bytes) {
            decoder.decode(bytes);
        }

        @Override
        public void packet(Packet kind, Arguments args) {
            last = args.owned() ? args : last;
        }

        @Override
        public PacketDecoder.Verdict longPacket(Packet kind, int size) {
            return PacketDecoder.Verdict.TAKE;
        }

        @Override
        public void unknown(int code) {
            throw new AssertionError("a packet of the unknown number " + code);
        }

        @Override
        public void broken(String code, String why) {
            throw new AssertionError(why);
        }

        @Override
        public boolean paused() {
            return false;
        }

        @Override
        protected void lost(IOException why) {
            throw new AssertionError(why);
        }
    }

    @AfterEach
    void close() {
        harness.close();
        assertEquals(
                harness.server.jobs.accepted(),
                harness.server.jobs.size() + harness.server.jobs.ended(),
                "accepted is alive plus ended");
        assertEquals(0, harness.server.counters().faults);
    }

    private void ended(Jobs.End how, long count) {
        harness.net.until(count + " " + how, () -> harness.server.jobs.ended(how) == count);
    }

    @Test
    void coalescedJobOutlivesItsFirstClient() {
        serve("");
        StandIn first = harness.peer().say(Packet.SUBMIT_JOB, "f", "k", "x");
        String handle = first.next("JOB_CREATED");
        List<StandIn> others = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            others.add(harness.peer().say(Packet.SUBMIT_JOB, "f", "k", "x").expect("JOB_CREATED " + handle));
        }
        StandIn worker =
                harness.peer().say(Packet.CAN_DO, "f").say(Packet.GRAB_JOB).expect("JOB_ASSIGN " + handle);
        harness.drop(first);
        for (int i = 0; i < 50; i += 2) {
            harness.drop(others.get(i));
        }
        worker.sync()
                .say(Packet.WORK_COMPLETE, handle, "r")
                .say(Packet.GRAB_JOB)
                .expect("NO_JOB");
        for (int i = 1; i < 50; i += 2) {
            others.get(i).expect("WORK_COMPLETE " + handle + " r").nothing();
        }
        assertEquals(1, harness.server.jobs.ended(Jobs.End.SERVED));
        assertEquals(1, harness.server.counters().attemptsSent);
    }

    /** In one turn of the loop, in either order: the job ends once. */
    @Test
    void resultRacingClientDisconnectEndsTheJobOnce() {
        serve("");
        StandIn worker = harness.peer().say(Packet.CAN_DO, "f");
        for (int i = 0; i < 40; i++) {
            StandIn client = harness.peer().say(Packet.SUBMIT_JOB, "f", "", "x");
            String handle = client.next("JOB_CREATED");
            worker.say(Packet.GRAB_JOB).expect("JOB_ASSIGN " + handle);
            if (i % 2 == 0) {
                harness.drop(client);
                worker.say(Packet.WORK_COMPLETE, handle, "r");
            } else {
                worker.say(Packet.WORK_COMPLETE, handle, "r");
                harness.drop(client);
            }
            worker.sync();
        }
        harness.net.until("all to end", () -> harness.server.jobs.ended() == 40);
        assertEquals(0, harness.server.jobs.size());
        assertEquals(40, harness.server.jobs.ended(Jobs.End.SERVED) + harness.server.jobs.ended(Jobs.End.LEFT));
    }

    /** It ran out of its own time, its job was repeated elsewhere, and then it answers after all. */
    @Test
    void lateAnswerAfterTimeoutIsDiscarded() {
        serve("");
        StandIn slow = harness.peer().say(Packet.CAN_DO_TIMEOUT, "safe", "1").say(Packet.PRE_SLEEP);
        StandIn client = harness.peer().say(Packet.SUBMIT_JOB, "safe", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, slow.grab());
        StandIn other = harness.peer().say(Packet.CAN_DO, "safe").say(Packet.PRE_SLEEP);
        assertEquals(handle, other.grab(), "a safe job runs again");
        slow.say(Packet.WORK_DATA, handle, "late")
                .say(Packet.WORK_COMPLETE, handle, "late")
                .nothing();
        client.nothing();
        other.say(Packet.WORK_COMPLETE, handle, "in time");
        client.expect("WORK_COMPLETE " + handle + " in time").nothing();
        slow.say(Packet.GRAB_JOB).expect("NO_JOB");
        assertEquals(1, harness.server.jobs.ended(Jobs.End.SERVED));
    }

    /**
     * 10,000 results of 2 KB for one that reads nothing: it is cut off, and others are served all the while.
     */
    @Test
    void clientThatNeverReadsIsDisconnected() {
        serve("\"max_unread_kb\":1024,\"max_packet_kb\":64,");
        StandIn deaf = harness.peer();
        deaf.peer.pauseReading(true);
        for (int i = 0; i < 10_000; i++) {
            deaf.say(Packet.SUBMIT_JOB, "f", "", "x");
        }
        StandIn worker = harness.peer().say(Packet.CAN_DO, "f");
        StandIn other = harness.peer().say(Packet.SUBMIT_JOB, "f", "", "other");
        String others = other.next("JOB_CREATED");
        String result = "r".repeat(2000);
        boolean served = false;
        for (int i = 0; i < 20_000 && !served; i++) {
            worker.say(Packet.GRAB_JOB);
            String said = worker.next("");
            if (said.startsWith("JOB_ASSIGN")) {
                String handle = said.split(" ")[1];
                served = handle.equals(others);
                worker.say(Packet.WORK_COMPLETE, handle, result);
            }
        }
        other.expect("WORK_COMPLETE " + others);
        assertTrue(harness.server.unreadBytes() <= 2 * (1024 + 64) * 1024, "unread: " + harness.server.unreadBytes());
        harness.drop(deaf);
        harness.net.until("the rest to go with it", () -> harness.server.jobs.size() == 0);
    }

    @Test
    void silentConnectionsAreEvictedAtTheLimit() {
        serve("\"max_connections\":100,");
        StandIn worker =
                harness.peer().say(Packet.CAN_DO, "f").say(Packet.PRE_SLEEP).sync();
        List<StandIn> silent = new ArrayList<>();
        for (int i = 0; i < 2000; i++) {
            silent.add(harness.peer());
            if (silent.size() >= 200) {
                harness.net.settle(1);
                silent.forEach(harness::drop);
                silent.clear();
            }
        }
        List<StandIn> crowd = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            crowd.add(harness.peer());
        }
        StandIn client = harness.peer().say(Packet.SUBMIT_JOB, "f", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, worker.grab(), "who has spoken is not closed for who has not");
        worker.say(Packet.WORK_COMPLETE, handle, "y");
        client.expect("WORK_COMPLETE " + handle + " y");
        assertTrue(harness.server.connections().size() <= 100);
    }

    @Test
    void allWorkersLostAtOnceWithFiveThousandQueued() {
        serve("");
        StandIn client = harness.peer();
        for (int i = 0; i < 5000; i++) {
            client.say(Packet.SUBMIT_JOB, i % 2 == 0 ? "safe" : "once", "", "" + i);
        }
        List<StandIn> workers = new ArrayList<>();
        Map<String, Integer> ran = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            StandIn w = harness.peer()
                    .say(Packet.CAN_DO, "safe")
                    .say(Packet.CAN_DO, "once")
                    .say(Packet.GRAB_JOB);
            ran.merge(w.next("JOB_ASSIGN").split(" ")[0], 1, Integer::sum);
            workers.add(w);
        }
        workers.forEach(harness::drop);
        harness.net.until(
                "the loss",
                () -> harness.server.functions().stream().allMatch(f -> f.workers.groups.memberCount() == 0));
        assertTrue(harness.server.jobs.size() >= 4960, "what was not held still waits");
        StandIn last = harness.peer()
                .say(Packet.CAN_DO, "safe")
                .say(Packet.CAN_DO, "once")
                .say(Packet.GRAB_JOB);
        while (harness.server.jobs.size() > 0) {
            String said = last.next("");
            if (said.startsWith("JOB_ASSIGN")) {
                String[] words = said.split(" ");
                int times = ran.merge(words[1], 1, Integer::sum);
                assertTrue(times == 1 || words[2].equals("safe"), "an unsafe job ran twice");
                last.say(Packet.WORK_COMPLETE, words[1], "r");
            }
            last.say(Packet.GRAB_JOB).sync();
            client.sync();
        }
        Set<String> ends = new HashSet<>();
        client.heard.stream()
                .filter(s -> s.startsWith("WORK_"))
                .forEach(s -> assertTrue(ends.add(s.split(" ")[1]), "two ends: " + s));
        assertEquals(5000, ends.size());
        assertEquals(ran.size(), 5000, "each ran");
        assertEquals(20, harness.server.jobs.ended(Jobs.End.FAILED), "twenty unsafe ones were lost mid-job");
        // Of the twenty safe ones the module repeats as many as its budget allows, and refuses the rest.
        assertEquals(5000 - 20, harness.server.jobs.ended(Jobs.End.SERVED) + harness.server.jobs.ended(Jobs.End.SHED));
        assertTrue(harness.server.jobs.ended(Jobs.End.SHED) < 20);
    }

    @Test
    void drainDuringARetry() {
        serve("");
        StandIn first = harness.peer().say(Packet.SET_CLIENT_ID, "one").say(Packet.CAN_DO, "safe");
        StandIn client = harness.peer();
        for (int i = 0; i < 30; i++) { // each lets the module save up a tenth of a repeat
            client.say(Packet.SUBMIT_JOB_BG, "safe", "", "x").expect("JOB_CREATED");
            first.say(Packet.GRAB_JOB)
                    .say(Packet.WORK_COMPLETE, first.next("JOB_ASSIGN").split(" ")[0], "");
        }
        first.say(Packet.PRE_SLEEP);
        client.say(Packet.SUBMIT_JOB, "safe", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, first.grab());
        StandIn second = harness.peer().say(Packet.SET_CLIENT_ID, "two").can("safe");
        harness.drop(first);
        second.expect("NOOP"); // the retry waits there to be asked for
        assertEquals("OK\n", harness.admin("drain two"));
        second.say(Packet.GRAB_JOB).expect("NO_JOB").say(Packet.PRE_SLEEP).nothing();
        StandIn same = harness.peer()
                .say(Packet.SET_CLIENT_ID, "two")
                .say(Packet.CAN_DO, "safe")
                .say(Packet.GRAB_JOB);
        same.expect("NO_JOB"); // it connects again under its name, and stays drained
        StandIn third = harness.peer().say(Packet.SET_CLIENT_ID, "three").say(Packet.CAN_DO, "safe");
        third.say(Packet.GRAB_JOB).expect("JOB_ASSIGN " + handle);
        third.say(Packet.WORK_COMPLETE, handle, "y");
        client.expect("WORK_COMPLETE " + handle + " y").nothing();
        assertEquals("OK\n", harness.admin("undrain two"));
        client.say(Packet.SUBMIT_JOB, "safe", "", "x").expect("JOB_CREATED");
        third.say(Packet.CANT_DO, "safe");
        second.expect("NOOP");
    }

    @Test
    void drainedWorkerMayFinishItsJobsInFlight() {
        serve("");
        StandIn worker = harness.peer().say(Packet.SET_CLIENT_ID, "w").can("f");
        StandIn client = harness.peer().say(Packet.SUBMIT_JOB, "f", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, worker.grab());
        harness.admin("drain w");
        worker.say(Packet.WORK_COMPLETE, handle, "y");
        client.expect("WORK_COMPLETE " + handle + " y");
        client.say(Packet.SUBMIT_JOB, "f", "", "x").expect("JOB_CREATED");
        worker.say(Packet.GRAB_JOB).expect("NO_JOB").say(Packet.PRE_SLEEP).nothing();
    }

    @Test
    void epochJobsDueAtOneInstantAllRun() {
        serve("");
        long due = System.currentTimeMillis() / 1000 + 2;
        StandIn client = harness.peer();
        for (int i = 0; i < 2000; i++) {
            client.say(Packet.SUBMIT_JOB_EPOCH, "f", "", "" + due, "" + i);
        }
        client.sync();
        String first = client.heard.peek().split(" ")[1];
        assertEquals("OK\n", harness.admin("cancel job " + first));
        StandIn worker =
                harness.peer().say(Packet.CAN_DO, "f").say(Packet.GRAB_JOB).expect("NO_JOB");
        assertEquals("f\t1999\t0\t1\nsafe\t0\t0\t0\n.\n", harness.admin("status"));
        worker.say(Packet.PRE_SLEEP).expect("NOOP");
        assertTrue(System.currentTimeMillis() >= due * 1000, "not before its time");
        Set<String> ran = new HashSet<>();
        for (int i = 0; i < 1999; i++) {
            worker.say(Packet.GRAB_JOB);
            String said = worker.next("");
            if (said.equals("NO_JOB")) { // the rest of that instant is still being taken into line
                worker.say(Packet.PRE_SLEEP).expect("NOOP");
                i--;
                continue;
            }
            String handle = said.split(" ")[1];
            assertTrue(ran.add(handle));
            worker.say(Packet.WORK_COMPLETE, handle, "");
        }
        assertFalse(ran.contains(first), "what was cancelled does not run");
        ended(Jobs.End.SERVED, 1999);
        ended(Jobs.End.CANCELLED, 1);
    }

    /** All at once: queued, running, due later, waited for by nobody; the server is told to stop. */
    @Test
    void shutdownEndsJobsOfEveryStage() {
        serve("\"stop_within_ms\":700,");
        StandIn asking = harness.peer().say(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES");
        StandIn busy = harness.peer().can("f");
        String runs = asking.say(Packet.SUBMIT_JOB, "f", "", "runs").next("JOB_CREATED");
        assertEquals(runs, busy.grab());
        StandIn stuck = harness.peer().can("g");
        String held = asking.say(Packet.SUBMIT_JOB, "g", "", "held").next("JOB_CREATED");
        assertEquals(held, stuck.grab());
        String waits = asking.say(Packet.SUBMIT_JOB, "h", "", "waits").next("JOB_CREATED");
        String both = asking.say(Packet.SUBMIT_JOB_BG, "h", "k", "x").next("JOB_CREATED");
        asking.say(Packet.SUBMIT_JOB, "h", "k", "x").expect("JOB_CREATED " + both);
        for (int i = 0; i < 3000; i++) {
            asking.say(Packet.SUBMIT_JOB_BG, "b", "", "x").expect("JOB_CREATED");
        }
        asking.say(Packet.SUBMIT_JOB_EPOCH, "f", "", "2000000000", "x").expect("JOB_CREATED");
        boolean[] done = {false};
        harness.server.stop(() -> done[0] = true);
        assertEquals(3001, harness.server.jobs.ended(Jobs.End.LOST), "what nobody waits for and has not begun");
        asking.say(Packet.SUBMIT_JOB, "f", "", "new").expect("ERROR QUEUE_FULL");
        busy.say(Packet.WORK_COMPLETE, runs, "r");
        asking.expect("WORK_COMPLETE " + runs + " r");
        Map<String, String> ends = new HashMap<>();
        while (ends.size() < 3) {
            String said = asking.next("");
            if (said.startsWith("WORK_EXCEPTION")) {
                ends.merge(said.split(" ")[1], said, (a, b) -> fail("two words on " + said));
            }
        }
        assertTrue(ends.get(waits).contains("busy: retry after 2.000 s"), "it never ran, so it may come again");
        assertTrue(ends.get(both).contains("busy: retry after"), ends.get(both));
        assertNull(ends.get(runs));
        harness.net.until("the end", () -> done[0]);
        assertEquals(0, harness.server.jobs.size());
        assertEquals(0, harness.server.budget.workloadBytes(), "all room is given back");
    }

    /** The C library's workers: an exception, no end, and the next request. */
    @Test
    void workExceptionWithoutFinalPacketFailsTheJob() {
        serve("");
        StandIn worker = harness.peer().say(Packet.CAN_DO, "f");
        StandIn client = harness.peer().say(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES");
        String one = client.say(Packet.SUBMIT_JOB, "f", "", "1").next("JOB_CREATED");
        String two = client.say(Packet.SUBMIT_JOB, "f", "", "2").next("JOB_CREATED");
        worker.say(Packet.GRAB_JOB).expect("JOB_ASSIGN " + one).say(Packet.WORK_EXCEPTION, one, "why");
        client.expect("WORK_EXCEPTION " + one + " why").nothing();
        worker.say(Packet.GRAB_JOB).expect("JOB_ASSIGN " + two);
        client.expect("WORK_EXCEPTION " + one + " failed")
                .expect("WORK_FAIL " + one)
                .nothing();
        worker.say(Packet.WORK_COMPLETE, one, "late").expect("ERROR JOB_NOT_FOUND");
        worker.say(Packet.WORK_COMPLETE, two, "r");
        client.expect("WORK_COMPLETE " + two);
    }

    @Test
    void singleSlotWorkerThatGrabsAgainHasLostItsJob() {
        serve("\"worker_slots\":1,");
        StandIn worker = harness.peer().say(Packet.CAN_DO, "f");
        StandIn client = harness.peer();
        String one = client.say(Packet.SUBMIT_JOB, "f", "", "1").next("JOB_CREATED");
        worker.say(Packet.GRAB_JOB)
                .expect("JOB_ASSIGN " + one)
                .say(Packet.GRAB_JOB)
                .expect("NO_JOB");
        client.expect("WORK_FAIL " + one).nothing();
    }

    @Test
    void workerHoldsNoMoreJobsThanItsSlots() {
        serve("\"worker_slots\":3,");
        StandIn worker = harness.peer().say(Packet.CAN_DO, "f");
        StandIn client = harness.peer();
        for (int i = 0; i < 5; i++) {
            client.say(Packet.SUBMIT_JOB, "f", "", "x").expect("JOB_CREATED");
        }
        String first = worker.say(Packet.GRAB_JOB).next("JOB_ASSIGN").split(" ")[0];
        worker.say(Packet.GRAB_JOB).expect("JOB_ASSIGN").say(Packet.GRAB_JOB).expect("JOB_ASSIGN");
        worker.say(Packet.GRAB_JOB).expect("NO_JOB").say(Packet.PRE_SLEEP).nothing();
        var group = harness.server.find("f").workers.groups.groups().iterator().next();
        assertEquals(3, group.slots(), "as the module is told");
        assertEquals(3, group.jobsInFlight());
        worker.say(Packet.WORK_COMPLETE, first, "").say(Packet.GRAB_JOB).expect("JOB_ASSIGN");
    }

    @Test
    void eachLimitIsAnErrorThatNamesTheSetting() {
        serve("\"max_jobs\":4,\"max_jobs_per_client\":2,\"max_functions\":3,"
                + "\"max_memory_mb\":1,\"max_packet_kb\":900,");
        StandIn a = harness.peer().say(Packet.SUBMIT_JOB_BG, "f", "", "1").expect("JOB_CREATED");
        a.say(Packet.SUBMIT_JOB_BG, "f", "", "2").expect("JOB_CREATED");
        a.say(Packet.SUBMIT_JOB_BG, "f", "", "3").expect("ERROR CLIENT_LIMIT max_jobs_per_client");
        StandIn b = harness.peer().say(Packet.SUBMIT_JOB_BG, "g", "", "1").expect("JOB_CREATED");
        b.say(Packet.SUBMIT_JOB_BG, "h", "", "1").expect("ERROR FUNCTION_LIMIT max_functions");
        StandIn c = harness.peer().say(Packet.SUBMIT_JOB_BG, "g", "", "x".repeat(880_000));
        c.expect("ERROR MEMORY_LIMIT max_memory_mb");
        c.say(Packet.ECHO_REQ, "on").expect("ECHO_RES on"); // dropped whole: the stream is in step
        c.say(Packet.SUBMIT_JOB_BG, "g", "", "x").expect("JOB_CREATED");
        c.say(Packet.SUBMIT_JOB_BG, "g", "", "x").expect("ERROR QUEUE_FULL max_jobs");
        StandIn d = harness.peer()
                .say(Packet.SUBMIT_JOB, "f", "", "x".repeat(930_000))
                .expect("ERROR TOO_LARGE");
        harness.net.until("the cut", () -> d.peer.disconnected);
        assertEquals(4, harness.server.jobs.size(), "nothing accepted is lost");
    }

    @Test
    void workloadAndResultOfSixtyFourMegabytes() throws IOException {
        serve("\"max_packet_kb\":66000,\"max_memory_mb\":600,\"max_unread_kb\":66000,");
        byte[] large = new byte[64 << 20];
        new java.util.Random(1).nextBytes(large);
        StandIn client = harness.peer();
        client.peer.write(Packet.SUBMIT_JOB.request("f", "", large));
        String handle = client.next("JOB_CREATED");
        harness.drop(client);
        harness.net.until("it to go", () -> harness.server.jobs.size() == 0);
        assertEquals(0, harness.server.budget.workloadBytes());
        Sink both = new Sink(harness);
        both.write(Packet.CAN_DO.request("f"), Packet.SUBMIT_JOB.request("f", "", large), Packet.GRAB_JOB.request());
        harness.net.until("the job", () -> both.last != null && both.last.count() == 3);
        assertArrayEquals(large, both.last.bytes(2));
        both.write(Packet.WORK_COMPLETE.request(both.last.text(0), large));
        both.last = null;
        harness.net.until("the result", () -> both.last != null);
        assertArrayEquals(large, both.last.bytes(1));
        both.close();
        assertEquals(0, harness.server.budget.workloadBytes());
        assertEquals(0, harness.server.budget.resultBytes());
    }

    /** A stream of data to a client that reads nothing stops the worker that writes it, not the server. */
    @Test
    void workDataForASlowClientThrottlesItsWorker() {
        serve("\"max_unread_kb\":8192,\"max_packet_kb\":256,");
        StandIn slow = harness.peer();
        StandIn worker = harness.peer().say(Packet.CAN_DO, "f");
        String handle = slow.say(Packet.SUBMIT_JOB, "f", "", "x").next("JOB_CREATED");
        worker.say(Packet.GRAB_JOB).expect("JOB_ASSIGN");
        slow.peer.pauseReading(true);
        String piece = "d".repeat(64 * 1024);
        for (int i = 0; i < 400; i++) {
            worker.say(Packet.WORK_DATA, handle, piece);
        }
        harness.net.until(
                "the worker to be held up",
                () -> harness.server.connections().stream().anyMatch(c -> c.worker() != null && c.readingPaused()));
        assertTrue(harness.server.unreadBytes() < 8192 * 1024, "bounded: " + harness.server.unreadBytes());
        StandIn other = harness.peer().say(Packet.ECHO_REQ, "on").expect("ECHO_RES on");
        slow.peer.pauseReading(false);
        worker.say(Packet.WORK_COMPLETE, handle, "end");
        for (int i = 0; i < 400; i++) {
            slow.expect("WORK_DATA");
        }
        slow.expect("WORK_COMPLETE " + handle + " end");
        other.nothing();
    }

    @Test
    void unusedFunctionIsRemovedUnlessCreatedByAnOperator() {
        serve("");
        harness.peer().say(Packet.GET_STATUS, "x").expect("STATUS_RES");
        assertEquals("OK\n", harness.admin("create function made"));
        StandIn w = harness.peer().say(Packet.CAN_DO, "gone").sync();
        harness.drop(w);
        harness.net.until("it to be forgotten", () -> harness.server.find("gone") == null);
        StandIn maker = harness.peer().say(Packet.CAN_DO, "made").sync();
        assertTrue(harness.admin("drop function made").startsWith("ERR"), "it has a worker");
        harness.drop(maker);
        harness.net.until(
                "it to have none",
                () -> harness.server.find("made").workers.groups.memberCount() == 0);
        harness.net.settle(1100); // the server looks every second for what stands empty
        assertNotNull(harness.server.find("made"), "a drop that was refused has changed nothing");
        assertEquals("OK\n", harness.admin("drop function made"));
        assertNull(harness.server.find("made"));
    }

    /**
     * Nobody asked for it for a while; its workers came, went and fell asleep without a word to the module.
     */
    @Test
    void suspendedFunctionResumesOnTheNextJob() {
        serve("");
        StandIn first = harness.peer().can("f");
        StandIn client = harness.peer().say(Packet.SUBMIT_JOB, "f", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, first.grab());
        first.say(Packet.WORK_COMPLETE, handle, "y");
        client.expect("WORK_COMPLETE");
        GearmanFunction f = harness.server.find("f");
        f.suspendIfIdle(-1);
        assertFalse(f.awake());
        harness.drop(first);
        StandIn second = harness.peer().can("f").sync();
        StandIn third = harness.peer().can("f").sync();
        assertEquals(0, f.workers.groups.availableWorkers(), "not kept while it rests");
        for (StandIn w : List.of(second, third)) {
            handle = client.say(Packet.SUBMIT_JOB, "f", "", "x").next("JOB_CREATED");
            assertEquals(handle, w.grab());
            w.say(Packet.WORK_COMPLETE, handle, "z");
            client.expect("WORK_COMPLETE " + handle + " z");
        }
        harness.drop(second);
        harness.drop(third);
        harness.net.until("it to be known that they went", () -> f.workers.groups.memberCount() == 0);
        assertTrue(f.workers.groups.groups().isEmpty());
    }

    /** Two functions and one worker: what both wait for goes by priority, and neither is starved. */
    @Test
    void functionsSharingAWorkerAreArbitratedFairly() {
        serve("");
        StandIn client = harness.peer();
        for (int i = 0; i < 6; i++) {
            client.say(Packet.SUBMIT_JOB, i < 3 ? "f" : "g", "", "x").expect("JOB_CREATED");
        }
        String high = client.say(Packet.SUBMIT_JOB_HIGH, "g", "", "x").next("JOB_CREATED");
        StandIn worker =
                harness.peer().say(Packet.CAN_DO, "f").say(Packet.CAN_DO, "g").say(Packet.CAN_DO, "idle");
        StringBuilder order = new StringBuilder();
        for (int i = 0; i < 7; i++) {
            String[] words = worker.say(Packet.GRAB_JOB).next("JOB_ASSIGN").split(" ");
            order.append(words[1]);
            assertEquals(i == 0, words[0].equals(high));
            worker.say(Packet.WORK_COMPLETE, words[0], "");
        }
        assertEquals("gfgfgfg", order.toString());
        assertFalse(harness.server.find("idle").awake(), "a function that nobody asks for costs nothing");
    }

    @Test
    void adminShutdownRunsTheShutdownAction() {
        serve("\"admin_shutdown\":false,");
        assertTrue(harness.admin("shutdown").startsWith("ERR NOT_ALLOWED"));
        harness.close();
        serve("");
        boolean[] asked = {false};
        harness.server.onShutDown(() -> asked[0] = true);
        assertEquals("OK\n", harness.admin("shutdown graceful"));
        harness.net.until("the call", () -> asked[0]);
    }
}
