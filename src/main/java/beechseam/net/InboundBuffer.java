package beechseam.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;

/**
 * The bytes that a connection has read and its owner has not consumed. The memory is borrowed from the loop's pool
 * only while there are such bytes, is doubled as needed up to a limit, and is returned once all bytes are consumed.
 * Except between {@link #flip} and {@link #compact}, the buffer's position is the number of bytes in it.
 */
final class InboundBuffer {
    private final Buffers pool;
    private final int maxBytes;
    private final ReadMemory owner;
    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** Null while no memory is borrowed. */
    private ByteBuffer buffer;
    /** The quota from which a buffer above the standard size is taken; null for one of the standard size. */
    private BufferQuota quota;

    /** Creates an empty buffer that holds at most {@code maxBytes} bytes; {@code owner} has the reservations. */
    InboundBuffer(Buffers pool, int maxBytes, ReadMemory owner) {
        this.pool = pool;
        this.maxBytes = maxBytes;
        this.owner = owner;
    }

    boolean isEmpty() {
        return buffer == null || buffer.position() == 0;
    }

    boolean isFull() {
        return buffer != null && buffer.position() >= maxBytes;
    }

    /** Borrows memory from the pool, unless some is borrowed already. */
    void acquire() {
        if (buffer == null) {
            buffer = pool.acquire();
        }
    }

    /** Enlarges an acquired buffer that is full; returns false if the share has not enough memory left for it. */
    boolean ensureCapacity(BufferShare share) {
        if (buffer.hasRemaining()) {
            return true;
        }
        int capacity = Math.min(maxBytes, 2 * buffer.capacity());
        BufferQuota next = pool.quota(share);
        if (!next.reserve(owner, capacity)) {
            return false;
        }
        ByteBuffer larger = ByteBuffer.allocate(capacity).put(buffer.flip());
        returnMemory(next);
        buffer = larger;
        quota = next;
        return true;
    }

    /** Returns the memory of the current buffer; {@code next} is the quota of the buffer that replaces it, or null. */
    private void returnMemory(BufferQuota next) {
        if (quota == null) {
            pool.release(buffer);
        } else {
            quota.release(owner, buffer.capacity(), next != quota);
        }
    }

    boolean hasRemaining() {
        return buffer.hasRemaining();
    }

    /** Reads once; returns the number of bytes, 0 if none have arrived, or -1 at the end of the stream. */
    int readFrom(ReadableByteChannel channel) throws IOException {
        return channel.read(buffer);
    }

    /** Discards the bytes and keeps the memory, if any is borrowed. */
    void discard() {
        if (buffer != null) {
            buffer.clear();
        }
    }

    /** Discards the bytes and returns the memory to the pool. */
    void release() {
        if (buffer != null) {
            returnMemory(null);
            buffer = null;
            quota = null;
        }
    }

    /** Returns the unconsumed bytes, from position to limit; the caller must call {@link #compact} afterwards. */
    ByteBuffer flip() {
        return buffer.flip();
    }

    /** Keeps the bytes not consumed since {@link #flip}, in a standard buffer if they fit; frees the rest. */
    void compact() {
        int unconsumed = buffer.remaining();
        if (quota != null && unconsumed > 0 && unconsumed < Buffers.SIZE) {
            ByteBuffer smaller = pool.acquire().put(buffer);
            returnMemory(null);
            buffer = smaller;
            quota = null;
        } else if (buffer.position() == 0 && buffer.hasRemaining()) { // avoids copying a long message
            buffer.position(buffer.limit()).limit(buffer.capacity());
        } else {
            buffer.compact();
        }
        arrivals.retain(buffer.position());
        if (buffer.position() == 0) {
            release();
        }
    }

    /** Records that {@code bytes} bytes were read that arrived at {@code nowNs}, in ns of the loop's clock. */
    void recordArrival(int bytes, long nowNs) {
        arrivals.record(bytes, nowNs);
    }

    /** Returns when the byte with {@code followingBytes} bytes after it was read, or {@code defaultNs} if unknown. */
    long arrivedAt(int followingBytes, long defaultNs) {
        return arrivals.arrivedAt(followingBytes, defaultNs);
    }
}
