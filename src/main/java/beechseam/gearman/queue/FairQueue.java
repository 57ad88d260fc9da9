package beechseam.gearman.queue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Jobs of one function and priority. Each client has its own queue, and the queues are served round robin, one
 * job at a time, so that a client with a thousand queued jobs delays another client's only job by a single job
 * (Nagle, "On packet switches with infinite storage", RFC 970, 1985). Adding and polling are O(1). A job that is
 * removed otherwise is only marked, and skipped when it is reached. Once more than half of the retained jobs are
 * marked, the queue is compacted, which is amortized O(1) per job.
 */
public final class FairQueue<J extends QueuedJob> {
    /** The queue is compacted only if it retains more removed jobs than this. */
    private static final int MIN_REMOVED_TO_COMPACT = 1024;

    private static final class ClientQueue<J> {
        final Object client;
        final ArrayDeque<J> jobs = new ArrayDeque<>(2);

        ClientQueue(Object client) {
            this.client = client;
        }
    }

    private final Map<Object, ClientQueue<J>> byClient = new HashMap<>();
    private final ArrayDeque<ClientQueue<J>> roundRobin = new ArrayDeque<>();
    /** All jobs in the order in which they were added; the first has waited longest and expires first. */
    private final ArrayDeque<J> byAge = new ArrayDeque<>();

    private int size;

    /** Number of queued jobs. */
    public int size() {
        return size;
    }

    /**
     * Enqueues a job.
     *
     * @param client the client whose round-robin turns the job takes; a key that is compared only
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

    /** Removes and returns the next job in round-robin order, or null; the caller marks it as no longer queued. */
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

    /** Number of jobs that are retained in memory, including removed ones. */
    int retainedJobs() {
        int retained = 0;
        for (ClientQueue<J> clientQueue : roundRobin) {
            retained += clientQueue.jobs.size();
        }
        return Math.max(retained, byAge.size());
    }

    /** The job that has waited longest, or null; it stays queued. */
    public J oldest() {
        while (!byAge.isEmpty() && !byAge.peekFirst().isQueued()) {
            byAge.pollFirst();
        }
        return byAge.peekFirst();
    }

    /** Records that a job was removed other than by {@link #poll}; the caller has marked it already. */
    public void jobRemoved() {
        size--;
        int retained = byAge.size();
        if (retained - size > MIN_REMOVED_TO_COMPACT && size < retained / 2) {
            byAge.removeIf(job -> !job.isQueued());
            byClient.values().forEach(clientQueue -> clientQueue.jobs.removeIf(job -> !job.isQueued()));
            roundRobin.removeIf(clientQueue -> clientQueue.jobs.isEmpty());
            byClient.values().removeIf(clientQueue -> clientQueue.jobs.isEmpty());
        }
    }

    /**
     * Releases polled jobs that are retained only in the order by age. The caller calls this after {@link #poll},
     * once the job is marked.
     */
    public void trim() {
        oldest();
        if (byAge.size() > 2 * size + MIN_REMOVED_TO_COMPACT) {
            byAge.removeIf(job -> !job.isQueued());
        }
    }
}
