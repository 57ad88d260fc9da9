package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.DeduplicationScope;
import beechseam.dispatch.DispatchActions;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.Dispatcher;
import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.JobClass;
import beechseam.dispatch.LearnedState;
import beechseam.dispatch.LoadReportSource;
import beechseam.dispatch.WorkerEndpoint;
import beechseam.dispatch.WorkerRules;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Tests that the recorded learned state of a dispatcher of version 16ef30c is decoded, imported, exported and encoded
 * again without loss. No entry, name or number may differ. This includes the age of the work that a worker was sent
 * during its slow start, because no time passes here between the import and the export.
 */
class RecordedLearnedStateTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    /** The importing process's clock, which has another origin than that of the recorded process. */
    private static final long NOW = 7_000 * SECOND;

    private static final Pattern ENTRY = Pattern.compile("\"([^\"]*)\":\\[([^]]*)]");

    private static final class NoActions implements DispatchActions {
        @Override
        public void send(long job, long worker, long timeoutNs) {}

        @Override
        public void cancel(long job, int attempt) {}

        @Override
        public void shed(long job, long retryAfterNs) {}

        @Override
        public void fail(long job) {}

        @Override
        public void healthCheck(long worker) {}

        @Override
        public void scheduleTimer(long delayNs, long tag) {}

        @Override
        public void watchEndpoints() {}

        @Override
        public void log(String text) {}
    }

    /** Returns a new dispatcher with the settings and the workers of the recorded one. */
    private static Dispatcher newDispatcher() {
        JobClass safe = new JobClass(
                "safe", 400 * MS, 4 * SECOND, 2, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null);
        JobClass keyed = new JobClass(
                "keyed", 400 * MS, 4 * SECOND, 2, 3, 0.5, Idempotency.KEYED, DeduplicationScope.ZONE, 2 * SECOND, null);
        DispatchSettings settings = new DispatchSettings(
                List.of(safe, keyed),
                new DispatchLimits(3, SECOND, true, true, true, true, 10 * SECOND),
                new WorkerRules(SECOND / 4, 8 * SECOND, 0.25, 8 * SECOND, 3, SECOND, false),
                LoadReportSource.ANSWERS,
                false,
                1,
                0,
                "z1",
                true,
                SECOND,
                0.05,
                0,
                0.01,
                false);
        Dispatcher dispatcher = new Dispatcher(NOW, settings, 7, new NoActions());
        dispatcher.endpointsUpdated(
                NOW,
                EndpointUpdate.SNAPSHOT,
                List.of(
                        new WorkerEndpoint(1, 0, "z1", "std", 0, EndpointState.READY),
                        new WorkerEndpoint(2, 0, "z1", "big", 0, EndpointState.READY),
                        new WorkerEndpoint(3, 1, "z1", "std", NOW - SECOND, EndpointState.READY)));
        return dispatcher;
    }

    /** Returns the recorded numbers in their order, parsed without the code under test. */
    private static Map<String, List<Double>> recordedNumbers() throws IOException {
        String piece = new String(RecordedHandoverTest.recordedPiece(), StandardCharsets.UTF_8);
        Map<String, List<Double>> all = new LinkedHashMap<>();
        ENTRY.matcher(piece).results().forEach(entry -> {
            Stream<String> numbers = Stream.of(entry.group(2).split(",")).filter(each -> !each.isEmpty());
            all.put(entry.group(1), numbers.map(Double::valueOf).toList());
        });
        return all;
    }

    /** Returns the decoded entries in the recorded order, because a JSON parser may return them in any order. */
    private static LearnedState inRecordedOrder(LearnedState decoded) throws IOException {
        Map<String, double[]> ordered = new LinkedHashMap<>();
        recordedNumbers()
                .keySet()
                .forEach(name -> ordered.put(name, decoded.entries().get(name)));
        return new LearnedState(ordered);
    }

    private static Map<String, List<Double>> numbers(LearnedState state) {
        Map<String, List<Double>> all = new LinkedHashMap<>();
        state.entries()
                .forEach((name, numbers) ->
                        all.put(name, Arrays.stream(numbers).boxed().toList()));
        return all;
    }

    @Test
    void recordingHoldsEveryKindOfEntryAndAWorkerInSlowStart() throws IOException {
        Map<String, List<Double>> recorded = recordedNumbers();
        assertEquals(
                List.of(
                        "",
                        "class safe",
                        "class keyed",
                        "kind std",
                        "kind big",
                        "worker 1",
                        "cold 1",
                        "worker 2",
                        "cold 2",
                        "worker 3",
                        "cold 3"),
                List.copyOf(recorded.keySet()));
        assertEquals(
                List.of(4.75e9, 5e8), recorded.get("cold 3"), "the age and the work of the slow start, in nanoseconds");
    }

    @Test
    void recordedPieceIsDecodedWithItsNumbersAndEncodedWithItsBytes() throws IOException {
        byte[] piece = RecordedHandoverTest.recordedPiece();
        LearnedState decoded = LearnedStateCodec.decode(ByteBuffer.wrap(piece));
        assertEquals(recordedNumbers(), numbers(decoded));
        List<byte[]> encoded = LearnedStateCodec.encode(inRecordedOrder(decoded));
        assertEquals(1, encoded.size());
        assertArrayEquals(piece, encoded.get(0));
    }

    @Test
    void importedStateIsExportedWithTheSameNamesOrderAndNumbers() throws IOException {
        Dispatcher dispatcher = newDispatcher();
        LearnedState decoded = LearnedStateCodec.decode(ByteBuffer.wrap(RecordedHandoverTest.recordedPiece()));
        dispatcher.importLearnedState(NOW, decoded);
        Map<String, List<Double>> exported = numbers(dispatcher.exportLearnedState(NOW));
        assertEquals(List.copyOf(recordedNumbers().keySet()), List.copyOf(exported.keySet()));
        assertEquals(recordedNumbers(), exported);
    }
}
