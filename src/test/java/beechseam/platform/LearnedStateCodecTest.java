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

/** Tests that the learned state of a large fleet is split into pieces that each fit a frame of the handover link. */
class LearnedStateCodecTest {
    private static final int WORKERS = 4096;
    private static final int LONG_ENTRY_NUMBERS = 400;

    private static double[] numbers(int count) {
        double[] numbers = new double[count];
        Arrays.fill(numbers, -0.12345678901234567);
        return numbers;
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
            learned.put("worker " + i, numbers(6));
            learned.put("cold " + i, numbers(i % 10 == 0 ? LONG_ENTRY_NUMBERS : 0));
        }
        Map<String, Object> all = decodeAll(LearnedStateCodec.encode(new LearnedState(learned)));
        assertEquals(learned.keySet(), all.keySet());
        assertEquals(LONG_ENTRY_NUMBERS, ((List<?>) all.get("cold 10")).size());
    }

    /** An entry that is too large for a frame is left out, and no other entry is. */
    @Test
    void oversizedEntryIsSkipped() throws IOException {
        Map<String, double[]> learned = new LinkedHashMap<>();
        learned.put("before", numbers(3));
        learned.put("oversized", numbers(10_000));
        learned.put("after", numbers(3));
        Map<String, Object> all = decodeAll(LearnedStateCodec.encode(new LearnedState(learned)));
        assertEquals(List.of("before", "after"), new ArrayList<>(all.keySet()));
    }
}
