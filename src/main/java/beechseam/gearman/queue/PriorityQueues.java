package beechseam.gearman.queue;

import java.util.ArrayList;
import java.util.List;

/**
 * The waiting jobs of one function, a {@link FairQueue} for each level (0 is the most urgent), and whose turn
 * it is: the most urgent level that has any, but every {@code ageingTurn}-th turn goes to the level whose
 * head has waited longest, if that is over {@code ageingNs}. So a level is never starved: behind any stream
 * its head gets one turn in {@code ageingTurn}. A turn costs O(levels).
 */
public final class PriorityQueues<J extends QueuedJob> {
    private final List<FairQueue<J>> levels = new ArrayList<>();
    private final int[] limits;
    private final int ageingTurn;
    private final long ageingNs;
    private int turn;
    private int size;

    /**
     * @param levelCount how many levels
     * @param priorities how many bounds there are; levels that are equal modulo this number share one
     * @param ageingTurn every how many turns age decides; 0: never
     * @param ageingNs   age below which a head has no claim, in nanoseconds
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

    /** Number of jobs queued at all levels. */
    public int size() {
        return size;
    }

    /** The most that may wait at the levels of a priority together; what is queued already stays. */
    public void setLimit(int priority, int jobs) {
        limits[priority] = jobs;
    }

    /** Whether the priority of a level is at its bound. */
    public boolean isFull(int level) {
        int priority = level % limits.length;
        return limits[priority] != Integer.MAX_VALUE && queuedJobs(priority) >= limits[priority];
    }

    /** Jobs that wait at a level and those that share its bound. */
    public int queuedSharingBound(int level) {
        return queuedJobs(level % limits.length);
    }

    /** Jobs that wait at the levels of a priority. */
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
     * @param client whose turns it takes among those of its level; only compared
     */
    public void add(int level, Object client, J job) {
        levels.get(level).add(client, job);
        size++;
    }

    /** The most urgent level that has any, or -1. */
    public int mostUrgentLevel() {
        for (int i = 0; i < levels.size(); i++) {
            if (levels.get(i).size() > 0) {
                return i;
            }
        }
        return -1;
    }

    /** Takes out the job whose turn it is, or null; the caller marks it as no longer queued. */
    public J poll(long nowNs) {
        int level = mostUrgentLevel();
        if (level < 0) {
            return null;
        }
        if (ageingTurn > 0 && ++turn >= ageingTurn) {
            turn = 0;
            long earliestNs = nowNs - ageingNs;
            for (int i = 0; i < levels.size(); i++) {
                J head = levels.get(i).size() == 0 ? null : levels.get(i).oldest();
                if (head != null && head.enqueuedAtNs() < earliestNs) {
                    earliestNs = head.enqueuedAtNs();
                    level = i;
                }
            }
        }
        size--;
        return levels.get(level).poll();
    }

    /** After the caller has marked what it polled: lets go of it. */
    public void trim(int level) {
        levels.get(level).trim();
    }

    /** A queued job of the level was removed; the caller has marked it already. */
    public void jobRemoved(int level) {
        size--;
        levels.get(level).jobRemoved();
    }

    /** The one of a level that has waited longest, or null. */
    public J oldest(int level) {
        return levels.get(level).oldest();
    }
}
