package beechseam.platform;

import beechseam.core.Ingress;
import beechseam.core.Request;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.Job;
import beechseam.dispatch.JobClass;
import beechseam.http.HttpException;
import beechseam.http.HttpParser;
import beechseam.http.ServerConnection;
import beechseam.http.Slice;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.Locale;

/** A connection from the front, an executor that calls back, or an operator. */
final class IngressConnection extends ServerConnection implements Ingress {
    private static final String PLAIN = "Content-Type: text/plain\r\n";

    private static final int MOST_ID = 128;

    private final PlatformNode node;
    private Request request;
    private boolean callbacks;
    private boolean taking;

    IngressConnection(PlatformNode node, SocketChannel channel) throws IOException {
        super(node.loop, channel);
        this.node = node;
    }

    @Override
    protected void exchange(HttpParser m) {
        Slice path = m.path();
        boolean get = m.method().same("GET");
        if (path.same("/v1/job-events")) {
            if (allowed(m.method().same("POST"), "POST")) {
                callbacks = true;
                boolean understood = node.callbacks.take(m.body());
                respond(
                        understood ? 204 : 400,
                        understood ? "" : PLAIN,
                        understood ? Wire.NOTHING : text("not a job event"));
                node.counters.badInput += understood ? 0 : 1;
            }
        } else if (path.same("/_health")) {
            if (allowed(get, "GET")) {
                boolean ready = node.ready();
                String table = node.routeTable().name().toLowerCase(Locale.ROOT);
                respond(
                        ready ? 200 : 503,
                        PLAIN + "X-Route-Table: " + table + "\r\n",
                        text(ready ? "ready" : "not ready"));
            }
        } else if (path.same("/_counters")) {
            if (allowed(get, "GET")) {
                respond(200, "Content-Type: application/json\r\n", text(node.counters.toString()));
            }
        } else {
            job(m, path);
        }
    }

    private boolean allowed(boolean method, String allow) {
        if (!method) {
            node.counters.badInput++;
            respond(405, PLAIN + "Allow: " + allow + "\r\n", text("use " + allow));
        }
        return method;
    }

    private void job(HttpParser m, Slice path) {
        int second = path.length() == 0 ? -1 : path.part(1, path.length()).indexOf('/');
        String first = path.length() < 2
                ? ""
                : path.part(1, second < 0 ? path.length() : second + 1).toString();
        if (node.options.findClass(first) < 0) {
            bad(404, "nothing is served at this path");
            return;
        }
        if (!allowed(m.method().same("POST"), "POST")) {
            return;
        }
        Slice named = m.header("x-service-class");
        int jobClass = named == null ? -1 : node.options.findClass(named.toString());
        Slice id = m.header("x-correlation-id");
        long budget = Wire.time(m.header("x-time-left"));
        Slice key = m.header("idempotency-key");
        if (jobClass < 0 || !named.same(first)) {
            bad(400, named == null ? "X-Service-Class is missing" : "X-Service-Class names no class of this path");
        } else if (id == null || !isId(id)) {
            bad(400, "X-Correlation-Id is missing or no id");
        } else if (budget < 0) {
            bad(400, "X-Time-Left is missing or no time, such as 480m or 1500u");
        } else if (key == null ? keyed(jobClass) : !key.isVisible()) {
            bad(400, "Idempotency-Key is missing or malformed");
        } else if (peerEnded()) {
            node.counters.clientsDisconnected++; // gone behind its request: nobody is there to answer, nothing is sent
            node.counters.requestsAccepted++;
        } else if (node.ingress().crowded() || node.shedding()) {
            turnAway(jobClass);
        } else {
            long waited = node.loop.now() - requestArrivedAt();
            take(m, jobClass, id, Math.max(1, budget - waited), key);
        }
    }

    /** An id goes into targets and headers of further requests: it is a plain word and starts with no dot. */
    private static boolean isId(Slice id) {
        for (int i = 0; i < id.length(); i++) {
            int c = id.bytes()[id.from() + i];
            boolean plain = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!plain && (i == 0 || c != '-' && c != '.' && c != '_')) {
                return false;
            }
        }
        return id.length() > 0 && id.length() <= MOST_ID;
    }

    /** Shed before the module has seen it: nothing of it has been sent. */
    private void turnAway(int jobClass) {
        node.counters.of(jobClass).crowdedOut++;
        DispatchLimits limits = node.options.settings.limits();
        refuse(limits.retryAfter() ? limits.maxRetryAfterNs() : 0);
    }

    private boolean keyed(int jobClass) {
        JobClass c = node.options.settings.classes().get(jobClass);
        return c.idempotency() == Idempotency.KEYED;
    }

    private void bad(int status, String why) {
        node.counters.badInput++;
        respond(status, PLAIN, text(why));
    }

    private void take(HttpParser m, int jobClass, Slice id, long budget, Slice key) {
        StringBuilder headers = new StringBuilder(160)
                .append("X-Correlation-Id: ")
                .append(id)
                .append("\r\nX-Service-Class: ")
                .append(m.header("x-service-class"))
                .append("\r\n");
        if (key != null) {
            headers.append("Idempotency-Key: ").append(key).append("\r\n");
        }
        Slice type = m.header("content-type");
        if (type != null) {
            headers.append("Content-Type: ").append(type).append("\r\n");
        }
        Slice facts = m.header("x-facts");
        double slots = Wire.fact(facts, "slots");
        double memory = Wire.fact(facts, "memory");
        JobMessage message = new JobMessage(
                m.target().toString(), headers.toString(), m.body().copy());
        boolean firstTry = node.options.marksRetries && m.header("x-repeat") == null;
        Job job = new Job(0, jobClass, budget, 0, slots > 0 ? slots : 1, memory >= 0 ? memory : 0, firstTry);
        taking = true;
        Request taken = node.engine.submit(id.toString(), job, message, this);
        taking = false;
        if (taken == null) {
            bad(409, "a request with this X-Correlation-Id is still open");
        } else if (!taken.finished()) {
            request = taken;
            node.ingress().jobs(1);
        }
    }

    private void letGo() {
        node.ingress().jobs(request == null ? 0 : -1);
        request = null;
    }

    @Override
    public void served(Request r, byte[] result) {
        letGo();
        respond(200, "Content-Type: application/octet-stream\r\n", result);
    }

    @Override
    public void shed(Request r, long pauseNs) {
        letGo();
        refuse(pauseNs);
    }

    private void refuse(long pauseNs) {
        String pause = pauseNs <= 0 ? "" : String.format(Locale.ROOT, "Retry-After: %.3f\r\n", pauseNs / 1e9);
        respond(503, PLAIN + pause, text("too busy; trying again is harmless"));
    }

    @Override
    public void failed(Request r, String why) {
        letGo();
        respond(502, PLAIN, text(why));
    }

    /** A close may have come in this very turn, or while this node had no processor time: read first. */
    @Override
    public boolean isClientConnected(Request r) {
        catchUp();
        return request == r || taking;
    }

    @Override
    protected void refused(HttpException why) {
        node.counters.badInput++;
    }

    @Override
    protected boolean stopping() {
        return callbacks ? node.leavingCallbacks() : node.leaving();
    }

    /** Whether it has carried call-backs: it is an executor's, not a client's. */
    boolean callbacks() {
        return callbacks;
    }

    @Override
    protected void lost(IOException why) {
        if (request != null) {
            Request gone = request;
            letGo();
            node.engine.clientDisconnected(gone);
        }
    }

    @Override
    protected void released() {
        node.ingress().released(this);
    }
}
