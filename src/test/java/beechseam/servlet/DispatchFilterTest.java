package beechseam.servlet;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Dispatching.*;
import beechseam.core.Counters;
import beechseam.core.Egress;
import beechseam.core.Engine;
import beechseam.core.Hop;
import beechseam.net.TimerQueue;
import jakarta.servlet.AsyncEvent;
import jakarta.servlet.http.HttpServletRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.springframework.mock.web.MockAsyncContext;
import org.springframework.mock.web.MockFilterChain;
import org.springframework.mock.web.MockHttpServletRequest;
import org.springframework.mock.web.MockHttpServletResponse;

/** The filter on Spring's mocks, the core's thread played by a queue that the test empties. */
class DispatchFilterTest {
    private static final long S = 1_000_000_000L;

    private final ArrayDeque<Runnable> posted = new ArrayDeque<>();
    private final List<Hop> hops = new ArrayList<>();
    private final TimerQueue timers = new TimerQueue();
    private final Counters counters = new Counters();
    private long now = 1_700_000_000L * S;
    private final Engine engine = new Engine(new Settings(
        List.of(new JobClass("job", S, 4 * S, 2, 1, 0, Effect.UNSAFE, Group.ALL, 0, null)),
        new Limits(2, 1_500_000_000L, true, true, false, false, 0), new Rules(S, S, 1, 0, 1, 0, false),
        Reports.NONE, false, 1, 0, "z", false, 0, 0, 0, 0, false), 1, () -> now, timers, new Egress() {
            @Override
            public void send(Hop hop) {
                hop.begun();
                hops.add(hop);
            }

            @Override
            public void cancel(Hop hop) {
                hops.remove(hop);
            }

            @Override
            public void probe(long target) {
                engine.probed(target, false, null);
            }
        }, counters);
    private final DispatchFilter filter = new DispatchFilter(posted::add, engine, new Jobs());

    private static final class Jobs implements DispatchFilter.Routing {
        @Override
        public int jobClass(HttpServletRequest request) {
            return request.getRequestURI().startsWith("/job") ? 0 : -1;
        }

        @Override
        public long budgetNs(HttpServletRequest request, int jobClass) {
            return 4 * S;
        }

        @Override
        public Object message(HttpServletRequest request, byte[] body) {
            return request.getRequestURI() + " " + new String(body);
        }
    }

    private final MockHttpServletResponse response = new MockHttpServletResponse();
    private final MockFilterChain chain = new MockFilterChain();

    private MockHttpServletRequest post(String path, int size) throws Exception {
        MockHttpServletRequest request = new MockHttpServletRequest("POST", path);
        request.setAsyncSupported(true);
        request.setContent("x".repeat(size).getBytes());
        filter.doFilter(request, response, chain);
        return request;
    }

    private void work() {
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            task.run();
        }
    }

    private void workers() {
        engine.routes(ListForm.FULL, List.of(new Worker(1, 0, "z", "k", 0, State.READY)));
    }

    @Test
    void aJobIsAnsweredAsynchronously() throws Exception {
        workers();
        MockHttpServletRequest request = post("/job", 3);
        assertTrue(request.isAsyncStarted());
        assertNull(chain.getRequest(), "it does not go on along the chain");
        assertTrue(hops.isEmpty(), "the core is not touched on a container's thread");
        work();
        assertEquals("/job xxx", hops.get(0).request.message);
        engine.ended(hops.get(0), Outcome.SERVED, "done".getBytes(), null);
        assertEquals(200, response.getStatus());
        assertEquals("done", response.getContentAsString());
        assertEquals(1, counters.served());
    }

    @Test
    void aShedTellsWhenToComeBack() throws Exception {
        post("/job", 1);
        work();
        for (long end = now + 4 * S; now < end;) {
            now += 10_000_000L;
            for (var t = timers.due(now); t != null; t = timers.due(now)) {
                t.run();
            }
        }
        assertEquals(503, response.getStatus());
        assertEquals("2", response.getHeader("Retry-After"));
    }

    @Test
    void aFailedJobIsABadGateway() throws Exception {
        workers();
        post("/job", 1);
        work();
        engine.ended(hops.get(0), Outcome.LOST, null, null);
        assertEquals(502, response.getStatus());
        assertNull(response.getHeader("Retry-After"));
    }

    @Test
    void otherRequestsPassAndOversizeBodiesAreRefused() throws Exception {
        post("/job", 64 * 1024 + 1);
        assertEquals(413, response.getStatus());
        assertNull(chain.getRequest());
        post("/page", 1);
        assertNotNull(chain.getRequest());
        assertTrue(posted.isEmpty());
    }

    /** The container's time-out and the core's answer may cross: whichever is first is the only one. */
    @Test
    void whatTheContainerEndsIsLeft() throws Exception {
        workers();
        MockHttpServletRequest request = post("/job", 1);
        work();
        MockAsyncContext context = (MockAsyncContext) request.getAsyncContext();
        context.getListeners().get(0).onTimeout(new AsyncEvent(context));
        work();
        assertEquals(1, counters.left);
        assertEquals(0, engine.open());
        assertTrue(hops.isEmpty(), "the hop is given up");
    }
}
