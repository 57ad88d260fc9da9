package beechseam.platform;

import beechseam.config.Json;
import beechseam.config.ModuleOptions;
import beechseam.core.Engine;
import beechseam.core.Timer;
import beechseam.dispatch.LoadReport;
import beechseam.http.HttpParser;
import beechseam.http.HttpWriter;
import beechseam.http.Slice;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;

/** A GET that asks an executor for its load. The engine is told the result exactly once. */
final class HealthCheck extends Exchange {
    /** From the request for it, time in the queue included. */
    private static final long TIMEOUT_NS = 500_000_000L;

    private final EgressPool pool;
    private final Engine engine;
    private final ModuleOptions options;
    private final EgressTarget target;
    private boolean completed;
    private final Timer timeout = new Timer() {
        @Override
        protected void fire() {
            complete(false, null);
            if (connection != null) {
                connection.abort();
            }
        }
    };

    HealthCheck(EgressPool pool, Engine engine, ModuleOptions options, EgressTarget target) {
        this.pool = pool;
        this.engine = engine;
        this.options = options;
        this.target = target;
        pool.loop.timers.set(timeout, pool.loop.now() + TIMEOUT_NS);
    }

    private void complete(boolean healthy, LoadReport load) {
        if (!completed) {
            completed = true;
            pool.loop.timers.cancel(timeout);
            engine.healthCheckCompleted(target.id, healthy, load);
        }
    }

    @Override
    boolean tryBegin() {
        boolean wanted = !completed && engine.routeTable().acceptsNewWork(target.id);
        if (!wanted) {
            complete(false, null);
        }
        return wanted;
    }

    @Override
    ByteBuffer encodeRequest() {
        return HttpWriter.request("GET", "/_load", target.host, "", Wire.EMPTY_BODY);
    }

    @Override
    void responseReceived(HttpParser response) {
        LoadReport load = bodyReport(response.body());
        if (load == null) {
            load = Wire.loadReport(options, response.header("x-backend-load"));
        }
        complete(response.status() == 200, load);
    }

    /** The report in the body, as JSON with or without a member "load" or in the header's form; or null. */
    private LoadReport bodyReport(Slice body) {
        try {
            if (body.length() > 0 && Json.parse(body.bytes(), body.from(), body.length()) instanceof Map<?, ?> report) {
                return Wire.loadReport(options, report.get("load") instanceof Map<?, ?> inner ? inner : report);
            }
            return null;
        } catch (IOException e) { // not JSON
            return Wire.loadReport(options, body);
        }
    }

    @Override
    void failed(boolean neverRan) {
        complete(false, null);
    }
}
