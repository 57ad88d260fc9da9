package beechseam.servlet;

import beechseam.library.Balancer;
import beechseam.library.Outcome;
import jakarta.servlet.AsyncContext;
import jakarta.servlet.AsyncEvent;
import jakarta.servlet.AsyncListener;
import jakarta.servlet.Filter;
import jakarta.servlet.FilterChain;
import jakarta.servlet.ServletException;
import jakarta.servlet.ServletRequest;
import jakarta.servlet.ServletResponse;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Servlet filter that dispatches requests through a balancer asynchronously, if the routing maps them to a job
 * type; all other requests continue along the chain. The container's thread only reads the request and dispatches
 * it. Either the balancer answers, or the container when its own timeout fires first: the job is then given up
 * and a later outcome is dropped.
 *
 * @param <Q> the payload of a job
 * @param <R> the result that targets return
 */
public final class BalancerFilter<Q, R> implements Filter {
    private static final Logger LOG = System.getLogger(BalancerFilter.class.getName());
    /**
     * Time that the container waits on top of the deadline, so that normally the balancer answers before the
     * container's timeout fires.
     */
    private static final Duration CONTAINER_GRACE = Duration.ofSeconds(1);

    /** Maps the requests of an application to jobs, and the results of targets to responses. */
    public interface Routing<Q, R> {
        /** Returns the job type of the request, or null to pass the request along the chain. */
        String type(HttpServletRequest request);

        /** Returns how long the client waits; null for the deadline of the job type. */
        default Duration deadline(HttpServletRequest request) {
            return null;
        }

        /** Returns the payload that the balancer's sender sends for the request. */
        Q job(HttpServletRequest request, byte[] body) throws IOException;

        /** Writes the response for the result of a served job. */
        void answer(R value, HttpServletResponse response) throws IOException;
    }

    /**
     * Status codes of responses that the filter gives without a result from a target.
     *
     * @param refused the job did not run and may be tried again; {@code Retry-After} is set if a wait is advised
     * @param failed  the job may have run
     * @param late    the deadline passed
     * @param large   the request body is larger than the limit
     */
    public record Statuses(int refused, int failed, int late, int large) {
        /** The default status codes: 503, 502, 504 and 413. */
        public static final Statuses USUAL = new Statuses(503, 502, 504, 413);

        /** Throws {@link IllegalArgumentException} unless each status is from 400 to 599. */
        public Statuses {
            for (int each : new int[] {refused, failed, late, large}) {
                if (each < 400 || each > 599) {
                    throw new IllegalArgumentException("status must be from 400 to 599, not " + each);
                }
            }
        }
    }

    private final Balancer<Q, R> balancer;
    private final Routing<Q, R> routing;
    private final Statuses statuses;
    private final int mostBody;
    private final Duration longest;

    /**
     * Creates a filter with the default status codes, a limit of 64 KiB for request bodies and a container wait of
     * one minute where the routing names no deadline.
     */
    public BalancerFilter(Balancer<Q, R> balancer, Routing<Q, R> routing) {
        this(balancer, routing, Statuses.USUAL, 64 * 1024, Duration.ofMinutes(1));
    }

    /**
     * Creates a filter.
     *
     * @param mostBody the maximum size of a request body in bytes
     * @param longest  how long the container waits where the routing names no deadline
     */
    public BalancerFilter(
            Balancer<Q, R> balancer, Routing<Q, R> routing, Statuses statuses, int mostBody, Duration longest) {
        this.balancer = Objects.requireNonNull(balancer, "balancer");
        this.routing = Objects.requireNonNull(routing, "routing");
        this.statuses = Objects.requireNonNull(statuses, "statuses");
        if (mostBody < 0) {
            throw new IllegalArgumentException("mostBody: must not be negative, not " + mostBody);
        }
        this.mostBody = mostBody;
        this.longest = longest;
    }

    @Override
    public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
            throws IOException, ServletException {
        String type = request instanceof HttpServletRequest http ? routing.type(http) : null;
        if (type == null) {
            chain.doFilter(request, response);
            return;
        }
        HttpServletRequest http = (HttpServletRequest) request;
        byte[] body = http.getInputStream().readNBytes(mostBody + 1);
        if (body.length > mostBody) {
            ((HttpServletResponse) response).sendError(statuses.large());
            return;
        }
        Duration deadline = routing.deadline(http);
        Q job = routing.job(http, body);
        AsyncContext context = http.startAsync(request, response);
        context.setTimeout(
                (deadline == null ? longest : deadline).plus(CONTAINER_GRACE).toMillis());
        Exchange exchange = new Exchange(context);
        context.addListener(exchange);
        exchange.dispatched(balancer.dispatch(type, job, deadline, null));
    }

    /** An open request, which either the balancer answers or the container ends first. */
    private final class Exchange implements AsyncListener {
        private final AsyncContext context;
        private final AtomicBoolean answered = new AtomicBoolean();
        private volatile CompletableFuture<Outcome<R>> future;

        Exchange(AsyncContext context) {
            this.context = context;
        }

        void dispatched(CompletableFuture<Outcome<R>> pending) {
            future = pending;
            pending.thenAccept(this::ended);
            if (answered.get()) {
                pending.cancel(true);
            }
        }

        private void ended(Outcome<R> outcome) {
            if (!answered.compareAndSet(false, true)) {
                return; // the container has already ended the request
            }
            HttpServletResponse response = (HttpServletResponse) context.getResponse();
            try {
                if (outcome instanceof Outcome.Served<R> s) {
                    routing.answer(s.value(), response);
                } else if (outcome instanceof Outcome.Refused<R> r) {
                    // Retry-After takes whole seconds only, so the wait is rounded up.
                    r.retryAfter()
                            .ifPresent(pause -> response.setHeader(
                                    "Retry-After",
                                    Long.toString(Math.max(
                                            1, pause.plusNanos(999_999_999L).toSeconds()))));
                    writeText(response, statuses.refused(), r.why() + "; trying again is harmless");
                } else if (outcome instanceof Outcome.Failed<R> f) {
                    writeText(response, f.late() ? statuses.late() : statuses.failed(), f.why());
                }
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.DEBUG, "response not written: the client disconnected or the routing failed", e);
            } finally {
                context.complete();
            }
        }

        private void writeText(HttpServletResponse response, int status, String text) throws IOException {
            byte[] body = (text + "\n").getBytes(StandardCharsets.UTF_8);
            response.setStatus(status);
            response.setContentType("text/plain;charset=utf-8");
            response.setContentLength(body.length);
            response.getOutputStream().write(body);
        }

        /** Gives up the job after the client or the container ended the request; returns true on the first end. */
        private boolean abandon() {
            boolean first = answered.compareAndSet(false, true);
            CompletableFuture<Outcome<R>> pending = future;
            if (first && pending != null) {
                pending.cancel(true);
            }
            return first;
        }

        @Override
        public void onTimeout(AsyncEvent event) {
            if (abandon()) { // the container's timeout fired first, so the client still needs an answer
                try {
                    writeText((HttpServletResponse) context.getResponse(), statuses.late(), "no answer in time");
                } catch (IOException | RuntimeException e) {
                    LOG.log(Level.DEBUG, "timeout response not written: the client disconnected", e);
                }
                context.complete();
            }
        }

        @Override
        public void onComplete(AsyncEvent event) {
            abandon();
        }

        @Override
        public void onError(AsyncEvent event) {
            abandon();
        }

        @Override
        public void onStartAsync(AsyncEvent event) {
            // Another asynchronous cycle of the same request does not concern this filter.
        }
    }
}
