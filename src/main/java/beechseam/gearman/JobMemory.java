package beechseam.gearman;

import beechseam.gearman.protocol.Arguments;

/**
 * The heap that a job takes until it ends. It is reserved in the memory budget when the job is submitted, so that jobs
 * are refused before the heap is full.
 */
final class JobMemory {
    /** The heap from which on the JVM does not compress object pointers, which doubles their size. */
    private static final long MAX_COMPRESSED_HEAP_BYTES = 32L << 30;

    private static final int POINTER_SCALE = Runtime.getRuntime().maxMemory() < MAX_COMPRESSED_HEAP_BYTES ? 1 : 2;

    /**
     * The job, its entries in the tables by number and by key, its place in a queue or in the schedule, and the queue
     * of its client, which other jobs of that client share.
     */
    static final int JOB_BYTES = 600 * POINTER_SCALE;
    /** A client that waits for a job: its entries in the job's list of clients and in the client's list of jobs. */
    static final int WAITING_CLIENT_BYTES = 64 * POINTER_SCALE;
    /** The most bytes that a character of a text takes. */
    private static final int BYTES_PER_CHAR = 2;

    private JobMemory() {}

    /** The bytes that a text takes besides its objects; 0 for null. */
    static int ofText(String text) {
        return text == null ? 0 : BYTES_PER_CHAR * text.length();
    }

    /** The bytes that a job takes without the clients that wait for it; {@code workload} is an argument's index. */
    static int ofJob(Arguments args, int key, int workload) {
        return JOB_BYTES + BYTES_PER_CHAR * args.length(key) + args.retainedBytes(workload);
    }
}
