package beechseam.gearman;

import beechseam.gearman.queue.ByteBudget;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * All jobs that have not ended, by number and by key, and counts of those that have, by how they ended. The number
 * of accepted jobs is the sum of both.
 */
final class Jobs {
    /**
     * How a job ended. LEFT: its last client disconnected; LOST: it was a background job that was
     * dropped because the server stopped.
     */
    enum End {
        SERVED,
        SHED,
        FAILED,
        LEFT,
        CANCELLED,
        LOST
    }

    private final String prefix;
    private final ByteBudget budget;
    private final Map<Long, GearmanJob> byNumber = new LinkedHashMap<>();
    private final Map<Object, GearmanJob> byKey = new HashMap<>();
    private final long[] ended = new long[End.values().length];
    private long accepted;

    Jobs(String server, ByteBudget budget) {
        prefix = "H:" + server + ":";
        this.budget = budget;
    }

    String handle(long number) {
        return prefix + number;
    }

    /**
     * The key for a submission's unique key. The published protocol defines "-" as the workload itself, and an
     * empty unique key as none, for which this returns null. The key is valid as long as the workload's buffer.
     */
    static Object key(String unique, ByteBuffer workload) {
        return unique.isEmpty() ? null : unique.equals("-") ? new ContentKey(workload) : unique;
    }

    /** The function's job with that key that has not ended, or that a worker still runs after its end; or null. */
    GearmanJob byKey(Object key, GearmanFunction function) {
        GearmanJob job = key == null ? null : byKey.get(key);
        while (job != null && job.function != function) {
            job = job.sameKey;
        }
        return job;
    }

    GearmanJob byHandle(String handle) {
        if (!handle.startsWith(prefix)) {
            return null;
        }
        try {
            GearmanJob job = byNumber.get(Long.parseLong(handle, prefix.length(), handle.length(), 10));
            // The comparison rejects other spellings of the number, such as "+7".
            return job != null && handle(job.number).equals(handle) ? job : null;
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** Finds a job by its unique key in any function, since the protocol's request names no function. */
    GearmanJob byUnique(String unique) {
        GearmanJob job = unique.isEmpty() ? null : byKey.get(unique);
        while (job != null && job.hasEnded()) {
            job = job.sameKey;
        }
        return job;
    }

    long nextNumber() {
        return accepted + 1;
    }

    void add(GearmanJob job) {
        accepted++;
        byNumber.put(job.number, job);
        if (job.key != null) {
            job.sameKey = byKey.put(job.key, job);
        }
    }

    void end(GearmanJob job, End how) {
        ended[how.ordinal()]++;
        byNumber.remove(job.number);
        if (!job.reservesKey()) {
            release(job);
        }
    }

    /** Records that no worker runs the job any more. */
    void runsEnded(GearmanJob job) {
        if (job.hasEnded()) {
            release(job);
        }
    }

    /** Releases the key and the memory of an ended job that no worker runs any more. */
    void release(GearmanJob job) {
        if (job.key != null) {
            unlink(job);
            job.key = null;
        }
        budget.releaseWorkload(job.submitter, job.reservedBytes);
        job.reservedBytes = 0;
    }

    /** Reserves memory for one more client that waits for the job; false when the memory budget is exhausted. */
    boolean reserveForClient(GearmanJob job) {
        if (!budget.reserveWorkload(job.submitter, JobMemory.WAITING_CLIENT_BYTES)) {
            return false;
        }
        job.reservedBytes += JobMemory.WAITING_CLIENT_BYTES;
        return true;
    }

    /** Removes a client that waits for the job, if it does, and releases its memory. */
    void leave(GearmanJob job, GearmanConnection client) {
        if (job.leave(client)) {
            budget.releaseWorkload(job.submitter, JobMemory.WAITING_CLIENT_BYTES);
            job.reservedBytes -= JobMemory.WAITING_CLIENT_BYTES;
        }
    }

    private void unlink(GearmanJob job) {
        GearmanJob first = byKey.get(job.key);
        if (first == job) {
            if (job.sameKey == null) {
                byKey.remove(job.key);
            } else {
                byKey.put(job.key, job.sameKey);
            }
            return;
        }
        for (GearmanJob each = first; each != null; each = each.sameKey) {
            if (each.sameKey == job) {
                each.sameKey = job.sameKey;
                return;
            }
        }
    }

    int size() {
        return byNumber.size();
    }

    Collection<GearmanJob> all() {
        return byNumber.values();
    }

    long accepted() {
        return accepted;
    }

    long ended(End how) {
        return ended[how.ordinal()];
    }

    long ended() {
        return Arrays.stream(ended).sum();
    }
}
