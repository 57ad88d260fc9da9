package beechseam.library;

import java.time.Duration;
import java.util.Optional;

/**
 * The result of a dispatch: each dispatch ends with exactly one of these.
 *
 * @param <R> the result that targets return
 */
public sealed interface Outcome<R> {
    /**
     * A target has run the job.
     *
     * @param value    the result
     * @param target   the id of the target
     * @param attempts the number of attempts that were begun, at least 1
     */
    record Served<R>(R value, String target, int attempts) implements Outcome<R> {}

    /**
     * The job was not run, so that trying again is harmless.
     *
     * @param retryAfter the advised wait before the next try; empty without advice
     * @param why        the reason, as text for people
     */
    record Refused<R>(Optional<Duration> retryAfter, String why) implements Outcome<R> {}

    /**
     * The job was not completed, or it may have run without a known result.
     *
     * @param late whether the deadline passed
     * @param why  the reason, as text for people
     */
    record Failed<R>(boolean late, String why) implements Outcome<R> {}

    /** Returns whether this is {@link Served}. */
    default boolean served() {
        return this instanceof Served;
    }
}
