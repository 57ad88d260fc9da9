package beechseam.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class OutboundQueueTest {
    /** Accepts a limited number of bytes and records the length of each write. */
    private static final class LimitedChannel implements WritableByteChannel {
        private final List<Integer> writeLengths = new ArrayList<>();
        private int capacity;

        LimitedChannel(int capacity) {
            this.capacity = capacity;
        }

        @Override
        public int write(ByteBuffer source) {
            writeLengths.add(source.remaining());
            int accepted = Math.min(capacity, source.remaining());
            source.position(source.position() + accepted);
            capacity -= accepted;
            return accepted;
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public void close() {}
    }

    @Test
    void smallBuffersAreMergedAndLongOnesWrittenInSlices() throws IOException {
        OutboundQueue queue = new OutboundQueue(new OutputMemory());
        queue.add(ByteBuffer.allocate(10));
        queue.add(ByteBuffer.allocate(0));
        queue.add(ByteBuffer.allocate(20));
        queue.add(ByteBuffer.allocate(OutboundQueue.MAX_WRITE_BYTES + 1));
        LimitedChannel channel = new LimitedChannel(Integer.MAX_VALUE);
        while (!queue.isEmpty()) {
            assertTrue(queue.writeNext(channel));
        }
        assertEquals(List.of(30, OutboundQueue.MAX_WRITE_BYTES, 1), channel.writeLengths);
        assertEquals(0, queue.pendingBytes());
    }

    @Test
    void partialWriteKeepsTheRestAndClearKeepsTheCount() throws IOException {
        OutboundQueue queue = new OutboundQueue(new OutputMemory());
        queue.add(ByteBuffer.allocate(100));
        assertFalse(queue.writeNext(new LimitedChannel(40)));
        assertEquals(60, queue.pendingBytes());
        queue.clear();
        assertTrue(queue.isEmpty());
        assertEquals(60, queue.pendingBytes());
    }

    @Test
    void memoryIsCountedWithBuffersAndReturnedInFull() throws IOException {
        OutputMemory memory = new OutputMemory();
        OutboundQueue queue = new OutboundQueue(memory);
        for (int i = 0; i < 100; i++) {
            queue.add(ByteBuffer.allocate(10));
        }
        assertTrue(memory.bytes() > 100 * 60, "the objects of short messages take more than their bytes");
        queue.add(ByteBuffer.allocate(OutboundQueue.MAX_WRITE_BYTES));
        assertFalse(queue.writeNext(new LimitedChannel(500)));
        assertTrue(memory.bytes() >= queue.pendingBytes());
        queue.clear();
        assertEquals(0, memory.bytes());
        queue.add(ByteBuffer.allocate(3));
        assertTrue(queue.writeNext(new LimitedChannel(3)));
        assertEquals(0, memory.bytes());
    }
}
