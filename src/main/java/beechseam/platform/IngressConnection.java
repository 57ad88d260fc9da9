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
import beechseam.net.BufferShare;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.Locale;

/**
 * A connection from a client, an operator, or an executor that sends callbacks. It validates requests and responds
 * to them. Clients' jobs go to the engine, which returns their results through {@link Ingress}. A connection has at
 * most one open job.
 */
final class IngressConnection extends ServerConnection implements Ingress {
    private static final String PLAIN_TEXT = "Content-Type: text/plain\r\n";
    private static final int MAX_ID_LENGTH = 128;

    private final PlatformNode node;
    /** The request of the open job, or null if there is none. */
    private Request request;

    private boolean carriesCallbacks;
    /** True during the call that submits a job, when {@link #request} is not set yet. */
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

    /** Returns whether the message has this method; if not, responds with 405. */
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
            node.counters.clientsDisconnected++; // the client closed after its request: no attempt is sent
            node.counters.requestsAccepted++;
        } else if (node.ingress().isOverloaded() || node.shedsNewJobs()) {
            shedBeforeAdmission(jobClass);
        } else {
            long waitedNs = node.loop.now() - requestArrivedAt();
            submit(message, jobClass, Math.max(1, timeLeftNs - waitedNs));
        }
    }

    /** Returns the first segment of the path, without slashes; empty if there is none. */
    private static String firstSegment(Slice path) {
        if (path.length() < 2) {
            return "";
        }
        int length = path.part(1, path.length()).indexOf('/');
        return path.part(1, length < 0 ? path.length() : length + 1).toString();
    }

    /** Returns why the job's headers are invalid for the class named in its path, or null if they are valid. */
    private String rejectionReason(HttpParser message, String className, int jobClass, long timeLeftNs) {
        Slice serviceClass = message.header("x-service-class");
        if (serviceClass == null) {
            return "X-Service-Class is missing";
        }
        if (!serviceClass.same(className)) {
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

    /**
     * Whether a correlation id is valid. Ids become part of the targets and headers of further requests, so they
     * consist of letters, digits, '-', '.' and '_', and start with a letter or a digit.
     */
    private static boolean isId(Slice id) {
        for (int i = 0; i < id.length(); i++) {
            int character = id.bytes()[id.from() + i];
            boolean alphanumeric = character >= 'a' && character <= 'z'
                    || character >= 'A' && character <= 'Z'
                    || character >= '0' && character <= '9';
            if (!alphanumeric && (i == 0 || character != '-' && character != '.' && character != '_')) {
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

    /** Sheds a job that was not submitted to the engine, so that no attempt has been sent. */
    private void shedBeforeAdmission(int jobClass) {
        node.counters.of(jobClass).crowdedOut++;
        respondShed(maxRetryAfterNs());
    }

    private long maxRetryAfterNs() {
        DispatchLimits limits = node.options.settings.limits();
        return limits.retryAfter() ? limits.maxRetryAfterNs() : 0;
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
            respondBadRequest(409, "a request with this X-Correlation-Id is still open, or may still run");
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

    /** Responds with 503, and with a Retry-After header if {@code retryAfterNs} (nanoseconds) is above 0. */
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

    /**
     * Reads pending input first, because a close by the client may have arrived in the current turn of the event loop
     * or while this process got no processor time.
     */
    @Override
    public boolean isClientConnected(Request checked) {
        catchUp();
        return request == checked || submitting;
    }

    @Override
    protected void refused(HttpException cause) {
        node.counters.badInput++;
    }

    /** The class of the request is not known: its head may be incomplete. */
    @Override
    protected void shedForMemory() {
        node.counters.crowdedOutUnclassified++;
        respondShed(maxRetryAfterNs());
    }

    /** Callbacks carry the results of jobs, so their memory is that of responses. */
    @Override
    protected BufferShare bufferShare() {
        return carriesCallbacks ? BufferShare.RESPONSES : BufferShare.REQUESTS;
    }

    @Override
    protected boolean stopping() {
        return carriesCallbacks ? node.isDrainingCallbacks() : node.isDraining();
    }

    /** Whether callbacks have arrived on this connection, which shows that its peer is an executor. */
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
