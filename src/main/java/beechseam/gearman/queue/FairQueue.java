package beechseam.gearman.queue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Jobs of one function and priority. Each client has a queue of its own, and clients take turns, a job each,
 * so that one with a thousand jobs makes another with one wait for a single job (round robin after Nagle, "On
 * packet switches with infinite storage", RFC 970, 1985). Adding and taking are O(1). A job that leaves the
 * queue otherwise is only marked and skipped later; once more than half of what is held is marked, the
 * queue is swept, which is O(1) a job in the mean.
 */
public final class FairQueue<J extends QueuedJob> {
    /** Removed jobs up to which sweeping is not worth it. */
    private static final int MIN_MARKED_TO_SWEEP = 1024;

    private static final class ClientQueue<J> {
        final Object client;
        final ArrayDeque<J> jobs = new ArrayDeque<>(2);

        ClientQueue(Object client) {
            this.client = client;
        }
    }

    private final Map<Object, ClientQueue<J>> byClient = new HashMap<>();
    private final ArrayDeque<ClientQueue<J>> roundRobin = new ArrayDeque<>();
    /** All in the order in which they came: tells the oldest, and whose time runs out first. */
    private final ArrayDeque<J> byAge = new ArrayDeque<>();

    private int size;

    /** Number of jobs queued. */
    public int size() {
        return size;
    }

    /**
     * Enqueues a job.
     *
     * @param client whose turns it takes; only compared
     */
    public void add(Object client, J job) {
        ClientQueue<J> clientQueue = byClient.get(client);
        if (clientQueue == null) {
            clientQueue = new ClientQueue<>(client);
            byClient.put(client, clientQueue);
            roundRobin.addLast(clientQueue);
        }
        clientQueue.jobs.addLast(job);
        byAge.addLast(job);
        size++;
    }

    /** Takes out the next by turns, or null; the caller marks it as no longer queued. */
    public J poll() {
        while (!roundRobin.isEmpty()) {
            ClientQueue<J> clientQueue = roundRobin.pollFirst();
            J job = next(clientQueue);
            if (clientQueue.jobs.isEmpty()) {
                byClient.remove(clientQueue.client);
            } else {
                roundRobin.addLast(clientQueue);
            }
            if (job != null) {
                size--;
                return job;
            }
        }
        return null;
    }

    private J next(ClientQueue<J> clientQueue) {
        for (J job = clientQueue.jobs.pollFirst(); job != null; job = clientQueue.jobs.pollFirst()) {
            if (job.isQueued()) {
                return job;
            }
        }
        return null;
    }

    /** Jobs held in memory, removed ones included. */
    int retainedJobs() {
        int retained = 0;
        for (ClientQueue<J> clientQueue : roundRobin) {
            retained += clientQueue.jobs.size();
        }
        return Math.max(retained, byAge.size());
    }

    /** The one that has waited longest, or null; it stays queued. */
    public J oldest() {
        while (!byAge.isEmpty() && !byAge.peekFirst().isQueued()) {
            byAge.pollFirst();
        }
        return byAge.peekFirst();
    }

    /** A job was removed otherwise than by {@link #poll}; the caller has marked it already. */
    public void jobRemoved() {
        size--;
        int retained = byAge.size();
        if (retained - size > MIN_MARKED_TO_SWEEP && size < retained / 2) {
            byAge.removeIf(job -> !job.isQueued());
            byClient.values().forEach(clientQueue -> clientQueue.jobs.removeIf(job -> !job.isQueued()));
            roundRobin.removeIf(clientQueue -> clientQueue.jobs.isEmpty());
            byClient.values().removeIf(clientQueue -> clientQueue.jobs.isEmpty());
        }
    }

    /**
     * Lets go of taken jobs that are only remembered for their age; called after {@link #poll} by its owner.
     */
    public void trim() {
        oldest();
        if (byAge.size() > 2 * size + MIN_MARKED_TO_SWEEP) {
            byAge.removeIf(job -> !job.isQueued());
        }
    }
}
