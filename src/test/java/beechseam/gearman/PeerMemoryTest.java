package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.TestPeer;
import beechseam.gearman.protocol.Packet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that peers cannot make a server keep texts of any length, which no budget counts. */
class PeerMemoryTest {
    private static final int PEERS = 10;
    private static final int LONG_TEXT_BYTES = 4_000_000;
    /** Far less than the peers send, and more than their connections take. */
    private static final long MAX_KEPT_BYTES = 1_000_000;

    private final GearmanHarness harness = new GearmanHarness("""
            {"listen":"127.0.0.1:0","name":"t","functions":[{"name":"f","effect":"safe"}]}
            """);

    @AfterEach
    void close() {
        harness.close();
    }

    /** Guards against a heap that fills with long client ids, which connections keep. */
    @Test
    void longClientIdIsRefusedAndNotKept() {
        long before = LiveHeap.bytes();
        for (int i = 0; i < PEERS; i++) {
            harness.peer()
                    .send(Packet.CAN_DO, "f")
                    .send(Packet.SET_CLIENT_ID, "first")
                    .send(Packet.SET_CLIENT_ID, "i".repeat(LONG_TEXT_BYTES))
                    .expect("ERROR BAD_ARGUMENTS");
        }
        long kept = LiveHeap.bytes() - before;
        assertTrue(kept < MAX_KEPT_BYTES, "bytes kept: " + kept);
        assertEquals(PEERS, harness.admin("workers").split(" first ", -1).length - 1, "the former id stays");
    }

    /** Guards against a heap that fills with long texts of WORK_STATUS, which running jobs keep. */
    @Test
    void longStatusIsForwardedAndNotKept() {
        TestPeer worker = harness.peer().send(Packet.CAN_DO, "f");
        TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "f", "", "x");
        String handle = client.next("JOB_CREATED");
        worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN");
        worker.send(Packet.WORK_STATUS, handle, "1", "2");
        worker.send(Packet.WORK_STATUS, handle, "n".repeat(LONG_TEXT_BYTES), "2");
        client.expect("WORK_STATUS " + handle + " 1 2").expect("WORK_STATUS " + handle + " nnn");
        client.send(Packet.GET_STATUS, handle).expect("STATUS_RES " + handle + " 1 1 1 2");
    }
}
