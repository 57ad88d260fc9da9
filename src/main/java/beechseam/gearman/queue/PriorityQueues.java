package beechseam.gearman.queue;

import java.util.ArrayList;
import java.util.List;

/**
 * The queued jobs of one function, with a {@link FairQueue} for each level (0 is the most urgent). A poll takes
 * from the most urgent level that is not empty. Every {@code ageingTurn}-th poll takes from the level whose
 * oldest job has waited longest, if it has waited for more than {@code ageingNs}. No level is starved therefore:
 * whatever the load of more urgent levels, one poll in {@code ageingTurn} is decided by age. A poll is O(levels).
 */
public final class PriorityQueues<J extends QueuedJob> {
    private final List<FairQueue<J>> levels = new ArrayList<>();
    private final int[] limits;
    private final int ageingTurn;
    private final long ageingNs;
    private int turn;
    private int size;

    /**
     * @param levelCount number of levels
     * @param priorities number of bounds; levels that are equal modulo this number share a bound
     * @param ageingTurn number of polls of which one is decided by age; 0 for none
     * @param ageingNs   age above which a job may be polled by age, in nanoseconds
     */
    public PriorityQueues(int levelCount, int priorities, int ageingTurn, long ageingNs) {
        for (int i = 0; i < levelCount; i++) {
            levels.add(new FairQueue<>());
        }
        limits = new int[priorities];
        java.util.Arrays.fill(limits, Integer.MAX_VALUE);
        this.ageingTurn = ageingTurn;
        this.ageingNs = ageingNs;
    }

    /** Number of queued jobs at all levels. */
    public int size() {
        return size;
    }

    /** Sets how many jobs may be queued at all levels of a priority together; jobs already queued stay. */
    public void setLimit(int priority, int jobs) {
        limits[priority] = jobs;
    }

    /** Whether the priority of a level has reached its bound. */
    public boolean isFull(int level) {
        int priority = level % limits.length;
        return limits[priority] != Integer.MAX_VALUE && queuedJobs(priority) >= limits[priority];
    }

    /** Number of jobs queued at a level and at the levels that share its bound. */
    public int queuedSharingBound(int level) {
        return queuedJobs(level % limits.length);
    }

    /** Number of jobs queued at the levels of a priority. */
    public int queuedJobs(int priority) {
        int sum = 0;
        for (int i = priority; i < levels.size(); i += limits.length) {
            sum += levels.get(i).size();
        }
        return sum;
    }

    /**
     * Enqueues a job.
     *
     * @param client the client whose round-robin turns the job takes at its level; a key that is compared only
     */
    public void add(int level, Object client, J job) {
        levels.get(level).add(client, job);
        size++;
    }

    /** The most urgent level that is not empty, or -1. */
    public int mostUrgentLevel() {
        for (int i = 0; i < levels.size(); i++) {
            if (levels.get(i).size() > 0) {
                return i;
            }
        }
        return -1;
    }

    /** Removes and returns the next job, or null; the caller marks it as no longer queued. */
    public J poll(long nowNs) {
        int level = mostUrgentLevel();
        if (level < 0) {
            return null;
        }
        if (ageingTurn > 0 && ++turn >= ageingTurn) {
            turn = 0;
            long earliestNs = nowNs - ageingNs;
            for (int i = 0; i < levels.size(); i++) {
                J oldest = levels.get(i).size() == 0 ? null : levels.get(i).oldest();
                if (oldest != null && oldest.enqueuedAtNs() < earliestNs) {
                    earliestNs = oldest.enqueuedAtNs();
                    level = i;
                }
            }
        }
        size--;
        return levels.get(level).poll();
    }

    /** Releases jobs of the level that were polled and that the caller has marked. */
    public void trim(int level) {
        levels.get(level).trim();
    }

    /** Records that a queued job of the level was removed; the caller has marked it already. */
    public void jobRemoved(int level) {
        size--;
        levels.get(level).jobRemoved();
    }

    /** The job of a level that has waited longest, or null. */
    public J oldest(int level) {
        return levels.get(level).oldest();
    }
}
