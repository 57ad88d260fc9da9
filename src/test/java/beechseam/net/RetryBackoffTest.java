package beechseam.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryBackoffTest {
    private static final long MS = 1_000_000L;

    private final RetryBackoff backoff = RetryBackoff.forSockets();

    @Test
    void pauseDoublesFromTenToOneHundredAndSixtyMilliseconds() {
        assertEquals(0, backoff.pauseNs());
        for (long expectedMs : new long[] {10, 20, 40, 80, 160, 160, 160}) {
            assertEquals(expectedMs * MS, backoff.nextPauseNs());
            assertEquals(expectedMs * MS, backoff.pauseNs());
        }
    }

    @Test
    void pauseIsLimitedIfTheLimitIsNoMultipleOfTheFirst() {
        RetryBackoff uneven = new RetryBackoff(3, 10);
        for (long expectedNs : new long[] {3, 6, 10, 10}) {
            assertEquals(expectedNs, uneven.nextPauseNs());
        }
    }

    @Test
    void failuresAreCountedSeparatelyFromPauses() {
        assertTrue(backoff.recordFailure());
        assertFalse(backoff.recordFailure());
        assertEquals(0, backoff.pauseNs());
        assertEquals(10 * MS, backoff.nextPauseNs());
        assertFalse(backoff.recordFailure());
        assertEquals(10 * MS, backoff.pauseNs());
    }

    @Test
    void successReturnsTheFailureCountAndResetsThePause() {
        assertEquals(0, backoff.recordSuccess());
        backoff.recordFailure();
        backoff.nextPauseNs();
        backoff.recordFailure();
        backoff.nextPauseNs();
        assertEquals(2, backoff.recordSuccess());
        assertEquals(0, backoff.pauseNs());
        assertTrue(backoff.recordFailure());
        assertEquals(10 * MS, backoff.nextPauseNs());
    }
}
