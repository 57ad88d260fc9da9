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
 * Encodes learned state for the transfer from one process to the next. The state is split into pieces that each fit
 * a frame of the {@link HandoverLink}; a piece is a JSON object that maps entry names to arrays of numbers. Processes
 * of other versions read and write this format. Pieces are independent: if one is lost or unreadable, only its own
 * entries are lost.
 */
final class LearnedStateCodec {
    private static final Logger LOG = System.getLogger(LearnedStateCodec.class.getName());
    /** The estimated size up to which a piece is filled: half of a frame, since the estimate is rough. */
    private static final int PIECE_BYTES = HandoverLink.MAX_PIECE_BYTES / 2;
    /** The estimated size of a number in JSON with its comma, also used for the characters around an entry's name. */
    private static final int NUMBER_BYTES = 25;

    private LearnedStateCodec() {}

    /**
     * Encodes learned state. An entry that is too large for a frame is logged and left out.
     *
     * @return at least one piece, each of at most {@link HandoverLink#MAX_PIECE_BYTES} bytes, if all entries fit
     */
    static List<byte[]> encode(LearnedState state) {
        List<byte[]> pieces = new ArrayList<>();
        Map<String, double[]> entries = new LinkedHashMap<>();
        int bytes = 0;
        for (Map.Entry<String, double[]> each : state.entries().entrySet()) {
            int entryBytes = each.getKey().length() + NUMBER_BYTES * (each.getValue().length + 1);
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
     * Decodes a piece, which must be backed by an array. A value that is not an array of numbers is decoded as an
     * empty entry.
     *
     * @return the piece's entries in unspecified order; none if the piece is unreadable, which is logged
     */
    static LearnedState decode(ByteBuffer piece) {
        Map<String, double[]> entries = new LinkedHashMap<>();
        try {
            int from = piece.arrayOffset() + piece.position();
            if (Json.parse(piece.array(), from, piece.remaining()) instanceof Map<?, ?> object) {
                object.forEach((name, value) -> entries.put((String) name, numbers(value)));
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "learned state unreadable reason=" + e.getMessage());
        }
        return new LearnedState(entries);
    }

    private static double[] numbers(Object value) {
        if (value instanceof List<?> list && list.stream().allMatch(each -> each instanceof Number)) {
            return list.stream()
                    .mapToDouble(each -> ((Number) each).doubleValue())
                    .toArray();
        }
        return new double[0];
    }
}
