package beechseam.servlet;

import beechseam.core.Engine;
import beechseam.core.Ingress;
import beechseam.core.Request;
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
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Middleware for any Jakarta Servlet container or framework: requests that the routing names as jobs go
 * through the core, asynchronously; all others go on along the chain. Container threads only read the request
 * and hand it over; the core stays on its own single thread, the {@code loop}.
 */
public final class DispatchFilter implements Filter {
    private static final Logger LOG = System.getLogger(DispatchFilter.class.getName());
    private static final int MAX_BODY = 64 * 1024;
    private static final long GRACE_MS = 1000;

    /** How an application maps its requests to jobs. */
    public interface Routing {
        /** The module's class of the request, or -1 to let it pass. */
        int jobClass(HttpServletRequest request);

        /** How long its client will wait, in nanoseconds. */
        long budgetNs(HttpServletRequest request, int jobClass);

        /** What the application's egress is to send for it. */
        Object message(HttpServletRequest request, byte[] body);
    }

    private final Executor loop;
    private final Engine engine;
    private final Routing routing;

    /** The engine is only touched on {@code loop}, for example {@code EventLoop::post}. */
    public DispatchFilter(Executor loop, Engine engine, Routing routing) {
        this.loop = loop;
        this.engine = engine;
        this.routing = routing;
    }

    @Override
    public void doFilter(ServletRequest request, ServletResponse response, FilterChain chain)
        throws IOException, ServletException {
        int jobClass = request instanceof HttpServletRequest http ? routing.jobClass(http) : -1;
        if (jobClass < 0) {
            chain.doFilter(request, response);
            return;
        }
        HttpServletRequest http = (HttpServletRequest) request;
        byte[] body = http.getInputStream().readNBytes(MAX_BODY + 1);
        if (body.length > MAX_BODY) {
            ((HttpServletResponse) response).sendError(HttpServletResponse.SC_REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        long budget = routing.budgetNs(http, jobClass);
        Object message = routing.message(http, body);
        AsyncContext context = http.startAsync(request, response);
        context.setTimeout(budget / 1_000_000L + GRACE_MS);
        Exchange exchange = new Exchange(context);
        context.addListener(exchange);
        loop.execute(() -> exchange.begin(jobClass, budget, message));
    }

    /** One request: the core answers it, or the container ends it first. */
    private final class Exchange implements Ingress, AsyncListener {
        private final AsyncContext context;
        private final AtomicBoolean answered = new AtomicBoolean();
        private Request request;

        Exchange(AsyncContext context) {
            this.context = context;
        }

        void begin(int jobClass, long budget, Object message) {
            if (!answered.get()) {
                request = engine.take(UUID.randomUUID().toString(), jobClass, budget, 1, 0, message, this);
            }
        }

        @Override
        public void served(Request r, byte[] result) {
            answer(HttpServletResponse.SC_OK, result, 0);
        }

        @Override
        public void shed(Request r, long pauseNs) {
            answer(HttpServletResponse.SC_SERVICE_UNAVAILABLE,
                "too busy; trying again is harmless\n".getBytes(StandardCharsets.UTF_8), pauseNs);
        }

        @Override
        public void failed(Request r, String why) {
            answer(HttpServletResponse.SC_BAD_GATEWAY, (why + "\n").getBytes(StandardCharsets.UTF_8), 0);
        }

        private void answer(int status, byte[] body, long pauseNs) {
            if (!answered.compareAndSet(false, true)) {
                return; // the container was first
            }
            HttpServletResponse response = (HttpServletResponse) context.getResponse();
            try {
                response.setStatus(status);
                if (pauseNs > 0) { // whole seconds: clients of the open web know no others
                    response.setHeader("Retry-After",
                        String.format(Locale.ROOT, "%d", (pauseNs + 999_999_999L) / 1_000_000_000L));
                }
                response.setContentLength(body.length);
                response.getOutputStream().write(body);
            } catch (IOException | RuntimeException e) {
                LOG.log(Level.DEBUG, "the client has gone", e);
            }
            context.complete();
        }

        private void gone() {
            if (answered.compareAndSet(false, true)) {
                loop.execute(() -> {
                    if (request != null) {
                        engine.left(request);
                    }
                });
            }
        }

        @Override
        public void onComplete(AsyncEvent event) {
            gone();
        }

        @Override
        public void onTimeout(AsyncEvent event) {
            gone();
            context.complete();
        }

        @Override
        public void onError(AsyncEvent event) {
            gone();
        }

        @Override
        public void onStartAsync(AsyncEvent event) {
            // Another cycle of the same request is none of ours.
        }
    }
}
