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
    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** Null while no memory is borrowed. */
    private ByteBuffer buffer;

    /** Creates an empty buffer that holds at most {@code maxBytes} bytes. */
    InboundBuffer(Buffers pool, int maxBytes) {
        this.pool = pool;
        this.maxBytes = maxBytes;
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

    /** Enlarges an acquired buffer that is full; throws if the large buffers of the pool would exceed their limit. */
    void ensureCapacity() throws IOException {
        if (buffer.hasRemaining()) {
            return;
        }
        ByteBuffer larger = pool.grow(buffer, Math.min(maxBytes, buffer.capacity() * 2));
        if (larger == null) {
            throw new IOException("the limit of memory for large read buffers is reached");
        }
        buffer = larger;
    }

    boolean hasRemaining() {
        return buffer.hasRemaining();
    }

    /** Reads once; returns the number of bytes, 0 if none have arrived, or -1 at the end of the stream. */
    int readFrom(ReadableByteChannel channel) throws IOException {
        return channel.read(buffer);
    }

    /** Discards the bytes and keeps the memory. */
    void discard() {
        buffer.clear();
    }

    /** Discards the bytes and returns the memory to the pool. */
    void release() {
        if (buffer != null) {
            pool.release(buffer);
            buffer = null;
        }
    }

    /** Returns the unconsumed bytes, from position to limit; the caller must call {@link #compact} afterwards. */
    ByteBuffer flip() {
        return buffer.flip();
    }

    /** Keeps the bytes not consumed since {@link #flip}; returns the memory to the pool if there are none. */
    void compact() {
        if (buffer.position() == 0 && buffer.hasRemaining()) { // nothing was consumed: avoids copying a long message
            buffer.position(buffer.limit()).limit(buffer.capacity());
        } else {
            buffer.compact();
        }
        arrivals.retain(buffer.position());
        if (buffer.position() == 0) {
            release();
        }
    }

    /** Records that {@code bytes} bytes were read at {@code nowNs}, in ns of the loop's clock. */
    void recordArrival(int bytes, long nowNs) {
        arrivals.record(bytes, nowNs);
    }

    /** Returns when the byte with {@code followingBytes} bytes after it was read, or {@code defaultNs} if unknown. */
    long arrivedAt(int followingBytes, long defaultNs) {
        return arrivals.arrivedAt(followingBytes, defaultNs);
    }
}
