package beechseam.platform;

import beechseam.config.Json;
import beechseam.config.ModuleOptions;
import beechseam.core.Attempt;
import beechseam.core.Engine;
import beechseam.core.Request;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.http.Slice;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Handles the events that executors post about jobs, directly or through another process of this node. An event may
 * arrive before the 202 response, repeatedly, late, or for a request that is no longer known. An event that matches
 * no attempt in flight at its sender is acknowledged and ignored.
 */
final class Callbacks {
    private static final String BEGUN_ELSEWHERE = "begun_elsewhere";

    private final Engine engine;
    private final ModuleOptions options;
    private final Predicate<Slice> forwardToPeer;

    /** {@code forwardToPeer} sends an event to the node's other processes and returns false if there are none. */
    Callbacks(Engine engine, ModuleOptions options, Predicate<Slice> forwardToPeer) {
        this.engine = engine;
        this.options = options;
        this.forwardToPeer = forwardToPeer;
    }

    /**
     * Handles an event from an executor and returns whether the body is a valid event. An event about a job unknown to
     * this process is forwarded to its peers.
     */
    boolean handle(Slice body) {
        return handle(body, true);
    }

    /**
     * An event for the node's other processes: a request has begun here, so its id must not be run there. It has the
     * form of a callback, since processes of older versions ignore a callback for an unknown job.
     */
    static byte[] begunElsewhere(String correlation) {
        return ("{\"id\":\"" + correlation + "\",\"from\":\"\",\"state\":\"" + BEGUN_ELSEWHERE + "\"}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Handles an event forwarded by a process that does not know its job; it is not forwarded again. */
    void handleForwarded(Slice body) {
        handle(body, false);
    }

    private boolean handle(Slice body, boolean mayForward) {
        Object tree;
        try {
            tree = Json.parse(body.bytes(), body.from(), body.length());
        } catch (IOException e) {
            return false;
        }
        if (!(tree instanceof Map<?, ?> event)
                || !(event.get("id") instanceof String id)
                || !(event.get("from") instanceof String from)
                || !(event.get("state") instanceof String state)) {
            return false;
        }
        if (!mayForward && state.equals(BEGUN_ELSEWHERE)) {
            engine.holdCorrelation(id);
            return true;
        }
        Request request = engine.findRequest(id);
        if (request == null && mayForward && forwardToPeer.test(body)) {
            return true;
        }
        Attempt attempt = request == null ? null : request.attemptAt(Wire.target(from));
        if (attempt == null) {
            engine.counters().lateCallbacks++;
            return true;
        }
        apply(attempt, state, event);
        return true;
    }

    private void apply(Attempt attempt, String state, Map<?, ?> event) {
        LoadReport load = event.get("load") instanceof Map<?, ?> report ? Wire.loadReport(options, report) : null;
        switch (state) {
            case "started" -> engine.attemptStarted(attempt);
            case "running" -> {
                if (event.get("share") instanceof Number share) {
                    engine.attemptProgressed(attempt, share.doubleValue());
                }
            }
            case "done" -> engine.attemptEnded(attempt, Outcome.SERVED, resultBytes(event.get("result")), load);
            case "failed" -> engine.attemptEnded(attempt, Outcome.ERROR, null, load);
            case "returned" -> engine.attemptEnded(attempt, Outcome.REJECTED, null, load);
            case "lost" -> engine.attemptEnded(attempt, Outcome.LOST, null, load);
            default -> {} // ignores states of later protocol versions
        }
    }

    private static byte[] resultBytes(Object result) {
        return result == null ? Wire.EMPTY_BODY : result.toString().getBytes(StandardCharsets.UTF_8);
    }
}
