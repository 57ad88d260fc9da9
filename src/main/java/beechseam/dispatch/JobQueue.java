package beechseam.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Jobs that wait here for a worker: the most weight a unit of work first, then by latest start. */
final class JobQueue {
    private final List<PendingJob> jobs = new ArrayList<>();

    /** Queues a job behind all that do not come after it; O(n) from the end. */
    void enqueue(PendingJob job) {
        int place = jobs.size();
        while (place > 0 && precedes(job, jobs.get(place - 1))) {
            place--;
        }
        jobs.add(place, job);
    }

    private static boolean precedes(PendingJob job, PendingJob other) {
        return job.runTimes != other.runTimes
                ? job.runTimes.weightPerWork() > other.runTimes.weightPerWork()
                : job.latestStart < other.latestStart;
    }

    PendingJob get(int place) {
        return jobs.get(place);
    }

    void remove(int place) {
        jobs.remove(place);
    }

    void remove(PendingJob job) {
        jobs.remove(job);
    }

    int size() {
        return jobs.size();
    }

    /** A copy, to walk while jobs are removed. */
    List<PendingJob> snapshot() {
        return List.copyOf(jobs);
    }
}
