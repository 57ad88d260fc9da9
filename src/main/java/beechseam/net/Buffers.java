package beechseam.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** Read buffers, lent to a connection only while it holds bytes that are not used up. */
public final class Buffers {
    public static final int SIZE = 8 * 1024;
    private static final int KEPT = 256;
    /** Share of the heap that all buffers above the usual size may hold: hundreds may send half a message. */
    private static final int HEAP_SHARE = 4;

    private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>();
    private final long mostLarge;
    private long large;

    public Buffers() {
        this(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    }

    Buffers(long mostLarge) {
        this.mostLarge = mostLarge;
    }

    ByteBuffer take() {
        ByteBuffer b = free.pollFirst();
        return b != null ? b : ByteBuffer.allocate(SIZE);
    }

    /** A larger one with the bytes of the other, which is given back; null where all hold too much. */
    ByteBuffer larger(ByteBuffer than, int size) {
        if (large + size > mostLarge) {
            return null;
        }
        large += size;
        ByteBuffer b = ByteBuffer.allocate(size).put(than.flip());
        give(than);
        return b;
    }

    void give(ByteBuffer b) {
        if (b.capacity() > SIZE) {
            large -= b.capacity();
        } else if (free.size() < KEPT) {
            free.addFirst(b.clear());
        }
    }
}
