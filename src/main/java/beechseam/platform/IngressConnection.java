package beechseam.platform;

import beechseam.core.Ingress;
import beechseam.core.Request;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.Job;
import beechseam.http.HttpException;
import beechseam.http.HttpParser;
import beechseam.http.ServerConnection;
import beechseam.http.Slice;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.Locale;

/**
 * A connection from a client, an executor that calls back, or an operator. It validates requests and answers
 * them; a client's job goes to the engine, which answers by the methods of {@link Ingress}. One job at a time.
 */
final class IngressConnection extends ServerConnection implements Ingress {
    private static final String PLAIN_TEXT = "Content-Type: text/plain\r\n";
    private static final int MAX_ID_LENGTH = 128;

    private final PlatformNode node;
    /** The open job's request, or null. */
    private Request request;

    private boolean carriesCallbacks;
    /** True within the call that submits a job: its request is not known here yet. */
    private boolean submitting;

    IngressConnection(PlatformNode node, SocketChannel channel) throws IOException {
        super(node.loop, channel);
        this.node = node;
    }

    @Override
    protected void exchange(HttpParser message) {
        Slice path = message.path();
        if (path.same("/v1/job-events")) {
            if (requireMethod(message, "POST")) {
                handleCallback(message.body());
            }
        } else if (path.same("/_health")) {
            if (requireMethod(message, "GET")) {
                respondHealth();
            }
        } else if (path.same("/_counters")) {
            if (requireMethod(message, "GET")) {
                respond(200, "Content-Type: application/json\r\n", text(node.counters.toString()));
            }
        } else {
            handleJob(message, path);
        }
    }

    /** Whether the message has this method; if not it is answered by 405. */
    private boolean requireMethod(HttpParser message, String method) {
        boolean allowed = message.method().same(method);
        if (!allowed) {
            node.counters.badInput++;
            respond(405, PLAIN_TEXT + "Allow: " + method + "\r\n", text("use " + method));
        }
        return allowed;
    }

    private void handleCallback(Slice body) {
        carriesCallbacks = true;
        if (node.callbacks.handle(body)) {
            respond(204, "", Wire.EMPTY_BODY);
        } else {
            respond(400, PLAIN_TEXT, text("not a job event"));
            node.counters.badInput++;
        }
    }

    private void respondHealth() {
        boolean ready = node.ready();
        String table = node.routeTable().name().toLowerCase(Locale.ROOT);
        respond(
                ready ? 200 : 503,
                PLAIN_TEXT + "X-Route-Table: " + table + "\r\n",
                text(ready ? "ready" : "not ready"));
    }

    private void handleJob(HttpParser message, Slice path) {
        String className = firstSegment(path);
        int jobClass = node.options.findClass(className);
        if (jobClass < 0) {
            respondBadRequest(404, "nothing is served at this path");
            return;
        }
        if (!requireMethod(message, "POST")) {
            return;
        }
        long timeLeftNs = Wire.durationNs(message.header("x-time-left"));
        String reason = rejectionReason(message, className, jobClass, timeLeftNs);
        if (reason != null) {
            respondBadRequest(400, reason);
        } else if (peerEnded()) {
            node.counters.clientsDisconnected++; // gone behind its request: nobody is there to answer, nothing is sent
            node.counters.requestsAccepted++;
        } else if (node.ingress().isOverloaded() || node.shedsNewJobs()) {
            shedBeforeAdmission(jobClass);
        } else {
            long waitedNs = node.loop.now() - requestArrivedAt();
            submit(message, jobClass, Math.max(1, timeLeftNs - waitedNs));
        }
    }

    /** The text between the first slash and the second, if any; empty where there is none. */
    private static String firstSegment(Slice path) {
        if (path.length() < 2) {
            return "";
        }
        int length = path.part(1, path.length()).indexOf('/');
        return path.part(1, length < 0 ? path.length() : length + 1).toString();
    }

    /** Why the headers of a job to the class of its path are malformed, or null. */
    private String rejectionReason(HttpParser message, String className, int jobClass, long timeLeftNs) {
        Slice named = message.header("x-service-class");
        if (named == null) {
            return "X-Service-Class is missing";
        }
        if (!named.same(className)) {
            return "X-Service-Class names no class of this path";
        }
        Slice id = message.header("x-correlation-id");
        if (id == null || !isId(id)) {
            return "X-Correlation-Id is missing or no id";
        }
        if (timeLeftNs < 0) {
            return "X-Time-Left is missing or no time, such as 480m or 1500u";
        }
        Slice key = message.header("idempotency-key");
        if (key == null ? requiresKey(jobClass) : !key.isVisible()) {
            return "Idempotency-Key is missing or malformed";
        }
        return null;
    }

