package beechseam.platform;

import beechseam.config.Json;
import beechseam.dispatch.LearnedState;
import beechseam.ops.HandoverLink;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The form in which learned state goes from one process to the next: JSON objects, each an array of figures by
 * entry name, in as many pieces as frames of the {@link HandoverLink} need. Processes of other versions read and
 * write it. A piece stands alone: one that is lost or unreadable costs only its own entries.
 */
final class LearnedStateCodec {
    private static final Logger LOG = System.getLogger(LearnedStateCodec.class.getName());
    /** A piece is filled up to half of a frame, since the estimate of its size is rough. */
    private static final int PIECE_BYTES = HandoverLink.MAX_PIECE_BYTES / 2;
    /** Estimate for a figure in JSON with its comma; also for what surrounds an entry's name. */
    private static final int FIGURE_BYTES = 25;

    private LearnedStateCodec() {}

    /**
     * Encodes learned state. An entry that fits no frame is logged and left out.
     *
     * @return at least one piece, each of at most {@link HandoverLink#MAX_PIECE_BYTES} bytes, if all entries fit
     */
    static List<byte[]> encode(LearnedState state) {
        List<byte[]> pieces = new ArrayList<>();
        Map<String, double[]> entries = new LinkedHashMap<>();
        int bytes = 0;
        for (Map.Entry<String, double[]> each : state.entries().entrySet()) {
            int entryBytes = each.getKey().length() + FIGURE_BYTES * (each.getValue().length + 1);
            if (bytes + entryBytes > PIECE_BYTES) {
                addPiece(pieces, entries);
                entries.clear();
                bytes = 0;
            }
            entries.put(each.getKey(), each.getValue());
            bytes += entryBytes;
        }
        addPiece(pieces, entries);
        return pieces;
    }

    private static void addPiece(List<byte[]> pieces, Map<String, double[]> entries) {
        try {
            byte[] piece = Json.bytes(entries);
            if (piece.length <= HandoverLink.MAX_PIECE_BYTES) {
                pieces.add(piece);
            } else {
                LOG.log(Level.WARNING, "learned state not handed over reason=too_long entries=" + entries.keySet());
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "learned state not handed over reason=" + e.getMessage());
        }
    }

    /**
     * Decodes a piece, which must be backed by an array. What is no array of numbers becomes an entry without
     * figures.
     *
     * @return the piece's entries, in no promised order; none if it is unreadable, which is logged
     */
    static LearnedState decode(ByteBuffer piece) {
        Map<String, double[]> entries = new LinkedHashMap<>();
        try {
            int from = piece.arrayOffset() + piece.position();
            if (Json.parse(piece.array(), from, piece.remaining()) instanceof Map<?, ?> object) {
                object.forEach((name, value) -> entries.put((String) name, figures(value)));
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "learned state unreadable reason=" + e.getMessage());
        }
        return new LearnedState(entries);
    }

    private static double[] figures(Object value) {
        if (value instanceof List<?> list && list.stream().allMatch(each -> each instanceof Number)) {
            return list.stream()
                    .mapToDouble(each -> ((Number) each).doubleValue())
                    .toArray();
        }
        return new double[0];
    }
}
