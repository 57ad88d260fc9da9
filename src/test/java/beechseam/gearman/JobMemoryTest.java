package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.gearman.protocol.Packet;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that the bytes reserved for jobs cover the heap that the jobs take. */
class JobMemoryTest {
    private static final int WARM_UP_JOBS = 300;
    private static final int JOBS = 6000;
    private static final String WORKLOAD = "w".repeat(32);
    private static final String FAR_FUTURE_S = "1900000000";

    private final GearmanHarness harness = new GearmanHarness("""
            {"listen":"127.0.0.1:0","name":"t","max_memory_mb":512,"functions":[
              {"name":"f","effect":"safe","deadline_ms":3600000}]}
            """);
    private final List<SocketChannel> openClients = new ArrayList<>();
    private int submitted;

    @AfterEach
    void close() throws IOException {
        for (SocketChannel client : openClients) {
            client.close();
        }
        harness.close();
    }

    /** A way to submit a number of jobs. */
    private interface Submissions {
        void submit(JobMemoryTest test, int jobs) throws IOException;
    }

    private static Arguments named(String name, Submissions submissions) {
        return Arguments.of(Named.of(name, submissions));
    }

    private static Stream<Arguments> submissions() {
        return Stream.of(
                named("clients that leave", (test, jobs) -> test.fromClientsThatLeave(jobs, Packet.SUBMIT_JOB_BG)),
                named(
                        "delayed jobs of clients that leave",
                        (test, jobs) -> test.fromClientsThatLeave(jobs, Packet.SUBMIT_JOB_EPOCH)),
                named("one client", (test, jobs) -> test.fromOneClient(jobs, Packet.SUBMIT_JOB_BG, "key-", WORKLOAD)),
                named(
                        "one client that waits",
                        (test, jobs) -> test.fromOneClient(jobs, Packet.SUBMIT_JOB, "key-", WORKLOAD)),
                named("clients that wait for a job of another", JobMemoryTest::fromClientsThatJoin),
                named(
                        "long keys",
                        (test, jobs) -> test.fromOneClient(jobs, Packet.SUBMIT_JOB_BG, "\u20ac".repeat(300), WORKLOAD)),
                named(
                        "workloads that are their own keys",
                        (test, jobs) -> test.fromOneClient(jobs, Packet.SUBMIT_JOB_BG, "-", "w".repeat(1000))),
                named(
                        "long workloads that are their own keys",
                        (test, jobs) -> test.fromOneClient(jobs / 2, Packet.SUBMIT_JOB_BG, "-", "w".repeat(6_000))));
    }

    /**
     * Guards against a heap that fills with jobs before their reserved bytes reach the limit (review case 6): a queued
     * job kept the whole connection of its client, long after the client had gone.
     */
    @ParameterizedTest
    @MethodSource("submissions")
    void reservedBytesCoverTheHeapThatJobsTake(Submissions submissions) throws IOException {
        submissions.submit(this, WARM_UP_JOBS);
        long heapBefore = LiveHeap.bytes();
        long reservedBefore = harness.server.budget.workloadBytes();
        submissions.submit(this, JOBS);
        long taken = LiveHeap.bytes() - heapBefore;
        long reserved = harness.server.budget.workloadBytes() - reservedBefore;
        int jobs = harness.server.jobs.size();
        assertTrue(taken <= reserved, jobs + " jobs take " + taken + " bytes, reserved are " + reserved);
    }

    private void fromClientsThatLeave(int jobs, Packet kind) throws IOException {
        for (int i = 0; i < jobs; i++) {
            try (SocketChannel client = SocketChannel.open(harness.server.address())) {
                client.write(request(kind, "key-" + submitted++, WORKLOAD));
                awaitJobs();
            }
        }
        harness.net.until(
                "the end of the connections", () -> harness.server.connections().isEmpty());
    }

    private void fromOneClient(int jobs, Packet kind, String key, String workload) throws IOException {
        SocketChannel client = SocketChannel.open(harness.server.address());
        openClients.add(client);
        for (int i = 0; i < jobs; i++) {
            int number = submitted++;
            String uniqueKey = key.equals("-") ? key : key + number;
            client.write(request(kind, uniqueKey, workload + number));
            awaitJobs();
            client.read(ByteBuffer.allocate(100));
        }
    }

    /** Joins the jobs of the warm-up: each of several clients waits for all of them. */
    private void fromClientsThatJoin(int joins) throws IOException {
        if (submitted == 0) {
            fromOneClient(joins, Packet.SUBMIT_JOB_BG, "key-", WORKLOAD);
            return;
        }
        for (int i = 0; i < joins / submitted; i++) {
            SocketChannel client = SocketChannel.open(harness.server.address());
            openClients.add(client);
            for (int number = 0; number < submitted; number++) {
                client.write(request(Packet.SUBMIT_JOB, "key-" + number, WORKLOAD));
                int waiting = i + 1;
                GearmanJob job = harness.server.jobs.byUnique("key-" + number);
                harness.net.until("the client", () -> job.clientCount() == waiting);
                client.read(ByteBuffer.allocate(100));
            }
        }
    }

    private static ByteBuffer request(Packet kind, String key, String workload) {
        return kind == Packet.SUBMIT_JOB_EPOCH
                ? kind.request("f", key, FAR_FUTURE_S, workload)
                : kind.request("f", key, workload);
    }

    private void awaitJobs() {
        harness.net.until("job " + submitted, () -> harness.server.jobs.size() == submitted);
    }
}
