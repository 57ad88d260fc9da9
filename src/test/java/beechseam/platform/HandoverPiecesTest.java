package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.config.Json;
import beechseam.dispatch.LearnedState;
import beechseam.ops.HandoverLink;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What a process hands over to its successor, cut into frames by size and not by number. */
class HandoverPiecesTest {
    private static final int SERVERS = 4096;
    private static final int LONG_HISTORY = 400;

    private static double[] figures(int count) {
        double[] figures = new double[count];
        Arrays.fill(figures, -0.12345678901234567);
        return figures;
    }

    private static Map<String, Object> joined(List<byte[]> pieces) throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        for (byte[] each : pieces) {
            assertTrue(each.length <= HandoverLink.MAX_PIECE_BYTES, each.length + " bytes in one frame");
            Map<?, ?> piece = (Map<?, ?>) Json.parse(each, 0, each.length);
            piece.forEach((name, list) -> all.put((String) name, list));
        }
        return all;
    }

    @Test
    void allOfItArrivesInFramesThatFit() throws IOException {
        Map<String, double[]> learned = new LinkedHashMap<>();
        for (int i = 0; i < SERVERS; i++) {
            learned.put("worker " + i, figures(6));
            learned.put("cold " + i, figures(i % 10 == 0 ? LONG_HISTORY : 0));
        }
        Map<String, Object> all = joined(LearnedStateCodec.encode(new LearnedState(learned)));
        assertEquals(learned.keySet(), all.keySet());
        assertEquals(LONG_HISTORY, ((List<?>) all.get("cold 10")).size());
    }

    /** One that fits no frame costs itself only. */
    @Test
    void whatFitsNoFrameIsLeftOut() throws IOException {
        Map<String, double[]> learned = new LinkedHashMap<>();
        learned.put("before", figures(3));
        learned.put("much", figures(10_000));
        learned.put("after", figures(3));
        Map<String, Object> all = joined(LearnedStateCodec.encode(new LearnedState(learned)));
        assertEquals(List.of("before", "after"), new ArrayList<>(all.keySet()));
    }
}
