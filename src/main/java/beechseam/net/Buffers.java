package beechseam.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * A pool of read buffers, lent to a connection only while it holds unconsumed bytes. Buffers of the usual size
 * are recycled; larger ones are allocated for long messages, and all of them together are bounded.
 */
public final class Buffers {
    /** Capacity of a usual buffer, in bytes. */
    public static final int SIZE = 8 * 1024;

    private static final int MAX_POOLED = 256;
    /** Larger buffers may take 1/4 of the heap together: hundreds of peers may each send half a message. */
    private static final int LARGE_BUFFERS_HEAP_DIVISOR = 4;

    private final ArrayDeque<ByteBuffer> pooled = new ArrayDeque<>();
    private final long maxLargeBytes;
    private long largeBytes;

    /** A pool whose larger buffers take at most a quarter of the heap. */
    public Buffers() {
        this(Runtime.getRuntime().maxMemory() / LARGE_BUFFERS_HEAP_DIVISOR);
    }

    Buffers(long maxLargeBytes) {
        this.maxLargeBytes = maxLargeBytes;
    }

    /** An empty buffer of {@link #SIZE} bytes. */
    ByteBuffer acquire() {
        ByteBuffer buffer = pooled.pollFirst();
        return buffer != null ? buffer : ByteBuffer.allocate(SIZE);
    }

    /**
     * A buffer of {@code capacity} bytes with the content of a smaller one, which is released; null, and the
     * smaller one unchanged, where the larger buffers would exceed their bound.
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

    /** Takes a buffer back; its holder must not touch it afterwards. */
    void release(ByteBuffer buffer) {
        if (buffer.capacity() > SIZE) {
            largeBytes -= buffer.capacity();
        } else if (pooled.size() < MAX_POOLED) {
            pooled.addFirst(buffer.clear());
        }
    }
}
