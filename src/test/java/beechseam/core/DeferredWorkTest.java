package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.Job;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DeferredWorkTest {
    private final DeferredWork deferred = new DeferredWork();
    private final List<String> released = new ArrayList<>();

    private Request request(String correlation) {
        return new Request(1, correlation, 0, 1000, null, null);
    }

    private void release() {
        deferred.release(
                (request, job) -> released.add("request " + request.correlation),
                attempt -> released.add("attempt " + attempt.number),
                target -> released.add("health check " + target));
    }

    @Test
    void releaseOrderIsAttemptsThenRequestsThenOneHealthCheckPerTarget() {
        Request request = request("a");
        deferred.deferHealthCheck(7);
        deferred.deferRequest(request, new Job(0, 0, 1000, 0, 1, 0));
        deferred.deferHealthCheck(7);
        Attempt attempt = new Attempt(request, 3, 7, null);
        deferred.deferAttempt(attempt);
        assertTrue(request.deferred && attempt.deferred);
        release();
        assertEquals(List.of("attempt 3", "request a", "health check 7"), released);
        assertTrue(deferred.isEmpty());
        assertFalse(request.deferred || attempt.deferred);
    }

    @Test
    void finishedRequestsAndEndedAttemptsAreNotReleased() {
        Request request = request("a");
        deferred.deferRequest(request, new Job(0, 0, 1000, 0, 1, 0));
        Attempt attempt = new Attempt(request, 0, 7, null);
        deferred.deferAttempt(attempt);
        request.finished = true;
        attempt.ended = true;
        release();
        assertEquals(List.of(), released);
    }

    @Test
    void workDeferredDuringReleaseWaitsForNextRelease() {
        Attempt attempt = new Attempt(request("a"), 0, 7, null);
        deferred.deferAttempt(attempt);
        deferred.release((request, job) -> {}, deferred::deferAttempt, target -> {});
        assertFalse(deferred.isEmpty());
        assertTrue(attempt.deferred);
        release();
        assertEquals(List.of("attempt 0"), released);
    }
}
