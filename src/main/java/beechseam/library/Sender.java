package beechseam.library;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

/**
 * Sends a job to a target. The host application implements it.
 *
 * @param <Q> the payload of a job
 * @param <R> the result that targets return
 */
@FunctionalInterface
public interface Sender<Q, R> {
    /** One attempt to run a job at one target. All methods may be called from any thread. */
    interface Attempt<Q> {
        /** Returns the payload of the job. */
        Q job();

        /** Returns the target to send the job to. */
        Target target();

        /** Returns the number of this attempt at the job, counted from 1. */
        int number();

        /** Returns the time left until the job's deadline; never negative. */
        Duration remaining();

        /**
         * Reports that the job has left the target's queue and runs. The call is optional, but it lets the
         * balancer tell a slow target from a long queue.
         */
        void started();

        /** Reports the share of the job that is done, from 0 to 1. The call is optional. */
        void progress(double share);

        /** Returns whether this attempt was cancelled, so that its result is no longer used. */
        boolean cancelled();

        /** Runs an action once on the executor when the attempt is cancelled, or at once if it already is. */
        void onCancel(Runnable action);
    }

    /**
     * Sends the job; the balancer calls this on its executor. The value of the returned stage is the result of
     * the job. A {@link NeverRanException} means that the job did not begin at the target; any other exception,
     * whether thrown here or by the stage, means that it may have begun.
     *
     * @return the stage of the attempt; never null
     */
    CompletionStage<R> send(Attempt<Q> attempt) throws Exception;
}
