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
 * Balances the calls of a RestClient or RestTemplate: a request whose host the routing knows as a job type
 * goes to the target that the balancer chooses; its address takes the place of host and port. The calling
 * thread waits, as it would without; attempts run on the balancer's executor. Refused becomes an answer of
 * 503 with Retry-After, failed and late ones of 502 and 504; they never came from a target, and their header
 * {@code X-Balancer} says so.
 *
 * <p>An answer of a target is passed on whatever its status, but for 503 with {@code X-Unprocessed: 1}, by
 * which the target says that it has not begun.
 */
public final class BalancedCalls implements ClientHttpRequestInterceptor {
    /** A call on its way: what the balancer's jobs are. */
    public record Call(HttpRequest request, byte[] body, ClientHttpRequestExecution execution) {}

    private final Balancer<Call, ClientHttpResponse> balancer;
    private final Function<HttpRequest, String> routing;

    /**
     * @param balancer made with {@link #sender}
     * @param routing  the type of job that a request is, or null to let it pass as it is
     */
    public BalancedCalls(Balancer<Call, ClientHttpResponse> balancer, Function<HttpRequest, String> routing) {
        this.balancer = Objects.requireNonNull(balancer, "balancer");
        this.routing = Objects.requireNonNull(routing, "routing");
    }

    /** The sender for such a balancer; a target's id is its address, {@code host:port}. */
    public static Sender<Call, ClientHttpResponse> sender() {
        return BalancedCalls::send;
    }

    private static CompletionStage<ClientHttpResponse> send(Sender.Attempt<Call> attempt) throws Exception {
        Call call = attempt.job();
        URI to = at(call.request().getURI(), attempt.target().id());
        ClientHttpResponse response;
        try {
            response = call.execution()
                    .execute(
                            new HttpRequestWrapper(call.request()) {
                                @Override
                                public URI getURI() {
                                    return to;
                                }
                            },
                            call.body());
        } catch (ConnectException e) { // nothing has gone out
            throw new NeverRanException(NeverRanException.Reason.UNREACHABLE, "no connection to " + to, e);
        }
        boolean unprocessed = "1".equals(response.getHeaders().getFirst("X-Unprocessed"));
        if (unprocessed && response.getStatusCode().value() == HttpStatus.SERVICE_UNAVAILABLE.value()) {
            response.close();
            throw new NeverRanException(
                    NeverRanException.Reason.FULL, attempt.target().id() + " is full");
        }
        if (attempt.cancelled()) { // nobody will read it
            response.close();
        }
        return CompletableFuture.completedFuture(response);
    }

    static URI at(URI uri, String address) throws URISyntaxException {
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
            throw new IOException("interrupted while a balanced call was out", e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        }
        if (outcome instanceof Outcome.Served<ClientHttpResponse> served) {
            return served.value();
        }
        if (outcome instanceof Outcome.Refused<ClientHttpResponse> refused) {
            return new Answer(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    refused.why(),
                    refused.retryAfter()
                            .map(pause ->
                                    Math.max(1, pause.plusNanos(999_999_999L).toSeconds())));
        }
        Outcome.Failed<ClientHttpResponse> failed = (Outcome.Failed<ClientHttpResponse>) outcome;
        return new Answer(
                failed.late() ? HttpStatus.GATEWAY_TIMEOUT : HttpStatus.BAD_GATEWAY, failed.why(), Optional.empty());
    }

    /** One that no target gave. */
    private static final class Answer implements ClientHttpResponse {
        private final HttpStatus status;
        private final byte[] body;
        private final HttpHeaders headers = new HttpHeaders();

        Answer(HttpStatus status, String why, Optional<Long> retryAfter) {
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
            // nothing is held
        }
    }
}
