package beechseam.spring;

import beechseam.library.Balancer;
import beechseam.library.NeverRanException;
import beechseam.library.Outcome;
import beechseam.library.Sender;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import org.springframework.http.HttpHeaders;
import org.springframework.http.HttpRequest;
import org.springframework.http.HttpStatus;
import org.springframework.http.HttpStatusCode;
import org.springframework.http.client.ClientHttpRequestExecution;
import org.springframework.http.client.ClientHttpRequestInterceptor;
import org.springframework.http.client.ClientHttpResponse;
import org.springframework.http.client.support.HttpRequestWrapper;

/**
 * Interceptor that balances the calls of a RestClient or RestTemplate. A request that the routing maps to a job
 * type goes to the target that the balancer chooses: the address of the target replaces the host and port of the
 * URI. The calling thread blocks as in a plain call; attempts run on the balancer's executor. A refused job
 * becomes a 503 response with Retry-After, a failed job a 502 and a late one a 504. These responses do not come
 * from a target and are marked with the header {@code X-Balancer}.
 *
 * <p>The response of a target is returned whatever its status, except 503 with {@code X-Unprocessed: 1}, by which
 * the target states that it has not begun the job.
 */
public final class BalancedCalls implements ClientHttpRequestInterceptor {
    /** An intercepted call: the payload of the balancer's jobs. */
    public record Call(HttpRequest request, byte[] body, ClientHttpRequestExecution execution) {}

    private final Balancer<Call, ClientHttpResponse> balancer;
    private final Function<HttpRequest, String> routing;

    /**
     * Creates an interceptor.
     *
     * @param balancer a balancer that was built with {@link #sender}
     * @param routing  returns the job type of a request, or null to execute the request unchanged
     */
    public BalancedCalls(Balancer<Call, ClientHttpResponse> balancer, Function<HttpRequest, String> routing) {
        this.balancer = Objects.requireNonNull(balancer, "balancer");
        this.routing = Objects.requireNonNull(routing, "routing");
    }

    /** Returns the sender for the balancer; the id of each target is its address, {@code host:port}. */
    public static Sender<Call, ClientHttpResponse> sender() {
        return BalancedCalls::send;
    }

    private static CompletionStage<ClientHttpResponse> send(Sender.Attempt<Call> attempt) throws Exception {
        Call call = attempt.job();
        URI targetUri = withAddress(call.request().getURI(), attempt.target().id());
        ClientHttpResponse response;
        try {
            response = call.execution()
                    .execute(
                            new HttpRequestWrapper(call.request()) {
                                @Override
                                public URI getURI() {
                                    return targetUri;
                                }
                            },
                            call.body());
        } catch (ConnectException e) { // no part of the request was sent
            throw new NeverRanException(NeverRanException.Reason.UNREACHABLE, "no connection to " + targetUri, e);
        }
        boolean unprocessed = "1".equals(response.getHeaders().getFirst("X-Unprocessed"));
        if (unprocessed && response.getStatusCode().value() == HttpStatus.SERVICE_UNAVAILABLE.value()) {
            response.close();
            throw new NeverRanException(
                    NeverRanException.Reason.FULL, attempt.target().id() + " answered that it is full");
        }
        if (attempt.cancelled()) { // the caller no longer reads the response
            response.close();
        }
        return CompletableFuture.completedFuture(response);
    }

    static URI withAddress(URI uri, String address) throws URISyntaxException {
        int colon = address.lastIndexOf(':');
        String host = colon < 0 ? address : address.substring(0, colon);
        int port = colon < 0 ? -1 : Integer.parseInt(address.substring(colon + 1));
        return new URI(
                uri.getScheme(), uri.getUserInfo(), host, port, uri.getPath(), uri.getQuery(), uri.getFragment());
    }

    @Override
    public ClientHttpResponse intercept(HttpRequest request, byte[] body, ClientHttpRequestExecution execution)
            throws IOException {
        String type = routing.apply(request);
        if (type == null) {
            return execution.execute(request, body);
        }
        CompletableFuture<Outcome<ClientHttpResponse>> future =
                balancer.dispatch(type, new Call(request, body, execution));
        Outcome<ClientHttpResponse> outcome;
        try {
            outcome = future.get();
        } catch (InterruptedException e) {
            future.cancel(true);
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the outcome of a balanced call", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        }
        if (outcome instanceof Outcome.Served<ClientHttpResponse> served) {
            return served.value();
        }
        if (outcome instanceof Outcome.Refused<ClientHttpResponse> refused) {
            return new BalancerResponse(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    refused.why(),
                    refused.retryAfter()
                            .map(pause ->
                                    Math.max(1, pause.plusNanos(999_999_999L).toSeconds())));
        }
        Outcome.Failed<ClientHttpResponse> failed = (Outcome.Failed<ClientHttpResponse>) outcome;
        return new BalancerResponse(
                failed.late() ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY, failed.why(), Optional.empty());
    }

    /** A response that the balancer gives without a target. */
    private static final class BalancerResponse implements ClientHttpResponse {
        private final HttpStatus status;
        private final byte[] body;
        private final HttpHeaders headers = new HttpHeaders();

        BalancerResponse(HttpStatus status, String why, Optional<Long> retryAfter) {
            this.status = status;
            body = (why + "\n").getBytes(StandardCharsets.UTF_8);
            headers.set("X-Balancer", "1");
            headers.setContentLength(body.length);
            retryAfter.ifPresent(seconds -> headers.set(HttpHeaders.RETRY_AFTER, seconds.toString()));
        }

        @Override
        public HttpStatusCode getStatusCode() {
            return status;
        }

        @Override
        public String getStatusText() {
            return status.getReasonPhrase();
        }

        @Override
        public HttpHeaders getHeaders() {
            return headers;
        }

        @Override
        public InputStream getBody() {
            return new ByteArrayInputStream(body);
        }

        @Override
        public void close() {
            // no resources to release
        }
    }
}
