package beechseam.net;

import java.util.ArrayDeque;

/**
 * When the unconsumed bytes of a read buffer arrived: one entry a read, in order, with the stream offset of its
 * last byte. Looking up costs O(reads), of which at most {@link #MAX_READS} are kept.
 */
final class ArrivalTimes {
    /** Reads told apart. Bytes of a further one count as arrived with the last of these, so earlier than they did. */
    private static final int MAX_READS = 64;

    private static final class Read {
        private final long arrivedNs;
        private long endOffset;

        private Read(long arrivedNs, long endOffset) {
            this.arrivedNs = arrivedNs;
            this.endOffset = endOffset;
        }
    }

    private final ArrayDeque<Read> reads = new ArrayDeque<>(2);
    private long totalBytes;

    /** Notes that this many bytes arrived at {@code nowNs}. */
    void record(int bytes, long nowNs) {
        totalBytes += bytes;
        if (reads.size() < MAX_READS) {
            reads.add(new Read(nowNs, totalBytes));
        } else {
            reads.getLast().endOffset = totalBytes;
        }
    }

    /** Forgets all but the last {@code unconsumedBytes} bytes. */
    void retain(int unconsumedBytes) {
        while (!reads.isEmpty() && reads.getFirst().endOffset <= totalBytes - unconsumedBytes) {
            reads.removeFirst();
        }
    }

    /** When the byte arrived that {@code followingBytes} others have followed, or {@code defaultNs} if unknown. */
    long arrivedAt(int followingBytes, long defaultNs) {
        for (Read read : reads) {
            if (read.endOffset >= totalBytes - followingBytes) {
                return read.arrivedNs;
            }
        }
        return defaultNs;
    }
}
