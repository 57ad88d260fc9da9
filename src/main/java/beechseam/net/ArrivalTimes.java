package beechseam.net;

import java.util.ArrayDeque;

/**
 * The arrival times of the unconsumed bytes of a read buffer. Each read has an entry, in order, with its time and the
 * stream offset of its end. A lookup takes time proportional to the entries, of which there are at most
 * {@link #MAX_READS}.
 */
final class ArrivalTimes {
    /**
     * The largest number of entries. The bytes of further reads are added to the last entry, so their arrival time is
     * reported too early.
     */
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

    /** Records that {@code bytes} further bytes arrived at {@code nowNs}. */
    void record(int bytes, long nowNs) {
        totalBytes += bytes;
        if (reads.size() < MAX_READS) {
            reads.add(new Read(nowNs, totalBytes));
        } else {
            reads.getLast().endOffset = totalBytes;
        }
    }

    /** Removes the entries of all but the last {@code unconsumedBytes} bytes. */
    void retain(int unconsumedBytes) {
        while (!reads.isEmpty() && reads.getFirst().endOffset <= totalBytes - unconsumedBytes) {
            reads.removeFirst();
        }
    }

    /** Returns when the byte with {@code followingBytes} bytes after it arrived, or {@code defaultNs} if unknown. */
    long arrivedAt(int followingBytes, long defaultNs) {
        for (Read read : reads) {
            if (read.endOffset >= totalBytes - followingBytes) {
                return read.arrivedNs;
            }
        }
        return defaultNs;
    }
}
