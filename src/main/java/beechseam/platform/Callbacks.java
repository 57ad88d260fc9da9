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
 * What executors tell of jobs, here or by way of another process of this node. An event may come before the
 * 202, twice, late, or for a request that is long forgotten: whatever finds no attempt that is out at its
 * sender is taken and passed over.
 */
final class Callbacks {
    private final Engine engine;
    private final ModuleOptions options;
    private final Predicate<Slice> forwardToPeer;

    /** {@code forwardToPeer} hands an event to the other processes of this node, and is false where none is. */
    Callbacks(Engine engine, ModuleOptions options, Predicate<Slice> forwardToPeer) {
        this.engine = engine;
        this.options = options;
        this.forwardToPeer = forwardToPeer;
    }

    /** Whether the body was an event at all. One for a job that is not here may be another process's. */
    boolean take(Slice body) {
        return take(body, true);
    }

    /** One that another process had no job for: it goes no further. */
    void handleForwarded(Slice body) {
        take(body, false);
    }

    private boolean take(Slice body, boolean first) {
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
        Request request = engine.findRequest(id);
        if (request == null && first && forwardToPeer.test(body)) {
            return true;
        }
        Attempt attempt = request == null ? null : request.attemptAt(Wire.target(from));
        if (attempt == null) {
            engine.counters().lateCallbacks++;
            return true;
        }
        LoadReport load = event.get("load") instanceof Map<?, ?> report ? Wire.load(options, report) : null;
        switch (state) {
            case "started" -> engine.attemptStarted(attempt);
            case "running" -> {
                if (event.get("share") instanceof Number share) {
                    engine.attemptProgressed(attempt, share.doubleValue());
                }
            }
            case "done" -> engine.attemptEnded(attempt, Outcome.SERVED, result(event.get("result")), load);
            case "failed" -> engine.attemptEnded(attempt, Outcome.ERROR, null, load);
            case "returned" -> engine.attemptEnded(attempt, Outcome.REJECTED, null, load);
            case "lost" -> engine.attemptEnded(attempt, Outcome.LOST, null, load);
            default -> {} // a state of a later version of the protocol
        }
        return true;
    }

    private static byte[] result(Object result) {
        return result == null ? Wire.NOTHING : result.toString().getBytes(StandardCharsets.UTF_8);
    }
}
