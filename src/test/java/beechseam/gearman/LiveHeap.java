package beechseam.gearman;

import java.lang.management.ManagementFactory;

/** Measures the heap in use for tests that compare it with what a server counts. */
final class LiveHeap {
    private static final int MAX_COLLECTIONS = 20;
    /** Two collections that differ by less than this have left nothing that a further one would free. */
    private static final long SETTLED_BYTES = 4096;

    private LiveHeap() {}

    /** The bytes in use once further garbage collections free nothing; what earlier tests left is freed by then. */
    static long bytes() {
        long before = collect();
        for (int i = 0; i < MAX_COLLECTIONS; i++) {
            long after = collect();
            if (Math.abs(before - after) < SETTLED_BYTES) {
                return after;
            }
            before = after;
        }
        return before;
    }

    private static long collect() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
