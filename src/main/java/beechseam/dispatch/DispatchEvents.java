package beechseam.dispatch;

import java.util.List;

/** What the host tells a dispatcher. Every call hands over the time by the host's clock, in nanoseconds. */
public interface DispatchEvents {
    /** The endpoint list has changed, or could not be had. */
    void endpointsUpdated(long now, EndpointUpdate update, List<WorkerEndpoint> entries);

    /** A job has arrived. */
    void jobArrived(long now, Job job);

    /** An attempt has left the worker's queue and runs. */
    void attemptStarted(long now, long job, int attempt);

    /** An attempt reports its progress, from 0 to 1. */
    void attemptProgressed(long now, long job, int attempt, double done);

    /** A streamed answer has begun; the job is this attempt's from here on. */
    void streamingStarted(long now, long job, int attempt);

    /**
     * The attempt's worker gets no further attempt of the job: what it reports of the two could not be told apart, or a
     * further one could arrive before the cancellation of this one. Told before the attempt's end.
     */
    void barWorker(long now, long job, int attempt);

    /**
     * An attempt has ended.
     *
     * @param closed whether the job needs no answer any more
     * @param load   the worker's load report, or null when none came along
     */
    void attemptEnded(long now, long job, int attempt, Outcome outcome, boolean closed, LoadReport load);

    /** A health check has been answered, or has failed; {@code load} may be null. */
    void healthCheckCompleted(long now, long worker, boolean answered, LoadReport load);

    /** The client has disconnected; the job needs no answer. */
    void clientDisconnected(long now, long job);

    /** A timer set by {@link DispatchActions#scheduleTimer} is due. */
    void timerFired(long now, long tag);
}
