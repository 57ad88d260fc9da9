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
 * Requests that the routing names as jobs go through a balancer, asynchronously; all others go on along the
 * chain. A container's thread only reads the request and hands it over. Whoever is first answers: the
 * balancer, or the container when its own time-out fires; what comes later is dropped, and the job is given
 * up.
 *
 * @param <Q> what a job carries
 * @param <R> what targets give
 */
public final class BalancerFilter<Q, R> implements Filter {
    private static final Logger LOG = System.getLogger(BalancerFilter.class.getName());
    /**
     * The container waits so much longer than the balancer, so that as a rule it is the balancer that
     * answers.
     */
    private static final Duration GRACE = Duration.ofSeconds(1);

    /** How an application maps its requests to jobs, and what targets give to answers. */
    public interface Routing<Q, R> {
        /** The type of job that the request is, or null to let it pass. */
        String type(HttpServletRequest request);

        /** How long its client will wait; null for the type's own deadline. */
        default Duration deadline(HttpServletRequest request) {
            return null;
        }

        /** What the balancer's sender is to send for it. */
        Q job(HttpServletRequest request, byte[] body) throws IOException;

        /** Writes the answer of a job that was served. */
        void answer(R value, HttpServletResponse response) throws IOException;
    }

    /**
     * Status codes of answers that are none of a target.
     *
     * @param refused it may come again; {@code Retry-After} goes along where the balancer advises
     * @param failed  it may have run
     * @param late    its time ran out
     * @param large   its body is over the bound
     */
    public record Statuses(int refused, int failed, int late, int large) {
        /** 503, 502, 504 and 413. */
        public static final Statuses USUAL = new Statuses(503, 502, 504, 413);

        /** Checks that each is from 400 to 599; else an {@link IllegalArgumentException}. */
        public Statuses {
            for (int each : new int[] {refused, failed, late, large}) {
                if (each < 400 || each > 599) {
                    throw new IllegalArgumentException("a status from 400 to 599 is needed, not " + each);
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
     * With the usual statuses, bodies of 64 KiB at most, and a minute for what the container waits at most.
     */
    public BalancerFilter(Balancer<Q, R> balancer, Routing<Q, R> routing) {
        this(balancer, routing, Statuses.USUAL, 64 * 1024, Duration.ofMinutes(1));
    }

    /**
     * @param mostBody bytes of a body at most
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
        context.setTimeout((deadline == null ? longest : deadline).plus(GRACE).toMillis());
        Exchange exchange = new Exchange(context);
        context.addListener(exchange);
        exchange.dispatched(balancer.dispatch(type, job, deadline, null));
    }

    /** One request: the balancer answers it, or the container ends it first. */
    private final class Exchange implements AsyncListener {
        private final AsyncContext context;
        private final AtomicBoolean answered = new AtomicBoolean();
        private volatile CompletableFuture<Outcome<R>> future;

        Exchange(AsyncContext context) {
            this.context = context;
        }

        void dispatched(CompletableFuture<Outcome<R>> given) {
            future = given;
            given.thenAccept(this::ended);
            if (answered.get()) {
                given.cancel(true);
            }
        }

        private void ended(Outcome<R> outcome) {
            if (!answered.compareAndSet(false, true)) {
                return; // the container was first
            }
            HttpServletResponse response = (HttpServletResponse) context.getResponse();
            try {
                if (outcome instanceof Outcome.Served<R> s) {
                    routing.answer(s.value(), response);
                } else if (outcome instanceof Outcome.Refused<R> r) {
                    // Whole seconds: clients of the open web know no others.
                    r.retryAfter()
                            .ifPresent(pause -> response.setHeader(
                                    "Retry-After",
                                    Long.toString(Math.max(
                                            1, pause.plusNanos(999_999_999L).toSeconds()))));
                    plain(response, statuses.refused(), r.why() + "; trying again is harmless");
                } else if (outcome instanceof Outcome.Failed<R> f) {
                    plain(response, f.late() ? statuses.late() : statuses.failed(), f.why());
                }
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.DEBUG, "the client has gone, or its answer could not be written", e);
            } finally {
                context.complete();
            }
        }

        private void plain(HttpServletResponse response, int status, String text) throws IOException {
            byte[] body = (text + "\n").getBytes(StandardCharsets.UTF_8);
            response.setStatus(status);
            response.setContentType("text/plain;charset=utf-8");
            response.setContentLength(body.length);
            response.getOutputStream().write(body);
        }

        /** The client or the container has ended it: true for the first word on it. */
        private boolean over() {
            boolean first = answered.compareAndSet(false, true);
            CompletableFuture<Outcome<R>> given = future;
            if (first && given != null) {
                given.cancel(true);
            }
            return first;
        }

        @Override
        public void onTimeout(AsyncEvent event) {
            if (over()) { // the host's own time-out, before ours: it is still owed an answer
                try {
                    plain((HttpServletResponse) context.getResponse(), statuses.late(), "no answer in time");
                } catch (IOException | RuntimeException e) {
                    LOG.log(Level.DEBUG, "the client has gone", e);
                }
                context.complete();
            }
        }

        @Override
        public void onComplete(AsyncEvent event) {
            over();
        }

        @Override
        public void onError(AsyncEvent event) {
            over();
        }

        @Override
        public void onStartAsync(AsyncEvent event) {
            // Another cycle of the same request is none of ours.
        }
    }
}
