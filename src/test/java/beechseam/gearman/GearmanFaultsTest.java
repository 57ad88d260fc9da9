package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.TestPeer;
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

/** Tests the Gearman front end under faults: races, overload, limits, disconnects and shutdown. */
class GearmanFaultsTest {
    private GearmanHarness harness;

    /** Starts a server with these settings, each followed by a comma, besides the functions. */
    private void startServer(String settings) {
        harness = new GearmanHarness("{\"listen\":\"127.0.0.1:0\",\"name\":\"t\"," + settings + "\"functions\":["
                + "{\"name\":\"*\",\"effect\":\"unsafe\"},{\"name\":\"safe\",\"effect\":\"safe\"}]}");
    }

    /** A peer that accepts packets of any length and records the last one whose body has an array of its own. */
    private static final class Sink extends Connection implements PacketDecoder.Owner {
        private final PacketDecoder decoder = new PacketDecoder(this, Packet.RES, 1 << 28, 4096);
        Arguments lastLongPacket;

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
            lastLongPacket = args.owned() ? args : lastLongPacket;
        }

        @Override
        public PacketDecoder.Verdict longPacket(Packet kind, int size) {
            return PacketDecoder.Verdict.TAKE;
        }

        @Override
        public void unknown(int code) {
            throw new AssertionError("packet of unknown type " + code);
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
                "accepted jobs equal alive plus ended jobs");
        assertEquals(0, harness.server.counters().faults);
    }

    private void awaitEnded(Jobs.End end, long count) {
        harness.net.until(count + " " + end, () -> harness.server.jobs.ended(end) == count);
    }

    @Test
    void coalescedJobOutlivesItsFirstClient() {
        startServer("");
        TestPeer first = harness.peer().send(Packet.SUBMIT_JOB, "f", "k", "x");
        String handle = first.next("JOB_CREATED");
        List<TestPeer> others = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            others.add(harness.peer().send(Packet.SUBMIT_JOB, "f", "k", "x").expect("JOB_CREATED " + handle));
        }
        TestPeer worker =
                harness.peer().send(Packet.CAN_DO, "f").send(Packet.GRAB_JOB).expect("JOB_ASSIGN " + handle);
        harness.disconnect(first);
        for (int i = 0; i < 50; i += 2) {
            harness.disconnect(others.get(i));
        }
        worker.sync()
                .send(Packet.WORK_COMPLETE, handle, "r")
                .send(Packet.GRAB_JOB)
                .expect("NO_JOB");
        for (int i = 1; i < 50; i += 2) {
            others.get(i).expect("WORK_COMPLETE " + handle + " r").expectNothing();
        }
        assertEquals(1, harness.server.jobs.ended(Jobs.End.SERVED));
        assertEquals(1, harness.server.counters().attemptsSent);
    }

    /** A result and the client's disconnect arrive in one turn of the loop, in either order: the job ends once. */
    @Test
    void resultRacingClientDisconnectEndsTheJobOnce() {
        startServer("");
        TestPeer worker = harness.peer().send(Packet.CAN_DO, "f");
        for (int i = 0; i < 40; i++) {
            TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "f", "", "x");
            String handle = client.next("JOB_CREATED");
            worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN " + handle);
            if (i % 2 == 0) {
                harness.disconnect(client);
                worker.send(Packet.WORK_COMPLETE, handle, "r");
            } else {
                worker.send(Packet.WORK_COMPLETE, handle, "r");
                harness.disconnect(client);
            }
            worker.sync();
        }
        harness.net.until("all jobs to end", () -> harness.server.jobs.ended() == 40);
        assertEquals(0, harness.server.jobs.size());
        assertEquals(40, harness.server.jobs.ended(Jobs.End.SERVED) + harness.server.jobs.ended(Jobs.End.LEFT));
    }

    /** A worker exceeds its time limit, the job is retried on another one, and then the first worker answers. */
    @Test
    void lateAnswerAfterTimeoutIsDiscarded() {
        startServer("");
        TestPeer slow = harness.peer().send(Packet.CAN_DO_TIMEOUT, "safe", "1").send(Packet.PRE_SLEEP);
        TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "safe", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, slow.grab());
        TestPeer other = harness.peer().send(Packet.CAN_DO, "safe").send(Packet.PRE_SLEEP);
        assertEquals(handle, other.grab(), "a safe job is retried");
        slow.send(Packet.WORK_DATA, handle, "late")
                .send(Packet.WORK_COMPLETE, handle, "late")
                .expectNothing();
        client.expectNothing();
        other.send(Packet.WORK_COMPLETE, handle, "in time");
        client.expect("WORK_COMPLETE " + handle + " in time").expectNothing();
        slow.send(Packet.GRAB_JOB).expect("NO_JOB");
        assertEquals(1, harness.server.jobs.ended(Jobs.End.SERVED));
    }

    /**
     * A client that reads nothing has 10,000 results of 2 KB: it is disconnected, and others are served meanwhile.
     */
    @Test
    void clientThatNeverReadsIsDisconnected() {
        startServer("\"max_unread_kb\":1024,\"max_packet_kb\":64,");
        TestPeer nonReadingClient = harness.peer();
        nonReadingClient.peer.pauseReading(true);
        for (int i = 0; i < 10_000; i++) {
            nonReadingClient.send(Packet.SUBMIT_JOB, "f", "", "x");
        }
        TestPeer worker = harness.peer().send(Packet.CAN_DO, "f");
        TestPeer otherClient = harness.peer().send(Packet.SUBMIT_JOB, "f", "", "other");
        String otherHandle = otherClient.next("JOB_CREATED");
        String result = "r".repeat(2000);
        boolean served = false;
        for (int i = 0; i < 20_000 && !served; i++) {
            worker.send(Packet.GRAB_JOB);
            String packet = worker.next("");
            if (packet.startsWith("JOB_ASSIGN")) {
                String handle = packet.split(" ")[1];
                served = handle.equals(otherHandle);
                worker.send(Packet.WORK_COMPLETE, handle, result);
            }
        }
        otherClient.expect("WORK_COMPLETE " + otherHandle);
        assertTrue(
                harness.server.output.bytes() <= 2 * (1024 + 64) * 1024,
                "unread bytes: " + harness.server.output.bytes());
        harness.disconnect(nonReadingClient);
        harness.net.until("the jobs of the disconnected client to be abandoned", () -> harness.server.jobs.size() == 0);
    }

    @Test
    void silentConnectionsAreEvictedAtTheLimit() {
        startServer("\"max_connections\":100,");
        TestPeer worker =
                harness.peer().send(Packet.CAN_DO, "f").send(Packet.PRE_SLEEP).sync();
        List<TestPeer> shortLivedPeers = new ArrayList<>();
        for (int i = 0; i < 2000; i++) {
            shortLivedPeers.add(harness.peer());
            if (shortLivedPeers.size() >= 200) {
                harness.net.settle(1);
                shortLivedPeers.forEach(harness::disconnect);
                shortLivedPeers.clear();
            }
        }
        List<TestPeer> silentPeers = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            silentPeers.add(harness.peer());
        }
        TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "f", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, worker.grab(), "an active connection is not closed in favour of a silent one");
        worker.send(Packet.WORK_COMPLETE, handle, "y");
        client.expect("WORK_COMPLETE " + handle + " y");
        assertTrue(harness.server.connections().size() <= 100);
    }

    @Test
    void allWorkersLostAtOnceWithFiveThousandQueued() {
        startServer("");
        TestPeer client = harness.peer();
        for (int i = 0; i < 5000; i++) {
            client.send(Packet.SUBMIT_JOB, i % 2 == 0 ? "safe" : "once", "", "" + i);
        }
        List<TestPeer> workers = new ArrayList<>();
        Map<String, Integer> runCounts = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            TestPeer worker = harness.peer()
                    .send(Packet.CAN_DO, "safe")
                    .send(Packet.CAN_DO, "once")
                    .send(Packet.GRAB_JOB);
            runCounts.merge(worker.next("JOB_ASSIGN").split(" ")[0], 1, Integer::sum);
            workers.add(worker);
        }
        workers.forEach(harness::disconnect);
        harness.net.until(
                "all workers to be lost",
                () -> harness.server.functions().stream().allMatch(f -> f.workers.groups.memberCount() == 0));
        assertTrue(harness.server.jobs.size() >= 4960, "jobs that no worker held are still queued");
        TestPeer lastWorker = harness.peer()
                .send(Packet.CAN_DO, "safe")
                .send(Packet.CAN_DO, "once")
                .send(Packet.GRAB_JOB);
        while (harness.server.jobs.size() > 0) {
            String packet = lastWorker.next("");
            if (packet.startsWith("JOB_ASSIGN")) {
                String[] fields = packet.split(" ");
                int times = runCounts.merge(fields[1], 1, Integer::sum);
                assertTrue(times == 1 || fields[2].equals("safe"), "an unsafe job ran twice");
                lastWorker.send(Packet.WORK_COMPLETE, fields[1], "r");
            }
            lastWorker.send(Packet.GRAB_JOB).sync();
            client.sync();
        }
        Set<String> ends = new HashSet<>();
        client.received.stream()
                .filter(s -> s.startsWith("WORK_"))
                .forEach(s -> assertTrue(ends.add(s.split(" ")[1]), "second final answer: " + s));
        assertEquals(5000, ends.size());
        assertEquals(runCounts.size(), 5000, "each job ran");
        assertEquals(20, harness.server.jobs.ended(Jobs.End.FAILED), "twenty unsafe jobs were lost while running");
        // The dispatcher retries as many of the twenty safe jobs as its retry budget allows, and sheds the rest.
        assertEquals(5000 - 20, harness.server.jobs.ended(Jobs.End.SERVED) + harness.server.jobs.ended(Jobs.End.SHED));
        assertTrue(harness.server.jobs.ended(Jobs.End.SHED) < 20);
    }

    @Test
    void drainDuringARetry() {
        startServer("");
        TestPeer first = harness.peer().send(Packet.SET_CLIENT_ID, "one").send(Packet.CAN_DO, "safe");
        TestPeer client = harness.peer();
        for (int i = 0; i < 30; i++) { // each job adds a tenth of a retry to the retry budget
            client.send(Packet.SUBMIT_JOB_BG, "safe", "", "x").expect("JOB_CREATED");
            first.send(Packet.GRAB_JOB)
                    .send(Packet.WORK_COMPLETE, first.next("JOB_ASSIGN").split(" ")[0], "");
        }
        first.send(Packet.PRE_SLEEP);
        client.send(Packet.SUBMIT_JOB, "safe", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, first.grab());
        TestPeer second = harness.peer().send(Packet.SET_CLIENT_ID, "two").registerAndSleep("safe");
        harness.disconnect(first);
        second.expect("NOOP"); // the retry is reserved for it until it grabs
        assertEquals("OK\n", harness.admin("drain two"));
        second.send(Packet.GRAB_JOB).expect("NO_JOB").send(Packet.PRE_SLEEP).expectNothing();
        TestPeer reconnected = harness.peer()
                .send(Packet.SET_CLIENT_ID, "two")
                .send(Packet.CAN_DO, "safe")
                .send(Packet.GRAB_JOB);
        reconnected.expect("NO_JOB"); // a new connection under a drained client id is drained too
        TestPeer third = harness.peer().send(Packet.SET_CLIENT_ID, "three").send(Packet.CAN_DO, "safe");
        third.send(Packet.GRAB_JOB).expect("JOB_ASSIGN " + handle);
        third.send(Packet.WORK_COMPLETE, handle, "y");
        client.expect("WORK_COMPLETE " + handle + " y").expectNothing();
        assertEquals("OK\n", harness.admin("undrain two"));
        client.send(Packet.SUBMIT_JOB, "safe", "", "x").expect("JOB_CREATED");
        third.send(Packet.CANT_DO, "safe");
        second.expect("NOOP");
    }

    @Test
    void drainedWorkerMayFinishItsJobsInFlight() {
        startServer("");
        TestPeer worker = harness.peer().send(Packet.SET_CLIENT_ID, "w").registerAndSleep("f");
        TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "f", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, worker.grab());
        harness.admin("drain w");
        worker.send(Packet.WORK_COMPLETE, handle, "y");
        client.expect("WORK_COMPLETE " + handle + " y");
        client.send(Packet.SUBMIT_JOB, "f", "", "x").expect("JOB_CREATED");
        worker.send(Packet.GRAB_JOB).expect("NO_JOB").send(Packet.PRE_SLEEP).expectNothing();
    }

    @Test
    void epochJobsDueAtOneInstantAllRun() {
        startServer("");
        long due = System.currentTimeMillis() / 1000 + 2;
        TestPeer client = harness.peer();
        for (int i = 0; i < 2000; i++) {
            client.send(Packet.SUBMIT_JOB_EPOCH, "f", "", "" + due, "" + i);
        }
        client.sync();
        String first = client.received.peek().split(" ")[1];
        assertEquals("OK\n", harness.admin("cancel job " + first));
        TestPeer worker =
                harness.peer().send(Packet.CAN_DO, "f").send(Packet.GRAB_JOB).expect("NO_JOB");
        assertEquals("f\t1999\t0\t1\nsafe\t0\t0\t0\n.\n", harness.admin("status"));
        worker.send(Packet.PRE_SLEEP).expect("NOOP");
        assertTrue(System.currentTimeMillis() >= due * 1000, "no job runs before its due time");
        Set<String> startedHandles = new HashSet<>();
        for (int i = 0; i < 1999; i++) {
            worker.send(Packet.GRAB_JOB);
            String packet = worker.next("");
            if (packet.equals("NO_JOB")) { // other jobs that are due now are still being enqueued
                worker.send(Packet.PRE_SLEEP).expect("NOOP");
                i--;
                continue;
            }
            String handle = packet.split(" ")[1];
            assertTrue(startedHandles.add(handle));
            worker.send(Packet.WORK_COMPLETE, handle, "");
        }
        assertFalse(startedHandles.contains(first), "the cancelled job does not run");
        awaitEnded(Jobs.End.SERVED, 1999);
        awaitEnded(Jobs.End.CANCELLED, 1);
    }

    /** The server stops while jobs are queued, running, delayed, and in the background without a client. */
    @Test
    void shutdownEndsJobsOfEveryStage() {
        startServer("\"stop_within_ms\":700,");
        TestPeer client = harness.peer().send(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES");
        TestPeer worker = harness.peer().registerAndSleep("f");
        String running = client.send(Packet.SUBMIT_JOB, "f", "", "runs").next("JOB_CREATED");
        assertEquals(running, worker.grab());
        TestPeer stuckWorker = harness.peer().registerAndSleep("g");
        String stuck = client.send(Packet.SUBMIT_JOB, "g", "", "held").next("JOB_CREATED");
        assertEquals(stuck, stuckWorker.grab());
        String queued = client.send(Packet.SUBMIT_JOB, "h", "", "waits").next("JOB_CREATED");
        String coalesced = client.send(Packet.SUBMIT_JOB_BG, "h", "k", "x").next("JOB_CREATED");
        client.send(Packet.SUBMIT_JOB, "h", "k", "x").expect("JOB_CREATED " + coalesced);
        for (int i = 0; i < 3000; i++) {
            client.send(Packet.SUBMIT_JOB_BG, "b", "", "x").expect("JOB_CREATED");
        }
        client.send(Packet.SUBMIT_JOB_EPOCH, "f", "", "2000000000", "x").expect("JOB_CREATED");
        boolean[] done = {false};
        harness.server.stop(() -> done[0] = true);
        assertEquals(3001, harness.server.jobs.ended(Jobs.End.LOST), "background jobs that no worker has started");
        client.send(Packet.SUBMIT_JOB, "f", "", "new").expect("ERROR QUEUE_FULL");
        worker.send(Packet.WORK_COMPLETE, running, "r");
        client.expect("WORK_COMPLETE " + running + " r");
        Map<String, String> ends = new HashMap<>();
        while (ends.size() < 3) {
            String packet = client.next("");
            if (packet.startsWith("WORK_EXCEPTION")) {
                ends.merge(packet.split(" ")[1], packet, (a, b) -> fail("second exception: " + packet));
            }
        }
        assertTrue(
                ends.get(queued).contains("busy: retry after 2.000 s"), "a job that never ran may be submitted again");
        assertTrue(ends.get(coalesced).contains("busy: retry after"), ends.get(coalesced));
        assertNull(ends.get(running));
        harness.net.until("the server to stop", () -> done[0]);
        assertEquals(0, harness.server.jobs.size());
        assertEquals(0, harness.server.budget.workloadBytes(), "all reserved memory is released");
    }

    /** Workers of the C library send an exception, no final packet, and then grab the next job. */
    @Test
    void workExceptionWithoutFinalPacketFailsTheJob() {
        startServer("");
        TestPeer worker = harness.peer().send(Packet.CAN_DO, "f");
        TestPeer client = harness.peer().send(Packet.OPTION_REQ, "exceptions").expect("OPTION_RES");
        String one = client.send(Packet.SUBMIT_JOB, "f", "", "1").next("JOB_CREATED");
        String two = client.send(Packet.SUBMIT_JOB, "f", "", "2").next("JOB_CREATED");
        worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN " + one).send(Packet.WORK_EXCEPTION, one, "why");
        client.expect("WORK_EXCEPTION " + one + " why").expectNothing();
        worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN " + two);
        client.expect("WORK_EXCEPTION " + one + " failed")
                .expect("WORK_FAIL " + one)
                .expectNothing();
        worker.send(Packet.WORK_COMPLETE, one, "late").expect("ERROR JOB_NOT_FOUND");
        worker.send(Packet.WORK_COMPLETE, two, "r");
        client.expect("WORK_COMPLETE " + two);
    }

    @Test
    void singleSlotWorkerThatGrabsAgainHasLostItsJob() {
        startServer("\"worker_slots\":1,");
        TestPeer worker = harness.peer().send(Packet.CAN_DO, "f");
        TestPeer client = harness.peer();
        String one = client.send(Packet.SUBMIT_JOB, "f", "", "1").next("JOB_CREATED");
        worker.send(Packet.GRAB_JOB)
                .expect("JOB_ASSIGN " + one)
                .send(Packet.GRAB_JOB)
                .expect("NO_JOB");
        client.expect("WORK_FAIL " + one).expectNothing();
    }

    @Test
    void workerHoldsNoMoreJobsThanItsSlots() {
        startServer("\"worker_slots\":3,");
        TestPeer worker = harness.peer().send(Packet.CAN_DO, "f");
        TestPeer client = harness.peer();
        for (int i = 0; i < 5; i++) {
            client.send(Packet.SUBMIT_JOB, "f", "", "x").expect("JOB_CREATED");
        }
        String first = worker.send(Packet.GRAB_JOB).next("JOB_ASSIGN").split(" ")[0];
        worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN").send(Packet.GRAB_JOB).expect("JOB_ASSIGN");
        worker.send(Packet.GRAB_JOB).expect("NO_JOB").send(Packet.PRE_SLEEP).expectNothing();
        var group = harness.server.find("f").workers.groups.groups().iterator().next();
        assertEquals(3, group.slots(), "slots reported to the dispatcher");
        assertEquals(3, group.jobsInFlight());
        worker.send(Packet.WORK_COMPLETE, first, "").send(Packet.GRAB_JOB).expect("JOB_ASSIGN");
    }

    @Test
    void eachLimitIsAnErrorThatNamesTheSetting() {
        startServer("\"max_jobs\":4,\"max_jobs_per_client\":2,\"max_functions\":3,"
                + "\"max_memory_mb\":1,\"max_packet_kb\":900,");
        TestPeer a = harness.peer().send(Packet.SUBMIT_JOB_BG, "f", "", "1").expect("JOB_CREATED");
        a.send(Packet.SUBMIT_JOB_BG, "f", "", "2").expect("JOB_CREATED");
        a.send(Packet.SUBMIT_JOB_BG, "f", "", "3").expect("ERROR CLIENT_LIMIT max_jobs_per_client");
        TestPeer b = harness.peer().send(Packet.SUBMIT_JOB_BG, "g", "", "1").expect("JOB_CREATED");
        b.send(Packet.SUBMIT_JOB_BG, "h", "", "1").expect("ERROR FUNCTION_LIMIT max_functions");
        TestPeer c = harness.peer().send(Packet.SUBMIT_JOB_BG, "g", "", "x".repeat(880_000));
        c.expect("ERROR MEMORY_LIMIT max_memory_mb");
        c.send(Packet.ECHO_REQ, "on").expect("ECHO_RES on"); // the whole packet was skipped, so the next one is decoded
        c.send(Packet.SUBMIT_JOB_BG, "g", "", "x").expect("JOB_CREATED");
        c.send(Packet.SUBMIT_JOB_BG, "g", "", "x").expect("ERROR QUEUE_FULL max_jobs");
        TestPeer tooLarge = harness.peer()
                .send(Packet.SUBMIT_JOB, "f", "", "x".repeat(930_000))
                .expect("ERROR TOO_LARGE");
        harness.net.until("the server to disconnect", () -> tooLarge.peer.disconnected);
        assertEquals(4, harness.server.jobs.size(), "accepted jobs remain");
    }

    @Test
    void workloadAndResultOfSixtyFourMegabytes() throws IOException {
        startServer("\"max_packet_kb\":66000,\"max_memory_mb\":600,\"max_unread_kb\":66000,");
        byte[] large = new byte[64 << 20];
        new java.util.Random(1).nextBytes(large);
        TestPeer client = harness.peer();
        client.peer.write(Packet.SUBMIT_JOB.request("f", "", large));
        String handle = client.next("JOB_CREATED");
        harness.disconnect(client);
        harness.net.until("the job to be abandoned", () -> harness.server.jobs.size() == 0);
        assertEquals(0, harness.server.budget.workloadBytes());
        Sink receiver = new Sink(harness);
        receiver.write(
                Packet.CAN_DO.request("f"), Packet.SUBMIT_JOB.request("f", "", large), Packet.GRAB_JOB.request());
        harness.net.until("the job", () -> receiver.lastLongPacket != null && receiver.lastLongPacket.count() == 3);
        assertArrayEquals(large, receiver.lastLongPacket.bytes(2));
        receiver.write(Packet.WORK_COMPLETE.request(receiver.lastLongPacket.text(0), large));
        receiver.lastLongPacket = null;
        harness.net.until("the result", () -> receiver.lastLongPacket != null);
        assertArrayEquals(large, receiver.lastLongPacket.bytes(1));
        receiver.close();
        assertEquals(0, harness.server.budget.workloadBytes());
        assertEquals(0, harness.server.budget.resultBytes());
    }

    /** A worker that streams data to a client that reads nothing is paused; the server serves other peers. */
    @Test
    void workDataForASlowClientThrottlesItsWorker() {
        startServer("\"max_unread_kb\":8192,\"max_packet_kb\":256,");
        TestPeer slow = harness.peer();
        TestPeer worker = harness.peer().send(Packet.CAN_DO, "f");
        String handle = slow.send(Packet.SUBMIT_JOB, "f", "", "x").next("JOB_CREATED");
        worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN");
        slow.peer.pauseReading(true);
        String chunk = "d".repeat(64 * 1024);
        for (int i = 0; i < 400; i++) {
            worker.send(Packet.WORK_DATA, handle, chunk);
        }
        harness.net.until(
                "reading from the worker to be paused",
                () -> harness.server.connections().stream().anyMatch(c -> c.worker() != null && c.readingPaused()));
        assertTrue(harness.server.output.bytes() < 8192 * 1024, "unread bytes: " + harness.server.output.bytes());
        TestPeer other = harness.peer().send(Packet.ECHO_REQ, "on").expect("ECHO_RES on");
        slow.peer.pauseReading(false);
        worker.send(Packet.WORK_COMPLETE, handle, "end");
        for (int i = 0; i < 400; i++) {
            slow.expect("WORK_DATA");
        }
        slow.expect("WORK_COMPLETE " + handle + " end");
        other.expectNothing();
    }

    @Test
    void unusedFunctionIsRemovedUnlessCreatedByAnOperator() {
        startServer("");
        harness.peer().send(Packet.GET_STATUS, "x").expect("STATUS_RES");
        assertEquals("OK\n", harness.admin("create function made"));
        TestPeer unusedWorker = harness.peer().send(Packet.CAN_DO, "gone").sync();
        harness.disconnect(unusedWorker);
        harness.net.until("the unused function to be removed", () -> harness.server.find("gone") == null);
        TestPeer worker = harness.peer().send(Packet.CAN_DO, "made").sync();
        assertTrue(harness.admin("drop function made").startsWith("ERR"), "a function with a worker is not dropped");
        harness.disconnect(worker);
        harness.net.until(
                "the worker to be removed",
                () -> harness.server.find("made").workers.groups.memberCount() == 0);
        harness.net.settle(1100); // the server removes unused functions once a second
        assertNotNull(harness.server.find("made"), "a rejected drop has no effect later");
        assertEquals("OK\n", harness.admin("drop function made"));
        assertNull(harness.server.find("made"));
    }

    /**
     * Workers connect, disconnect and sleep while their function is suspended, which the dispatcher does not see.
     */
    @Test
    void suspendedFunctionResumesOnTheNextJob() {
        startServer("");
        TestPeer first = harness.peer().registerAndSleep("f");
        TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "f", "", "x");
        String handle = client.next("JOB_CREATED");
        assertEquals(handle, first.grab());
        first.send(Packet.WORK_COMPLETE, handle, "y");
        client.expect("WORK_COMPLETE");
        GearmanFunction f = harness.server.find("f");
        f.suspendIfIdle(-1);
        assertFalse(f.awake());
        harness.disconnect(first);
        TestPeer second = harness.peer().registerAndSleep("f").sync();
        TestPeer third = harness.peer().registerAndSleep("f").sync();
        assertEquals(
                0, f.workers.groups.availableWorkers(), "availability is not tracked while the function is suspended");
        for (TestPeer worker : List.of(second, third)) {
            handle = client.send(Packet.SUBMIT_JOB, "f", "", "x").next("JOB_CREATED");
            assertEquals(handle, worker.grab());
            worker.send(Packet.WORK_COMPLETE, handle, "z");
            client.expect("WORK_COMPLETE " + handle + " z");
        }
        harness.disconnect(second);
        harness.disconnect(third);
        harness.net.until("both workers to be removed", () -> f.workers.groups.memberCount() == 0);
        assertTrue(f.workers.groups.groups().isEmpty());
    }

    /** Two functions share one worker: it takes jobs by priority, then in turns, so that neither is starved. */
    @Test
    void functionsSharingAWorkerAreArbitratedFairly() {
        startServer("");
        TestPeer client = harness.peer();
        for (int i = 0; i < 6; i++) {
            client.send(Packet.SUBMIT_JOB, i < 3 ? "f" : "g", "", "x").expect("JOB_CREATED");
        }
        String high = client.send(Packet.SUBMIT_JOB_HIGH, "g", "", "x").next("JOB_CREATED");
        TestPeer worker =
                harness.peer().send(Packet.CAN_DO, "f").send(Packet.CAN_DO, "g").send(Packet.CAN_DO, "idle");
        StringBuilder order = new StringBuilder();
        for (int i = 0; i < 7; i++) {
            String[] fields = worker.send(Packet.GRAB_JOB).next("JOB_ASSIGN").split(" ");
            order.append(fields[1]);
            assertEquals(i == 0, fields[0].equals(high));
            worker.send(Packet.WORK_COMPLETE, fields[0], "");
        }
        assertEquals("gfgfgfg", order.toString());
        assertFalse(harness.server.find("idle").awake(), "a function without jobs stays suspended");
    }

    @Test
    void adminShutdownRunsTheShutdownAction() {
        startServer("\"admin_shutdown\":false,");
        assertTrue(harness.admin("shutdown").startsWith("ERR NOT_ALLOWED"));
        harness.close();
        startServer("");
        boolean[] actionRan = {false};
        harness.server.onShutDown(() -> actionRan[0] = true);
        assertEquals("OK\n", harness.admin("shutdown graceful"));
        harness.net.until("the shutdown action", () -> actionRan[0]);
    }
}
