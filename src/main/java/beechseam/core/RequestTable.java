package beechseam.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The open requests, by id and by correlation id. A request is removed when it has its final answer and none of its
 * attempts is in flight; until then no other request can use its correlation id.
 */
final class RequestTable {
    private final Map<Long, Request> byId = new HashMap<>();
    private final Map<String, Request> byCorrelation = new HashMap<>();
    private final Timers timers;

    RequestTable(Timers timers) {
        this.timers = timers;
    }

    void add(Request request) {
        byId.put(request.id, request);
        byCorrelation.put(request.correlation, request);
    }

    /** The open request with that correlation id, or null. */
    Request find(String correlation) {
        return byCorrelation.get(correlation);
    }

    /** The open request with that id, or null. */
    Request find(long id) {
        return byId.get(id);
    }

    /** The open request with that id, or null if there is none or it has its final answer. */
    Request findUnfinished(long id) {
        Request request = byId.get(id);
        return request == null || request.finished ? null : request;
    }

    /** The correlation ids of open requests that must not be repeated and of which an attempt has begun. */
    List<String> correlationsBegun() {
        return byId.values().stream()
                .filter(request -> request.mustNotRepeat)
                .filter(request -> request.attempts.stream().anyMatch(attempt -> attempt.begun))
                .map(request -> request.correlation)
                .toList();
    }

    int size() {
        return byId.size();
    }

    /** Marks a request that gets its final answer now, or needs none any more, and cancels its deadline. */
    void finish(Request request) {
        request.finished = true;
        timers.cancel(request.deadline);
    }

    /** Removes the request unless it has no final answer yet or has an attempt in flight. */
    void removeIfSettled(Request request) {
        if (request.finished && request.attemptsInFlight == 0) {
            byId.remove(request.id);
            byCorrelation.remove(request.correlation);
        }
    }
}
