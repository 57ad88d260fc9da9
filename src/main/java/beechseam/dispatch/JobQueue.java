package beechseam.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Jobs waiting in this dispatcher, by priority weight per unit of work (highest first), then by latest start. */
final class JobQueue {
    private final List<PendingJob> jobs = new ArrayList<>();

    /** Inserts a job behind all jobs that it does not precede; O(n) from the end. */
    void enqueue(PendingJob job) {
        int index = jobs.size();
        while (index > 0 && precedes(job, jobs.get(index - 1))) {
            index--;
        }
        jobs.add(index, job);
    }

    private static boolean precedes(PendingJob job, PendingJob other) {
        return job.runTimes != other.runTimes
                ? job.runTimes.weightPerWork() > other.runTimes.weightPerWork()
                : job.latestStart < other.latestStart;
    }

    PendingJob get(int index) {
        return jobs.get(index);
    }

    void remove(int index) {
        jobs.remove(index);
    }

    void remove(PendingJob job) {
        jobs.remove(job);
    }

    int size() {
        return jobs.size();
    }

    /** A copy to iterate over while jobs are removed. */
    List<PendingJob> snapshot() {
        return List.copyOf(jobs);
    }
}
