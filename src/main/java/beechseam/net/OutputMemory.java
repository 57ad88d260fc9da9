package beechseam.net;

/** The memory of the output that several connections have queued and their peers have not read. */
public final class OutputMemory {
    private long bytes;

    /** Adds to the memory in use, or takes from it if {@code delta} is negative; in bytes. */
    void change(long delta) {
        bytes += delta;
    }

    /** Returns the memory in use, in bytes, with that of the buffers' own objects. */
    public long bytes() {
        return bytes;
    }
}
