package beechseam.gearman;

import beechseam.gearman.queue.ByteBudget;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * All jobs alive, by number and by key, and how those that are not have ended: accepted is alive plus ended.
 */
final class Jobs {
    /**
     * How a job ended. LEFT: nobody waited for it any more; LOST: it waited in the background as the server
     * stopped.
     */
    enum End {
        SERVED,
        SHED,
        FAILED,
        LEFT,
        CANCELLED,
        LOST
    }

    /** What a job costs besides its workload, in bytes, as seen by measurement with keys of ten letters. */
    static final int OVERHEAD_BYTES = 400;

    private final String prefix;
    private final ByteBudget budget;
    private final Map<Long, GearmanJob> byNumber = new LinkedHashMap<>();
    private final Map<Object, GearmanJob> byKey = new HashMap<>();
    private final long[] ended = new long[End.values().length];
    private long accepted;

    /** A key that is the workload itself, as "-" asks for; compared byte for byte. */
    private record Content(byte[] workload) {
        @Override
        public boolean equals(Object o) {
            return o instanceof Content c && Arrays.equals(workload, c.workload);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(workload);
        }
    }

    Jobs(String server, ByteBudget budget) {
        prefix = "H:" + server + ":";
        this.budget = budget;
    }

    String handle(long number) {
        return prefix + number;
    }

    /** By the published protocol "-" stands for the workload itself as the key; an empty one for none. */
    static Object key(String unique, byte[] workload) {
        return unique.isEmpty() ? null : unique.equals("-") ? new Content(workload) : unique;
    }

    /** The job of that function that lives under the key, or null. */
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
            return job != null && handle(job.number).equals(handle) ? job : null; // "+7" is no number of ours
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** By its unique key alone, whatever its function, since the protocol names none here. */
    GearmanJob byUnique(String unique) {
        return unique.isEmpty() ? null : byKey.get(unique);
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
        if (job.key != null) {
            unlink(job);
        }
        budget.releaseWorkload(job.charge);
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
