package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.GearmanHarness.TestPeer;
import beechseam.gearman.protocol.Packet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the key of a job is in use as long as a worker runs the job, whatever became of the clients. */
class RunningKeyTest {
    private final GearmanHarness harness = new GearmanHarness("""
            {"listen":"127.0.0.1:0","name":"t","functions":[
              {"name":"once","effect":"unsafe","deadline_ms":60000},
              {"name":"keyed","effect":"keyed","window_ms":5000,"deadline_ms":60000},
              {"name":"brief","effect":"unsafe","deadline_ms":2000,"background_deadline_ms":2000}]}
            """);

    @AfterEach
    void close() {
        harness.close();
    }

    private TestPeer submit(Packet kind, String function) {
        return harness.peer().send(kind, function, "key", "x");
    }

    /** Submits a job and lets a worker begin it; the worker's next packet would be a second run. */
    private TestPeer runningWorker(TestPeer client, String function) {
        client.expect("JOB_CREATED");
        TestPeer worker = harness.peer().send(Packet.CAN_DO, function).send(Packet.GRAB_JOB);
        worker.expect("JOB_ASSIGN H:t:1");
        return worker;
    }

    private void leave(TestPeer client) {
        int before = harness.server.connections().size();
        harness.disconnect(client);
        harness.net.until(
                "the end of the connection", () -> harness.server.connections().size() < before);
    }

    /** Guards against a job that runs twice, since its client left and came again while it ran (picture c). */
    @ParameterizedTest
    @CsvSource({"once,SUBMIT_JOB", "once,SUBMIT_JOB_BG", "keyed,SUBMIT_JOB", "keyed,SUBMIT_JOB_HIGH_BG"})
    void clientThatComesAgainJoinsTheRunningJob(String function, Packet kind) {
        TestPeer first = submit(Packet.SUBMIT_JOB, function);
        TestPeer worker = runningWorker(first, function);
        TestPeer other = harness.peer().send(Packet.CAN_DO, function).sync();
        leave(first);
        TestPeer second = submit(kind, function).expect("JOB_CREATED H:t:1");
        other.send(Packet.GRAB_JOB).expect("NO_JOB");
        worker.send(Packet.WORK_COMPLETE, "H:t:1", "done").sync();
        if (kind == Packet.SUBMIT_JOB) {
            second.expect("WORK_COMPLETE H:t:1 done");
        }
        assertEquals(1, harness.server.jobs.ended(Jobs.End.SERVED));
        submit(Packet.SUBMIT_JOB, function).expect("JOB_CREATED H:t:2"); // the key is free again
    }

    /** Guards against the same after the deadline, when the client has its answer and the worker goes on. */
    @ParameterizedTest
    @ValueSource(strings = {"SUBMIT_JOB", "SUBMIT_JOB_BG"})
    void keyIsRefusedWhileAnAnsweredJobRuns(Packet kind) {
        TestPeer first = submit(Packet.SUBMIT_JOB, "brief");
        TestPeer worker = runningWorker(first, "brief");
        first.expect("WORK_FAIL");
        submit(kind, "brief").expect("ERROR KEY_IN_USE");
        first.send(Packet.GET_STATUS_UNIQUE, "key").expect("STATUS_RES_UNIQUE key 0 0");
        worker.send(Packet.WORK_COMPLETE, "H:t:1", "late").sync();
        submit(kind, "brief").expect("JOB_CREATED H:t:2");
        assertEquals(1, harness.server.jobs.ended(Jobs.End.FAILED));
    }

    /** The key, and the memory of the job, are released when the worker that runs an unwanted job is lost. */
    @Test
    void keyIsFreeOnceTheWorkerIsLost() {
        TestPeer first = submit(Packet.SUBMIT_JOB, "once");
        TestPeer worker = runningWorker(first, "once");
        leave(first);
        assertEquals(1, harness.server.jobs.size(), "the job goes on");
        leave(worker);
        assertEquals(1, harness.server.jobs.ended(Jobs.End.LEFT));
        assertEquals(0, harness.server.budget.workloadBytes());
        submit(Packet.SUBMIT_JOB, "once").expect("JOB_CREATED H:t:2");
    }

    /** A run that nobody waits for any more ends the job as left. */
    @Test
    void unwantedJobCountsAsLeftWhenItsRunEnds() {
        TestPeer first = submit(Packet.SUBMIT_JOB, "once");
        TestPeer worker = runningWorker(first, "once");
        leave(first);
        worker.send(Packet.WORK_COMPLETE, "H:t:1", "done").sync();
        assertEquals(1, harness.server.jobs.ended(Jobs.End.LEFT));
        assertEquals(0, harness.server.jobs.size());
        assertEquals(0, harness.server.budget.workloadBytes());
    }
}
