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

/** Learned state of a large fleet is cut into pieces by size, and each piece fits a frame of the link. */
class LearnedStateCodecTest {
    private static final int WORKERS = 4096;
    private static final int LONG_ENTRY_FIGURES = 400;

    private static double[] figures(int count) {
        double[] figures = new double[count];
        Arrays.fill(figures, -0.12345678901234567);
        return figures;
    }

    private static Map<String, Object> decodeAll(List<byte[]> pieces) throws IOException {
        Map<String, Object> all = new LinkedHashMap<>();
        for (byte[] each : pieces) {
            assertTrue(each.length <= HandoverLink.MAX_PIECE_BYTES, each.length + " bytes in one frame");
            Map<?, ?> piece = (Map<?, ?>) Json.parse(each, 0, each.length);
            piece.forEach((name, list) -> all.put((String) name, list));
        }
        return all;
    }

    @Test
    void everyEntryArrivesInPiecesThatFitAFrame() throws IOException {
        Map<String, double[]> learned = new LinkedHashMap<>();
        for (int i = 0; i < WORKERS; i++) {
            learned.put("worker " + i, figures(6));
            learned.put("cold " + i, figures(i % 10 == 0 ? LONG_ENTRY_FIGURES : 0));
        }
        Map<String, Object> all = decodeAll(LearnedStateCodec.encode(new LearnedState(learned)));
        assertEquals(learned.keySet(), all.keySet());
        assertEquals(LONG_ENTRY_FIGURES, ((List<?>) all.get("cold 10")).size());
    }

    /** An entry that fits no frame is left out, and no other. */
    @Test
    void oversizedEntryIsSkipped() throws IOException {
        Map<String, double[]> learned = new LinkedHashMap<>();
        learned.put("before", figures(3));
        learned.put("much", figures(10_000));
        learned.put("after", figures(3));
        Map<String, Object> all = decodeAll(LearnedStateCodec.encode(new LearnedState(learned)));
        assertEquals(List.of("before", "after"), new ArrayList<>(all.keySet()));
    }
}
