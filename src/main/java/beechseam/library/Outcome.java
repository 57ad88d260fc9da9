package beechseam.library;

import java.time.Duration;
import java.util.Optional;

/**
 * How a dispatch ended: one of these, once.
 *
 * @param <R> what targets give
 */
public sealed interface Outcome<R> {
    /**
     * A target has done it; {@code target} is its id, {@code attempts} counts all that were begun, from 1.
     */
    record Served<R>(R value, String target, int attempts) implements Outcome<R> {}

    /**
     * Not done, and trying again is harmless.
     *
     * @param retryAfter when to come back; empty without advice
     * @param why        in words
     */
    record Refused<R>(Optional<Duration> retryAfter, String why) implements Outcome<R> {}

    /**
     * Not done, or done and nobody knows.
     *
     * @param late whether its time ran out
     * @param why  in words
     */
    record Failed<R>(boolean late, String why) implements Outcome<R> {}

    /** Whether it is {@link Served}. */
    default boolean served() {
        return this instanceof Served;
    }
}
