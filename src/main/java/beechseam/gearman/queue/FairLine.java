package beechseam.gearman.queue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Jobs of one function and priority. Each client has a queue of its own, and clients take turns, a job each,
 * so that one with a thousand jobs makes another with one wait for a single job (round robin after Nagle, "On
 * packet switches with infinite storage", RFC 970, 1985). Adding and taking are O(1). A job that leaves the
 * line otherwise is only marked and passed over later; once more than half of what is held is marked, the
 * line is swept, which is O(1) a job in the mean.
 */
public final class FairLine<J extends Waiting> {
    /** Marked jobs up to which sweeping is not worth it. */
    private static final int LEAST_SWEPT = 1024;

    private static final class Lane<J> {
        final Object client;
        final ArrayDeque<J> jobs = new ArrayDeque<>(2);

        Lane(Object client) {
            this.client = client;
        }
    }

    private final Map<Object, Lane<J>> lanes = new HashMap<>();
    private final ArrayDeque<Lane<J>> turns = new ArrayDeque<>();
    /** All in the order in which they came: tells the oldest, and whose time runs out first. */
    private final ArrayDeque<J> byAge = new ArrayDeque<>();

    private int size;

    /** Jobs that wait. */
    public int size() {
        return size;
    }

    public void add(Object client, J job) {
        Lane<J> lane = lanes.get(client);
        if (lane == null) {
            lane = new Lane<>(client);
            lanes.put(client, lane);
            turns.addLast(lane);
        }
        lane.jobs.addLast(job);
        byAge.addLast(job);
        size++;
    }

    /** Takes out the next by turns, or null; the caller marks it as no longer waiting. */
    public J poll() {
        while (!turns.isEmpty()) {
            Lane<J> lane = turns.pollFirst();
            J job = next(lane);
            if (lane.jobs.isEmpty()) {
                lanes.remove(lane.client);
            } else {
                turns.addLast(lane);
            }
            if (job != null) {
                size--;
                return job;
            }
        }
        return null;
    }

    private J next(Lane<J> lane) {
        for (J job = lane.jobs.pollFirst(); job != null; job = lane.jobs.pollFirst()) {
            if (job.waiting()) {
                return job;
            }
        }
        return null;
    }

    /** Jobs held in memory, those that have left included. */
    int held() {
        int held = 0;
        for (Lane<J> lane : turns) {
            held += lane.jobs.size();
        }
        return Math.max(held, byAge.size());
    }

    /** The one that has waited longest, or null; it stays in line. */
    public J oldest() {
        while (!byAge.isEmpty() && !byAge.peekFirst().waiting()) {
            byAge.pollFirst();
        }
        return byAge.peekFirst();
    }

    /** A job has left otherwise than by {@link #poll}; the caller has marked it already. */
    public void left() {
        size--;
        int held = byAge.size();
        if (held - size > LEAST_SWEPT && size < held / 2) {
            byAge.removeIf(job -> !job.waiting());
            lanes.values().forEach(lane -> lane.jobs.removeIf(job -> !job.waiting()));
            turns.removeIf(lane -> lane.jobs.isEmpty());
            lanes.values().removeIf(lane -> lane.jobs.isEmpty());
        }
    }

    /**
     * Lets go of taken jobs that are only remembered for their age; called after {@link #poll} by its owner.
     */
    public void trim() {
        oldest();
        if (byAge.size() > 2 * size + LEAST_SWEPT) {
            byAge.removeIf(job -> !job.waiting());
        }
    }
}
