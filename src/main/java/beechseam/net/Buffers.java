package beechseam.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * A pool of read buffers. A connection borrows a buffer only while it has unconsumed bytes. Buffers of the standard
 * size are reused; larger ones are allocated for long messages, and each {@link BufferShare} limits their total size.
 */
public final class Buffers {
    /** Capacity of a standard buffer, in bytes. */
    public static final int SIZE = 8 * 1024;

    private static final int MAX_POOLED = 256;

    private final ArrayDeque<ByteBuffer> pooled = new ArrayDeque<>();
    private final Map<BufferShare, BufferQuota> quotas = new EnumMap<>(BufferShare.class);

    /** Creates a pool for the heap of this process. */
    public Buffers() {
        this(Runtime.getRuntime().maxMemory());
    }

    /** Creates a pool for a heap of {@code heapBytes} bytes. */
    public Buffers(long heapBytes) {
        for (BufferShare share : BufferShare.values()) {
            quotas.put(share, new BufferQuota(share, share.maxBytes(heapBytes)));
        }
    }

    /** Returns the quota of the larger buffers of a share. */
    BufferQuota quota(BufferShare share) {
        return quotas.get(share);
    }

    /** Returns an empty buffer of {@link #SIZE} bytes. */
    ByteBuffer acquire() {
        ByteBuffer buffer = pooled.pollFirst();
        return buffer != null ? buffer : ByteBuffer.allocate(SIZE);
    }

    /** Returns a buffer of the standard size to the pool; the caller must not use it afterwards. */
    void release(ByteBuffer buffer) {
        if (pooled.size() < MAX_POOLED) {
            pooled.addFirst(buffer.clear());
        }
    }
}
