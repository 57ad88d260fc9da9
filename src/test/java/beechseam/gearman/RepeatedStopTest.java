package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.TestPeer;
import beechseam.gearman.protocol.Packet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a server that is told to stop more than once: by signals, or by a signal and the admin line. */
class RepeatedStopTest {
    private final GearmanHarness harness = new GearmanHarness("""
            {"listen":"127.0.0.1:0","name":"t","functions":[{"name":"f","effect":"safe"}]}
            """);
    private int stopped;

    @AfterEach
    void close() {
        harness.net.close();
    }

    private void stop() {
        harness.server.stop(() -> stopped++);
    }

    /** Guards against a process with both front ends that ended at once, as the job server reported its end twice. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void secondStopChangesNothing(boolean byAdminLine) {
        harness.server.onShutDown(this::stop);
        TestPeer worker =
                harness.peer().send(Packet.CAN_DO, "f").send(Packet.GRAB_JOB).expect("NO_JOB");
        TestPeer client = harness.peer().send(Packet.SUBMIT_JOB, "f", "", "x");
        String handle = client.next("JOB_CREATED");
        worker.send(Packet.GRAB_JOB).expect("JOB_ASSIGN");
        if (byAdminLine) {
            assertTrue(harness.admin("shutdown graceful").startsWith("OK"));
        } else {
            stop();
        }
        stop();
        harness.net.settle(100);
        assertEquals(0, stopped, "the job is still open");
        worker.send(Packet.WORK_COMPLETE, handle, "done");
        client.expect("WORK_COMPLETE " + handle + " done");
        harness.disconnect(client);
        harness.disconnect(worker);
        harness.net.until("the end", () -> stopped > 0);
        harness.net.settle(100);
        assertEquals(1, stopped);
    }
}
