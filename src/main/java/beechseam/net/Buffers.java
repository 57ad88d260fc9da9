package beechseam.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** Read buffers, lent to a connection only while it holds bytes that are not used up. */
public final class Buffers {
    public static final int SIZE = 8 * 1024;
    private static final int KEPT = 256;

    private final ArrayDeque<ByteBuffer> free = new ArrayDeque<>();

    ByteBuffer take() {
        ByteBuffer b = free.pollFirst();
        return b != null ? b : ByteBuffer.allocate(SIZE);
    }

    void give(ByteBuffer b) {
        if (b.capacity() == SIZE && free.size() < KEPT) {
            free.addFirst(b.clear());
        }
    }
}
