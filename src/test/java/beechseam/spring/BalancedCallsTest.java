package beechseam.spring;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.library.Balancer;
import beechseam.library.JobType;
import beechseam.library.Target;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.springframework.http.HttpMethod;
import org.springframework.http.HttpStatus;
import org.springframework.http.client.ClientHttpRequestExecution;
import org.springframework.http.client.ClientHttpResponse;
import org.springframework.mock.http.client.MockClientHttpRequest;
import org.springframework.mock.http.client.MockClientHttpResponse;

/** Tests the balancing of HTTP calls, with the responses of targets simulated by the test. */
class BalancedCallsTest {
    private final List<String> called = Collections.synchronizedList(new ArrayList<>());
    private final Balancer<BalancedCalls.Call, ClientHttpResponse> balancer = Balancer.builder(BalancedCalls.sender())
            .type(JobType.of("read", Duration.ofSeconds(20)).idempotent())
            .type(JobType.of("once", Duration.ofSeconds(20)))
            .type(JobType.of("short", Duration.ofMillis(300)))
            .targets(List.of(Target.of("10.0.0.1:8080"), Target.of("10.0.0.2:8080")))
            .build();
    private final BalancedCalls calls = new BalancedCalls(
            balancer,
            request -> request.getURI().getHost().equals("lender")
                    ? request.getURI().getPath().substring(1)
                    : null);

    @AfterEach
    void close() {
        balancer.close(Duration.ZERO);
    }

    private ClientHttpResponse call(String uri, ClientHttpRequestExecution simulatedTarget) throws Exception {
        return calls.intercept(
                new MockClientHttpRequest(HttpMethod.POST, URI.create(uri)), new byte[] {1}, (request, body) -> {
                    called.add(request.getURI().toString());
                    return simulatedTarget.execute(request, body);
                });
    }

    private static MockClientHttpResponse answer(HttpStatus status) {
        return new MockClientHttpResponse("fine".getBytes(), status);
    }

    @Test
    void callGoesToATargetAndOtherCallsPass() throws Exception {
        ClientHttpResponse r = call("http://lender/read?a=b%20c", (request, body) -> answer(HttpStatus.NOT_FOUND));
        assertEquals(404, r.getStatusCode().value(), "a target's answer, whatever its status");
        assertTrue(called.get(0).matches("http://10\\.0\\.0\\.[12]:8080/read\\?a=b%20c"), called.get(0));
        call("http://elsewhere/x", (request, body) -> answer(HttpStatus.OK));
        assertEquals("http://elsewhere/x", called.get(1));
    }

    @Test
    void callThatNeverRanIsRetriedElsewhere() throws Exception {
        ClientHttpResponse r = call("http://lender/once", (request, body) -> {
            if (called.size() == 1) {
                throw new ConnectException("refused");
            }
            return answer(HttpStatus.OK);
        });
        assertEquals(200, r.getStatusCode().value());
        assertEquals(2, called.size());
        assertNotEquals(called.get(0), called.get(1));
        called.clear();
        r = call("http://lender/once", (request, body) -> {
            MockClientHttpResponse full = answer(HttpStatus.SERVICE_UNAVAILABLE);
            full.getHeaders().set("X-Unprocessed", "1");
            return called.size() == 1 ? full : answer(HttpStatus.OK);
        });
        assertEquals(200, r.getStatusCode().value());
    }

    @Test
    void callThatMayHaveRunIsRetriedOnlyIfIdempotent() throws Exception {
        ClientHttpResponse r = call("http://lender/once", (request, body) -> {
            throw new java.io.IOException("reset");
        });
        assertEquals(502, r.getStatusCode().value());
        assertEquals("1", r.getHeaders().getFirst("X-Balancer"));
        assertEquals(1, called.size());
        called.clear();
        r = call("http://lender/read", (request, body) -> {
            if (called.size() == 1) {
                throw new java.io.IOException("reset");
            }
            return answer(HttpStatus.OK);
        });
        assertEquals(200, r.getStatusCode().value());
        assertEquals(2, called.size());
    }

    @Test
    void refusalCarriesRetryAfter() throws Exception {
        balancer.targets(List.of());
        ClientHttpResponse r = call("http://lender/short", (request, body) -> answer(HttpStatus.OK));
        assertEquals(503, r.getStatusCode().value());
        assertEquals("1", r.getHeaders().getFirst("Retry-After"));
        assertTrue(called.isEmpty());
    }
}
