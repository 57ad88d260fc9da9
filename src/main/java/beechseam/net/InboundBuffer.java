package beechseam.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;

/**
 * The bytes that a connection has read and its owner has not consumed. The memory is borrowed from the loop's
 * pool only while there are such bytes, grows by doubling up to a limit, and goes back once all is consumed.
 * Outside {@link #flip} and {@link #compact} the buffer's position is the number of bytes it holds.
 */
final class InboundBuffer {
    private final Buffers pool;
    private final int maxBytes;
    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** Null while nothing is borrowed. */
    private ByteBuffer buffer;

    /** {@code maxBytes} is the most it holds; a full buffer does not grow beyond it. */
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

    /** Borrows a buffer where none is held. */
    void acquire() {
        if (buffer == null) {
            buffer = pool.acquire();
        }
    }

    /** Enlarges an acquired buffer that has no room left; fails where all connections together hold too much. */
    void ensureCapacity() throws IOException {
        if (buffer.hasRemaining()) {
            return;
        }
        ByteBuffer larger = pool.grow(buffer, Math.min(maxBytes, buffer.capacity() * 2));
        if (larger == null) {
            throw new IOException("no room for so long a message");
        }
        buffer = larger;
    }

    boolean hasRemaining() {
        return buffer.hasRemaining();
    }

    /** Reads once; the number of bytes, 0 where none have come, or -1 at the end of the stream. */
    int readFrom(ReadableByteChannel channel) throws IOException {
        return channel.read(buffer);
    }

    /** Drops what it holds and keeps the memory. */
    void discard() {
        buffer.clear();
    }

    /** Gives the memory back, with whatever it holds. */
    void release() {
        if (buffer != null) {
            pool.release(buffer);
            buffer = null;
        }
    }

    /** The unconsumed bytes, from position to limit; {@link #compact} must follow. */
    ByteBuffer flip() {
        return buffer.flip();
    }

    /** Keeps what was not consumed since {@link #flip}; gives the memory back where that is nothing. */
    void compact() {
        if (buffer.position() == 0 && buffer.hasRemaining()) { // nothing was used: no need to move what may be much
            buffer.position(buffer.limit()).limit(buffer.capacity());
        } else {
            buffer.compact();
        }
        arrivals.retain(buffer.position());
        if (buffer.position() == 0) {
            release();
        }
    }

    /** Notes that this many bytes were read at that time, in ns of the loop's clock. */
    void recordArrival(int bytes, long nowNs) {
        arrivals.record(bytes, nowNs);
    }

    /** When the byte was read that this many others have followed, in ns, or {@code defaultNs} if unknown. */
    long arrivedAt(int followingBytes, long defaultNs) {
        return arrivals.arrivedAt(followingBytes, defaultNs);
    }
}
