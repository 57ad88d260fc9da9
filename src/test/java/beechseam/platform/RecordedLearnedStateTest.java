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
 * What a dispatcher of 16ef30c had learned is taken over whole: read, imported, exported and written again. No entry,
 * name or figure may differ, the age of what a worker was sent while it warmed up included: no time passes here
 * between the import and the export.
 */
class RecordedLearnedStateTest {
    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;
    /** The younger process's clock has another origin than the recorded one's. */
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

    /** A dispatcher that has just started, with the settings and the workers of the recorded one. */
    private static Dispatcher younger() {
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

    /** The recorded figures in their order, read without the code under test. */
    private static Map<String, List<Double>> recordedFigures() throws IOException {
        String piece = new String(RecordedHandoverTest.recordedPiece(), StandardCharsets.UTF_8);
        Map<String, List<Double>> all = new LinkedHashMap<>();
        ENTRY.matcher(piece).results().forEach(entry -> {
            Stream<String> figures = Stream.of(entry.group(2).split(",")).filter(each -> !each.isEmpty());
            all.put(entry.group(1), figures.map(Double::valueOf).toList());
        });
        return all;
    }

    /** The decoded entries in the recorded order: a reader of JSON may give them in any. */
    private static LearnedState inRecordedOrder(LearnedState decoded) throws IOException {
        Map<String, double[]> ordered = new LinkedHashMap<>();
        recordedFigures()
                .keySet()
                .forEach(name -> ordered.put(name, decoded.entries().get(name)));
        return new LearnedState(ordered);
    }

    private static Map<String, List<Double>> figures(LearnedState state) {
        Map<String, List<Double>> all = new LinkedHashMap<>();
        state.entries()
                .forEach((name, figures) ->
                        all.put(name, Arrays.stream(figures).boxed().toList()));
        return all;
    }

    @Test
    void recordingHoldsEveryKindOfEntryAndAWorkerThatWarmsUp() throws IOException {
        Map<String, List<Double>> recorded = recordedFigures();
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
        assertEquals(List.of(4.75e9, 5e8), recorded.get("cold 3"), "its age and its work, in nanoseconds");
    }

    @Test
    void recordedPieceIsDecodedWithItsFiguresAndEncodedWithItsBytes() throws IOException {
        byte[] piece = RecordedHandoverTest.recordedPiece();
        LearnedState decoded = LearnedStateCodec.decode(ByteBuffer.wrap(piece));
        assertEquals(recordedFigures(), figures(decoded));
        List<byte[]> encoded = LearnedStateCodec.encode(inRecordedOrder(decoded));
        assertEquals(1, encoded.size());
        assertArrayEquals(piece, encoded.get(0));
    }

    @Test
    void importedStateIsExportedWithTheSameNamesOrderAndFigures() throws IOException {
        Dispatcher younger = younger();
        LearnedState decoded = LearnedStateCodec.decode(ByteBuffer.wrap(RecordedHandoverTest.recordedPiece()));
        younger.importLearnedState(NOW, decoded);
        Map<String, List<Double>> exported = figures(younger.exportLearnedState(NOW));
        assertEquals(List.copyOf(recordedFigures().keySet()), List.copyOf(exported.keySet()));
        assertEquals(recordedFigures(), exported);
    }
}
