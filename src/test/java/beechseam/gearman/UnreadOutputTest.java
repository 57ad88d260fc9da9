package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.TestPeer;
import beechseam.gearman.protocol.Packet;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests a server whose clients leave output unread, each far less than a client alone may. */
class UnreadOutputTest {
    private static final int CLIENTS = 8;
    private static final int PIECE_BYTES = 4000;
    /** Enough pieces for each client that the kernel's buffers cannot hold them. */
    private static final int PIECES = 2500;
    /** The share of max_memory_mb that is for results. */
    private static final long SHARE_BYTES = 1024 * 1024;

    /** What may be read of each connection before it is paused: a packet and the overhead of its buffers. */
    private static final long EXCESS_BYTES = CLIENTS * 2L * (PIECE_BYTES + 400);

    private final GearmanHarness harness = new GearmanHarness("""
            {"listen":"127.0.0.1:0","name":"t","max_memory_mb":4,"functions":[
              {"name":"f","effect":"safe"},{"name":"g","effect":"safe"}]}
            """);

    @AfterEach
    void close() {
        harness.close();
    }

    private TestPeer worker(String function) {
        return harness.peer().send(Packet.CAN_DO, function);
    }

    /** Waits until the share is used up, and then asserts for a while that it is not exceeded. */
    private void assertBounded() {
        harness.net.until("the use of the whole share", () -> harness.server.output.bytes() > SHARE_BYTES);
        for (int i = 0; i < 150; i++) {
            long queued = harness.server.output.bytes();
            assertTrue(queued < SHARE_BYTES + EXCESS_BYTES, "bytes queued: " + queued);
            harness.net.settle(2);
        }
    }

    /** Guards against a heap filled with pieces of results that many clients leave unread. */
    @ParameterizedTest
    @EnumSource(
            value = Packet.class,
            names = {"WORK_DATA", "WORK_WARNING", "WORK_STATUS"})
    void unreadPiecesOfManyClientsStayWithinTheirShareAndArriveLater(Packet kind) {
        List<TestPeer> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            TestPeer worker = worker("f");
            TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "f", "", "x");
            String handle = client.next("JOB_CREATED");
            worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN");
            clients.add(client);
            client.peer.pauseReading(true);
            for (int j = 0; j < PIECES; j++) {
                String piece = "p".repeat(PIECE_BYTES);
                if (kind == Packet.WORK_STATUS) {
                    worker.send(kind, handle, piece, "1");
                } else {
                    worker.send(kind, handle, piece);
                }
            }
            worker.send(Packet.WORK_COMPLETE, handle, "end");
        }
        assertBounded();
        TestPeer otherWorker = worker("g");
        TestPeer other = harness.peer().send(Packet.SUBMIT_JOB, "g", "", "x");
        String handle = other.next("JOB_CREATED");
        otherWorker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN").send(Packet.WORK_COMPLETE, handle, "done");
        other.next("WORK_COMPLETE");
        for (TestPeer each : clients) {
            each.peer.pauseReading(false);
            for (int j = 0; j < PIECES; j++) {
                each.next(kind.name());
            }
            each.next("WORK_COMPLETE");
        }
    }

    /** Guards against the same with whole results, which end their jobs. */
    @Test
    void unreadResultsOfManyClientsStayWithinTheirShare() {
        int jobs = 3000;
        List<TestPeer> clients = List.of(harness.peer(), harness.peer());
        for (TestPeer each : clients) {
            IntStream.range(0, jobs).forEach(i -> each.send(Packet.SUBMIT_JOB, "f", "", "x"));
            each.sync();
            each.received.clear();
            each.peer.pauseReading(true);
        }
        String result = "r".repeat(PIECE_BYTES);
        for (int i = 0; i < CLIENTS; i++) {
            answerAll(worker("f"), result);
        }
        assertBounded();
    }

    /** Lets a worker answer each job with the result as soon as it is assigned, for as long as the loop runs. */
    private void answerAll(TestPeer worker, String result) {
        worker.send(Packet.GRAB_JOB);
        harness.net.loop.post(new Runnable() {
            @Override
            public void run() {
                worker.read();
                for (String packet = worker.received.poll(); packet != null; packet = worker.received.poll()) {
                    if (packet.startsWith("JOB_ASSIGN")) {
                        worker.send(Packet.WORK_COMPLETE, packet.split(" ")[1], result)
                                .send(Packet.GRAB_JOB);
                    }
                }
                harness.net.loop.atTurnEnd(() -> harness.net.loop.post(this));
            }
        });
    }

    /** Guards against the same with answers to the clients' own requests. */
    @Test
    void unreadAnswersOfManyClientsStayWithinTheirShare() {
        for (int i = 0; i < CLIENTS; i++) {
            TestPeer client = harness.peer();
            client.peer.pauseReading(true);
            IntStream.range(0, PIECES).forEach(j -> client.send(Packet.ECHO_REQ, "e".repeat(PIECE_BYTES)));
        }
        assertBounded();
    }
}
