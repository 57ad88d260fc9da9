package beechseam.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayDeque;

/**
 * The output that a connection has not yet written, in order. A long buffer is written in slices of
 * {@link #MAX_WRITE_BYTES}, and consecutive small buffers are merged, so that many short messages take one system
 * call. The queue has no limit of its own: the connection compares {@link #pendingBytes} with its limit.
 */
final class OutboundQueue {
    /** Largest write, in bytes: the runtime copies the bytes of each write into direct memory, which is scarce. */
    static final int MAX_WRITE_BYTES = 64 * 1024;
    /** Buffers of up to this many bytes are merged before they are written. */
    private static final int MAX_MERGED_BUFFER_BYTES = 2048;

    /** Memory of a buffer besides its bytes; a short message takes more of it than of bytes. */
    private static final int BUFFER_OVERHEAD_BYTES = 96;

    private final OutputMemory memory;
    private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();
    private long pendingBytes;

    /** Creates an empty queue, whose memory is counted in {@code memory}. */
    OutboundQueue(OutputMemory memory) {
        this.memory = memory;
    }

    /** Appends a buffer; it must not be changed until it is written. An empty one is ignored. */
    void add(ByteBuffer buffer) {
        if (buffer.hasRemaining()) {
            buffers.add(buffer);
            pendingBytes += buffer.remaining();
            memory.change(buffer.remaining() + BUFFER_OVERHEAD_BYTES);
        }
    }

    /** Returns the number of bytes added and not yet written; {@link #clear} does not reset it. */
    long pendingBytes() {
        return pendingBytes;
    }

    boolean isEmpty() {
        return buffers.isEmpty();
    }

    /** Removes the buffers. {@link #pendingBytes} is kept, as the number of bytes that were never sent. */
    void clear() {
        for (ByteBuffer buffer : buffers) {
            memory.change(-buffer.remaining() - BUFFER_OVERHEAD_BYTES);
        }
        buffers.clear();
    }

    /**
     * Writes once from the head of the queue, which must not be empty.
     *
     * @return whether the channel accepted all bytes of the write; false if it accepts no more for now
     */
    boolean writeNext(WritableByteChannel channel) throws IOException {
        mergeSmallBuffers();
        ByteBuffer next = buffers.peekFirst();
        int end = next.limit();
        next.limit(Math.min(end, next.position() + MAX_WRITE_BYTES));
        int written = channel.write(next);
        boolean accepted = !next.hasRemaining();
        next.limit(end);
        pendingBytes -= written;
        memory.change(-written);
        if (accepted && !next.hasRemaining()) {
            buffers.removeFirst();
            memory.change(-BUFFER_OVERHEAD_BYTES);
        }
        return accepted;
    }

    private void mergeSmallBuffers() {
        if (buffers.size() < 2 || buffers.peekFirst().remaining() > MAX_MERGED_BUFFER_BYTES) {
            return;
        }
        int mergedBytes = 0;
        int count = 0;
        for (ByteBuffer buffer : buffers) {
            if (buffer.remaining() > MAX_MERGED_BUFFER_BYTES || mergedBytes + buffer.remaining() > MAX_WRITE_BYTES) {
                break;
            }
            mergedBytes += buffer.remaining();
            count++;
        }
        if (count > 1) {
            ByteBuffer merged = ByteBuffer.allocate(mergedBytes);
            for (int i = 0; i < count; i++) {
                merged.put(buffers.pollFirst());
            }
            buffers.addFirst(merged.flip());
            memory.change(-(count - 1L) * BUFFER_OVERHEAD_BYTES);
        }
    }
}
