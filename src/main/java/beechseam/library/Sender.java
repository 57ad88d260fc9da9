package beechseam.library;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Takes a job to a target; the host's own.
 *
 * @param <Q> what a job carries
 * @param <R> what targets give
 */
@FunctionalInterface
public interface Sender<Q, R> {
    /** One attempt at a job, at one target. All methods may be called from any thread. */
    interface Attempt<Q> {
        /** What the job carries. */
        Q job();

        /** Where it is to be sent. */
        Target target();

        /** From 1. */
        int number();

        /** Time until nobody waits any more; never negative. */
        Duration remaining();

        /** The job has left the target's queue and runs. Optional, and better told: it shows who is slow. */
        void started();

        /** How much of it is done, from 0 to 1. Optional. */
        void progress(double share);

        /** Whether nobody waits for this attempt any more. */
        boolean cancelled();

        /** Run once if the attempt is cancelled, at once if it has been; on the executor. */
        void onCancel(Runnable action);
    }

    /**
     * Sends it, on the balancer's executor. The stage's value serves the job. A {@link NeverRanException}
     * says that it did not begin there; any other exception, one thrown here too, that it may have.
     *
     * @return never null
     */
    CompletionStage<R> send(Attempt<Q> attempt) throws Exception;
}
