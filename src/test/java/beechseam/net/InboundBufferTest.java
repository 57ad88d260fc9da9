package beechseam.net;

import static org.junit.jupiter.api.Assertions.*;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import org.junit.jupiter.api.Test;

class InboundBufferTest {
    private static int read(InboundBuffer inbound, int bytes, long nowNs) throws IOException {
        inbound.acquire();
        assertTrue(inbound.ensureCapacity(BufferShare.UNLIMITED));
        int count = inbound.readFrom(Channels.newChannel(new ByteArrayInputStream(new byte[bytes])));
        inbound.recordArrival(count, nowNs);
        return count;
    }

    @Test
    void unconsumedBytesStayWithTheirArrivalTimes() throws IOException {
        InboundBuffer inbound = new InboundBuffer(new Buffers(), 64, null);
        assertEquals(5, read(inbound, 5, 100));
        assertEquals(3, read(inbound, 3, 200));
        assertEquals(200, inbound.arrivedAt(2, 0));
        assertEquals(100, inbound.arrivedAt(3, 0));
        ByteBuffer offered = inbound.flip();
        assertEquals(8, offered.remaining());
        offered.position(6);
        inbound.compact();
        assertFalse(inbound.isEmpty());
        assertEquals(200, inbound.arrivedAt(7, 0));
        inbound.flip().position(2);
        inbound.compact();
        assertTrue(inbound.isEmpty());
        assertEquals(0, inbound.arrivedAt(0, 0), "the default applies once all bytes are consumed");
    }

    @Test
    void fullBufferDoublesToItsLimit() throws IOException {
        InboundBuffer inbound = new InboundBuffer(new Buffers(), 3 * Buffers.SIZE, null);
        assertEquals(Buffers.SIZE, read(inbound, 4 * Buffers.SIZE, 1));
        assertFalse(inbound.isFull());
        assertEquals(Buffers.SIZE, read(inbound, 4 * Buffers.SIZE, 2));
        assertEquals(Buffers.SIZE, read(inbound, 4 * Buffers.SIZE, 3));
        assertTrue(inbound.isFull());
    }

    @Test
    void exhaustedShareRefusesToGrowAndKeepsTheBytes() throws IOException {
        InboundBuffer inbound = new InboundBuffer(new Buffers(0), 3 * Buffers.SIZE, null);
        read(inbound, Buffers.SIZE, 1);
        assertFalse(inbound.ensureCapacity(BufferShare.REQUESTS));
        assertEquals(Buffers.SIZE, inbound.flip().remaining());
        inbound.compact();
        assertTrue(inbound.ensureCapacity(BufferShare.UNLIMITED), "another share has memory left");
    }

    @Test
    void fewUnconsumedBytesFreeTheLargeBuffer() throws IOException {
        Buffers buffers = new Buffers(8 * Buffers.SIZE); // the share has two standard sizes, enough for one enlargement
        InboundBuffer first = new InboundBuffer(buffers, 2 * Buffers.SIZE, null);
        read(first, Buffers.SIZE, 1);
        assertTrue(first.ensureCapacity(BufferShare.REQUESTS));
        read(first, Buffers.SIZE, 2);
        InboundBuffer second = new InboundBuffer(buffers, 2 * Buffers.SIZE, null);
        read(second, Buffers.SIZE, 3);
        assertFalse(second.ensureCapacity(BufferShare.REQUESTS));
        first.flip().position(2 * Buffers.SIZE - 5);
        first.compact();
        assertTrue(second.ensureCapacity(BufferShare.REQUESTS));
        assertEquals(5, first.flip().remaining());
        assertEquals(2, first.arrivedAt(0, 0));
    }
}