    /** An id goes into targets and headers of further requests: it is a plain word and starts with no dot. */
    private static boolean isId(Slice id) {
        for (int i = 0; i < id.length(); i++) {
            int code = id.bytes()[id.from() + i];
            boolean alphanumeric =
                    code >= 'a' && code <= 'z' || code >= 'A' && code <= 'Z' || code >= '0' && code <= '9';
            if (!alphanumeric && (i == 0 || code != '-' && code != '.' && code != '_')) {
                return false;
            }
        }
        return id.length() > 0 && id.length() <= MAX_ID_LENGTH;
    }

    private boolean requiresKey(int jobClass) {
        return node.options.settings.classes().get(jobClass).idempotency() == Idempotency.KEYED;
    }

    private void respondBadRequest(int status, String reason) {
        node.counters.badInput++;
        respond(status, PLAIN_TEXT, text(reason));
    }

    /** Shed before the module has seen it: nothing of it has been sent. */
    private void shedBeforeAdmission(int jobClass) {
        node.counters.of(jobClass).crowdedOut++;
        DispatchLimits limits = node.options.settings.limits();
        respondShed(limits.retryAfter() ? limits.maxRetryAfterNs() : 0);
    }

    private void submit(HttpParser message, int jobClass, long timeLeftNs) {
        String id = message.header("x-correlation-id").toString();
        Slice facts = message.header("x-facts");
        double slots = Wire.fieldValue(facts, "slots");
        double memory = Wire.fieldValue(facts, "memory");
        JobMessage forwarded = new JobMessage(
                message.target().toString(),
                forwardedHeaders(message),
                message.body().copy());
        boolean firstAttempt = node.options.marksRetries && message.header("x-repeat") == null;
        Job job = new Job(0, jobClass, timeLeftNs, 0, slots > 0 ? slots : 1, memory >= 0 ? memory : 0, firstAttempt);
        submitting = true;
        Request submitted = node.engine.submit(id, job, forwarded, this);
        submitting = false;
        if (submitted == null) {
            respondBadRequest(409, "a request with this X-Correlation-Id is still open");
        } else if (!submitted.finished()) {
            request = submitted;
            node.ingress().jobOpened();
        }
    }

    private static String forwardedHeaders(HttpParser message) {
        StringBuilder headers = new StringBuilder(160)
                .append("X-Correlation-Id: ")
                .append(message.header("x-correlation-id"))
                .append("\r\nX-Service-Class: ")
                .append(message.header("x-service-class"))
                .append("\r\n");
        Slice key = message.header("idempotency-key");
        if (key != null) {
            headers.append("Idempotency-Key: ").append(key).append("\r\n");
        }
        Slice contentType = message.header("content-type");
        if (contentType != null) {
            headers.append("Content-Type: ").append(contentType).append("\r\n");
        }
        return headers.toString();
    }

    private void releaseRequest() {
        if (request != null) {
            node.ingress().jobClosed();
            request = null;
        }
    }

    @Override
    public void served(Request served, byte[] result) {
        releaseRequest();
        respond(200, "Content-Type: application/octet-stream\r\n", result);
    }

    @Override
    public void shed(Request shed, long retryAfterNs) {
        releaseRequest();
        respondShed(retryAfterNs);
    }

    /** {@code retryAfterNs}: nanoseconds; 0 or less for no advice. */
    private void respondShed(long retryAfterNs) {
        String retryAfter =
                retryAfterNs <= 0 ? "" : String.format(Locale.ROOT, "Retry-After: %.3f\r\n", retryAfterNs / 1e9);
        respond(503, PLAIN_TEXT + retryAfter, text("too busy; trying again is harmless"));
    }

    @Override
    public void failed(Request failed, String reason) {
        releaseRequest();
        respond(502, PLAIN_TEXT, text(reason));
    }

    /** A close may have come in this very turn, or while this node had no processor time: read first. */
    @Override
    public boolean isClientConnected(Request asked) {
        catchUp();
        return request == asked || submitting;
    }

    @Override
    protected void refused(HttpException cause) {
        node.counters.badInput++;
    }

    @Override
    protected boolean stopping() {
        return carriesCallbacks ? node.isDrainingCallbacks() : node.isDraining();
    }

    /** Whether it has carried call-backs: it is an executor's, not a client's. */
    boolean carriesCallbacks() {
        return carriesCallbacks;
    }

    @Override
    protected void lost(IOException cause) {
        if (request != null) {
            Request abandoned = request;
            releaseRequest();
            node.engine.clientDisconnected(abandoned);
        }
    }

    @Override
    protected void released() {
        node.ingress().connectionClosed(this);
    }
}
