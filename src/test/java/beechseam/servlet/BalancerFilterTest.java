package beechseam.servlet;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.library.Balancer;
import beechseam.library.JobType;
import beechseam.library.Sender;
import beechseam.library.Target;
import jakarta.servlet.AsyncEvent;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.springframework.mock.web.MockAsyncContext;
import org.springframework.mock.web.MockFilterChain;
import org.springframework.mock.web.MockHttpServletRequest;
import org.springframework.mock.web.MockHttpServletResponse;

/** Tests the filter on Spring's servlet mocks, with a balancer whose attempts the test completes. */
class BalancerFilterTest {
    private record PendingAttempt(Sender.Attempt<String> attempt, CompletableFuture<String> answer) {}

    private static final class Routes implements BalancerFilter.Routing<String, String> {
        @Override
        public String type(HttpServletRequest request) {
            return request.getRequestURI().startsWith("/job") ? "job" : null;
        }

        @Override
        public Duration deadline(HttpServletRequest request) {
            return request.getHeader("X-Ms") == null
                    ? null
                    : Duration.ofMillis(Long.parseLong(request.getHeader("X-Ms")));
        }

        @Override
        public String job(HttpServletRequest request, byte[] body) {
            return request.getRequestURI() + " " + new String(body);
        }

        @Override
        public void answer(String value, HttpServletResponse response) throws IOException {
            response.setStatus(201);
            response.getOutputStream().print(value);
        }
    }

    private final LinkedBlockingQueue<PendingAttempt> pendingAttempts = new LinkedBlockingQueue<>();
    private final Balancer<String, String> balancer = Balancer.<String, String>builder(a -> {
                CompletableFuture<String> answer = new CompletableFuture<>();
                pendingAttempts.add(new PendingAttempt(a, answer));
                return answer;
            })
            .type(JobType.of("job", Duration.ofSeconds(20)))
            .targets(List.of(Target.of("t")))
            .retryAfter(Duration.ofMillis(1500))
            .build();
    private final BalancerFilter<String, String> filter = new BalancerFilter<>(balancer, new Routes());
    private final MockHttpServletResponse response = new MockHttpServletResponse();
    private final MockFilterChain chain = new MockFilterChain();

    @AfterEach
    void close() {
        balancer.close(Duration.ZERO);
    }

    private MockHttpServletRequest post(String path, int size, String ms) throws Exception {
        MockHttpServletRequest request = new MockHttpServletRequest("POST", path);
        request.setAsyncSupported(true);
        request.setContent("x".repeat(size).getBytes());
        if (ms != null) {
            request.addHeader("X-Ms", ms);
        }
        filter.doFilter(request, response, chain);
        return request;
    }

    /** Waits until the mock has completed the asynchronous request. */
    private static void awaitCompletion(MockHttpServletRequest request) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        MockAsyncContext context = (MockAsyncContext) request.getAsyncContext();
        context.addDispatchHandler(() -> done.complete(null));
        for (int i = 0; i < 4000 && request.isAsyncStarted(); i++) {
            Thread.sleep(5);
        }
        assertFalse(request.isAsyncStarted(), "the request was not completed");
    }

    private PendingAttempt nextAttempt() throws Exception {
        PendingAttempt pending = pendingAttempts.poll(20, TimeUnit.SECONDS);
        assertNotNull(pending, "no attempt was sent within 20 s");
        return pending;
    }

    @Test
    void jobIsServedAndOtherRequestsPass() throws Exception {
        MockHttpServletRequest request = post("/job/1", 3, null);
        PendingAttempt pending = nextAttempt();
        assertEquals("/job/1 xxx", pending.attempt.job());
        pending.answer.complete("done");
        awaitCompletion(request);
        assertEquals(201, response.getStatus());
        assertEquals("done", response.getContentAsString());
        assertNull(chain.getRequest());
        post("/page", 0, null);
        assertNotNull(chain.getRequest(), "a request that is no job continues along the chain");
    }

    @Test
    void tooLargeBodyIsRejected() throws Exception {
        post("/job", 64 * 1024 + 1, null);
        assertEquals(413, response.getStatus());
        assertTrue(pendingAttempts.isEmpty());
    }

    @Test
    void refusedFailedAndLateJobsHaveTheirStatuses() throws Exception {
        MockHttpServletRequest request = post("/job", 1, null);
        nextAttempt().answer.completeExceptionally(new IllegalStateException("broken"));
        awaitCompletion(request);
        assertEquals(502, response.getStatus());
        balancer.targets(List.of(Target.of("u"))); // the first target is suspected now and would not be used at once
        MockHttpServletResponse late = new MockHttpServletResponse();
        MockHttpServletRequest second = new MockHttpServletRequest("POST", "/job");
        second.setAsyncSupported(true);
        second.addHeader("X-Ms", "250");
        filter.doFilter(second, late, chain);
        nextAttempt();
        awaitCompletion(second);
        assertEquals(504, late.getStatus());
        balancer.targets(List.of());
        MockHttpServletResponse refused = new MockHttpServletResponse();
        MockHttpServletRequest third = new MockHttpServletRequest("POST", "/job");
        third.setAsyncSupported(true);
        third.addHeader("X-Ms", "250");
        new BalancerFilter<>(
                        balancer,
                        new Routes(),
                        new BalancerFilter.Statuses(429, 500, 500, 413),
                        10,
                        Duration.ofSeconds(5))
                .doFilter(third, refused, chain);
        awaitCompletion(third);
        assertEquals(429, refused.getStatus(), "as configured");
        assertEquals("2", refused.getHeader("Retry-After"), "whole seconds, rounded up");
        assertThrows(IllegalArgumentException.class, () -> new BalancerFilter.Statuses(200, 502, 504, 413));
    }

    /** The container's timeout fires first: there is one answer, the job is given up and its late result is dropped. */
    @Test
    void containerTimeoutBeforeTheOutcomeGivesOneAnswer() throws Exception {
        MockHttpServletRequest request = post("/job", 1, null);
        PendingAttempt pending = nextAttempt();
        MockAsyncContext context = (MockAsyncContext) request.getAsyncContext();
        for (var listener : List.copyOf(context.getListeners())) {
            listener.onTimeout(new AsyncEvent(context));
        }
        assertEquals(504, response.getStatus());
        String answer = response.getContentAsString();
        pending.answer.complete("late");
        for (int i = 0; i < 4000 && !pending.attempt.cancelled(); i++) {
            Thread.sleep(5);
        }
        assertTrue(pending.attempt.cancelled(), "the attempt was not cancelled");
        assertEquals(answer, response.getContentAsString());
        String figures = balancer.figures().get(20, TimeUnit.SECONDS);
        assertTrue(figures.contains("\"left\":1,"), figures);
        assertTrue(figures.contains("\"answered\":0,"), figures);
    }

    @Test
    void balancerClosesWithARequestInFlight() throws Exception {
        MockHttpServletRequest request = post("/job", 1, null);
        nextAttempt();
        assertFalse(balancer.close(Duration.ofMillis(50)));
        awaitCompletion(request);
        assertEquals(502, response.getStatus(), "the job may have run");
        MockHttpServletResponse after = new MockHttpServletResponse();
        MockHttpServletRequest later = new MockHttpServletRequest("POST", "/job");
        later.setAsyncSupported(true);
        filter.doFilter(later, after, chain);
        awaitCompletion(later);
        assertEquals(503, after.getStatus(), "no job is accepted after close");
    }
}
