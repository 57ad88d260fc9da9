package beechseam.core;

import java.util.HashMap;
import java.util.Map;

/**
 * The open requests, by id and by correlation. A request leaves it when it has its final answer and no attempt of it
 * is in flight: until then its correlation is not free for another.
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

    /** The open request of that correlation, or null. */
    Request find(String correlation) {
        return byCorrelation.get(correlation);
    }

    /** The open request of that id, or null. */
    Request find(long id) {
        return byId.get(id);
    }

    /** The open request of that id that still owes its final answer, or null. */
    Request findUnfinished(long id) {
        Request request = byId.get(id);
        return request == null || request.finished ? null : request;
    }

    int size() {
        return byId.size();
    }

    /** The request gets its final answer now, or needs none any more. */
    void finish(Request request) {
        request.finished = true;
        timers.cancel(request.deadline);
    }

    /** Removes the request unless it owes an answer or has an attempt in flight. */
    void removeIfSettled(Request request) {
        if (request.finished && request.attemptsInFlight == 0) {
            byId.remove(request.id);
            byCorrelation.remove(request.correlation);
        }
    }
}
