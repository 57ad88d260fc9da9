package beechseam.dispatch;

import java.util.List;

/** The events that the host reports to a dispatcher, each with the time by the host's clock, in nanoseconds. */
public interface DispatchEvents {
    /** The endpoint list has changed, or could not be fetched. */
    void endpointsUpdated(long now, EndpointUpdate update, List<WorkerEndpoint> entries);

    /** A job has arrived. */
    void jobArrived(long now, Job job);

    /** An attempt has left the worker's queue and runs. */
    void attemptStarted(long now, long job, int attempt);

    /** An attempt reports its progress, from 0 to 1. */
    void attemptProgressed(long now, long job, int attempt, double done);

    /** A streamed answer has begun: only this attempt can serve the job from now on. */
    void streamingStarted(long now, long job, int attempt);

    /**
     * The attempt's worker must get no further attempt of the job, because its reports about the two attempts could not
     * be told apart, or because a further attempt could arrive before the cancellation of this one. The host calls this
     * before it reports the attempt's end.
     */
    void barWorker(long now, long job, int attempt);

    /**
     * An attempt has ended.
     *
     * @param closed whether the job needs no answer any more
     * @param load   the worker's load report, or null if none came with the end
     */
    void attemptEnded(long now, long job, int attempt, Outcome outcome, boolean closed, LoadReport load);

    /** A health check has been answered, or has failed; {@code load} may be null. */
    void healthCheckCompleted(long now, long worker, boolean answered, LoadReport load);

    /** The client has disconnected; the job needs no answer. */
    void clientDisconnected(long now, long job);

    /** A timer set by {@link DispatchActions#scheduleTimer} is due. */
    void timerFired(long now, long tag);
}
