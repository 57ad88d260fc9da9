package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.TestPeer;
import beechseam.gearman.protocol.Packet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests when a job is assigned again whose repeats its workers drop only for a while. */
class KeyedWindowTest {
    private static final long WINDOW_MS = 3000;
    /** The first worker is lost this long before the window ends, when the job may still be placed again. */
    private static final long LOST_BEFORE_END_MS = 2000;

    private final GearmanHarness harness = new GearmanHarness("""
            {"listen":"127.0.0.1:0","name":"t","grab_timeout_ms":20000,
              "workers":[{"client_id":"*","cell":1}],"functions":[
              {"name":"f","effect":"keyed","group":"cell","window_ms":3000,"aim_ms":200,"deadline_ms":60000}]}
            """);

    @AfterEach
    void close() {
        harness.close();
    }

    private TestPeer sleepingWorker(String id) {
        return harness.peer().send(Packet.SET_CLIENT_ID, id).registerAndSleep("f");
    }

    /** Loses the job's first worker shortly before the window ends, so that the second worker is called. */
    private TestPeer callSecondWorker() {
        TestPeer first = sleepingWorker("a");
        harness.peer().send(Packet.SUBMIT_JOB_BG, "f", "key", "x").expect("JOB_CREATED");
        first.grab();
        TestPeer second = sleepingWorker("b");
        harness.net.settle(WINDOW_MS - LOST_BEFORE_END_MS);
        harness.disconnect(first);
        return second.expect("NOOP");
    }

    /** Guards against a keyed job that takes effect twice, since its worker asks for it after the window (case 9). */
    @Test
    void jobIsNotAssignedAgainAfterItsWindow() {
        TestPeer second = callSecondWorker();
        harness.net.settle(LOST_BEFORE_END_MS);
        second.send(Packet.GRAB_JOB).expect("NO_JOB");
        harness.net.until("the end of the job", () -> harness.server.jobs.size() == 0);
        assertEquals(1, harness.server.jobs.ended(Jobs.End.FAILED));
        TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "f", "next", "y");
        client.expect("JOB_CREATED");
        second.send(Packet.GRAB_JOB).expect("JOB_ASSIGN"); // the worker stays usable
    }

    /** The window does not keep a job from a worker that asks in time. */
    @Test
    void jobIsAssignedAgainWithinItsWindow() {
        callSecondWorker().send(Packet.GRAB_JOB).expect("JOB_ASSIGN");
    }
}
