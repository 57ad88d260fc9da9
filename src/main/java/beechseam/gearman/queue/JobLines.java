package beechseam.gearman.queue;

import java.util.ArrayList;
import java.util.List;

/**
 * The waiting jobs of one function, a {@link FairLine} for each level (0 is the most urgent), and whose turn
 * it is: the most urgent level that has any, but every {@code ageingTurn}-th turn goes to the level whose
 * head has waited longest, if that is over {@code ageingNs}. So a level is never starved: behind any stream
 * its head gets one turn in {@code ageingTurn}. A turn costs O(levels).
 */
public final class JobLines<J extends Waiting> {
    private final List<FairLine<J>> levels = new ArrayList<>();
    private final int[] most;
    private final int ageingTurn;
    private final long ageingNs;
    private int turn;
    private int size;

    /**
     * @param levelCount how many levels
     * @param priorities how many bounds there are; levels that leave the same rest by it share one
     * @param ageingTurn every how many turns age decides; 0: never
     * @param ageingNs   age below which a head has no claim, in nanoseconds
     */
    public JobLines(int levelCount, int priorities, int ageingTurn, long ageingNs) {
        for (int i = 0; i < levelCount; i++) {
            levels.add(new FairLine<>());
        }
        most = new int[priorities];
        java.util.Arrays.fill(most, Integer.MAX_VALUE);
        this.ageingTurn = ageingTurn;
        this.ageingNs = ageingNs;
    }

    public int size() {
        return size;
    }

    /** The most that may wait at the levels of a priority together; what waits already stays. */
    public void limit(int priority, int jobs) {
        most[priority] = jobs;
    }

    /** Whether the priority of a level is at its bound. */
    public boolean full(int level) {
        int priority = level % most.length;
        return most[priority] != Integer.MAX_VALUE && waiting(priority) >= most[priority];
    }

    /** Jobs that wait at a level and those that share its bound. */
    public int waitingWith(int level) {
        return waiting(level % most.length);
    }

    /** Jobs that wait at the levels of a priority. */
    public int waiting(int priority) {
        int sum = 0;
        for (int i = priority; i < levels.size(); i += most.length) {
            sum += levels.get(i).size();
        }
        return sum;
    }

    public void add(int level, Object client, J job) {
        levels.get(level).add(client, job);
        size++;
    }

    /** The most urgent level that has any, or -1. */
    public int urgent() {
        for (int i = 0; i < levels.size(); i++) {
            if (levels.get(i).size() > 0) {
                return i;
            }
        }
        return -1;
    }

    /** Takes out the job whose turn it is, or null; the caller marks it as no longer waiting. */
    public J poll(long now) {
        int level = urgent();
        if (level < 0) {
            return null;
        }
        if (ageingTurn > 0 && ++turn >= ageingTurn) {
            turn = 0;
            long longest = now - ageingNs;
            for (int i = 0; i < levels.size(); i++) {
                J head = levels.get(i).size() == 0 ? null : levels.get(i).oldest();
                if (head != null && head.since() < longest) {
                    longest = head.since();
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

    /** A waiting job of the level has left; the caller has marked it already. */
    public void left(int level) {
        size--;
        levels.get(level).left();
    }

    /** The one of a level that has waited longest, or null. */
    public J oldest(int level) {
        return levels.get(level).oldest();
    }
}
