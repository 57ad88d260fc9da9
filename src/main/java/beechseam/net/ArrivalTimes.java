package beechseam.net;

import java.util.ArrayDeque;

/** When the bytes came that lie unused in a connection's read buffer. */
final class ArrivalTimes {
    /** Reads that are told apart. Bytes of a further one count as come with the last of these, so earlier. */
    private static final int MAX_READS = 64;

    private static final class Read {
        private final long at;
        private long end;

        private Read(long at, long end) {
            this.at = at;
            this.end = end;
        }
    }

    private final ArrayDeque<Read> reads = new ArrayDeque<>(2);
    private long total;

    /** So many bytes have come now. */
    void read(int bytes, long now) {
        total += bytes;
        if (reads.size() < MAX_READS) {
            reads.add(new Read(now, total));
        } else {
            reads.getLast().end = total;
        }
    }

    /** All but the last {@code unused} bytes have been used up. */
    void keep(int unused) {
        while (!reads.isEmpty() && reads.getFirst().end <= total - unused) {
            reads.removeFirst();
        }
    }

    /** When the byte came that {@code behind} others of those read have come behind, or {@code otherwise}. */
    long of(int behind, long otherwise) {
        for (Read read : reads) {
            if (read.end >= total - behind) {
                return read.at;
            }
        }
        return otherwise;
    }
}
