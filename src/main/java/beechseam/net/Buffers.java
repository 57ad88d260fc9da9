package beechseam.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * A pool of read buffers. A connection borrows a buffer only while it has unconsumed bytes. Buffers of the standard
 * size are reused; larger ones are allocated for long messages, and their total size is limited.
 */
public final class Buffers {
    /** Capacity of a standard buffer, in bytes. */
    public static final int SIZE = 8 * 1024;

    private static final int MAX_POOLED = 256;
    /** All larger buffers together may take 1/4 of the heap: hundreds of peers may each send half a message. */
    private static final int LARGE_BUFFERS_HEAP_DIVISOR = 4;

    private final ArrayDeque<ByteBuffer> pooled = new ArrayDeque<>();
    private final long maxLargeBytes;
    private long largeBytes;

    /** Creates a pool whose larger buffers take at most a quarter of the heap. */
    public Buffers() {
        this(Runtime.getRuntime().maxMemory() / LARGE_BUFFERS_HEAP_DIVISOR);
    }

    Buffers(long maxLargeBytes) {
        this.maxLargeBytes = maxLargeBytes;
    }

    /** Returns an empty buffer of {@link #SIZE} bytes. */
    ByteBuffer acquire() {
        ByteBuffer buffer = pooled.pollFirst();
        return buffer != null ? buffer : ByteBuffer.allocate(SIZE);
    }

    /**
     * Replaces a buffer by a larger one of {@code capacity} bytes with the same content, and releases the smaller one.
     *
     * @return the larger buffer; null, with the smaller one unchanged, if the larger buffers would exceed their limit
     */
    ByteBuffer grow(ByteBuffer smaller, int capacity) {
        if (largeBytes + capacity > maxLargeBytes) {
            return null;
        }
        largeBytes += capacity;
        ByteBuffer larger = ByteBuffer.allocate(capacity).put(smaller.flip());
        release(smaller);
        return larger;
    }

    /** Returns a buffer to the pool; the caller must not use it afterwards. */
    void release(ByteBuffer buffer) {
        if (buffer.capacity() > SIZE) {
            largeBytes -= buffer.capacity();
        } else if (pooled.size() < MAX_POOLED) {
            pooled.addFirst(buffer.clear());
        }
    }
}
