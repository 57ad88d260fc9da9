package beechseam.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beechseam.Loopback;
import beechseam.Loopback.Peer;
import beechseam.config.ConfigException;
import beechseam.config.ConfigNode;
import beechseam.config.Json;
import beechseam.config.NodeConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.lifecycle.AfterProperty;
import org.junit.jupiter.api.AfterEach;

/** Stand-ins on loopback for all that a node talks to. */
abstract class NodeHarness {
    static final String SETTINGS = """
        {"Classes":[
          {"Name":"safe","AimNs":100000000,"DeadlineNs":60000000000,"Effect":"read_like","Worth":1},
          {"Name":"once","AimNs":100000000,"DeadlineNs":60000000000,"Effect":"non_idempotent","Worth":1},
          {"Name":"keyed","AimNs":100000000,"DeadlineNs":60000000000,"Effect":"idempotency_key",
           "Group":"cell","WindowNs":30000000000,"Worth":1}],
         "Limits":{"MaxAttempts":4,"Cancel":true,"RetryAfter":true,"MaxRetryAfterNs":1500000000,
           "SecondCopies":false,"IdleCloseNs":60000000000,"ConnectTimeoutNs":250000000},
         "Rules":{"DrainGraceNs":300000000,"StartCapacity":0.3,"ColdNs":1000000000,"OverloadFactor":3,
           "OverloadForNs":1000000000},
         "LoadInfo":{"How":"piggyback","Columns":["x0","outstanding"]},"Locality":"a","GroupSize":1,
         "Specifics":{"ClassStretch":[10,10,10],"TellsStart":true,"ReportX0":"free slots"}}
        """;

    /** An ephemeral port for clients, as a member of the configuration. */
    static final String LISTEN = "\"listen\":\"127.0.0.1:0\",";

    static final String EXECUTOR_ID = "s-0badcafe";

    final Loopback net = new Loopback();
    final List<Peer> discovery = new ArrayList<>();
    final List<Peer> executor = new ArrayList<>();
    final InetSocketAddress executorAt = net.standIn(executor);
    final InetSocketAddress discoveryAt = net.standIn(discovery);

    /** Where clients and executors find the node. */
    abstract InetSocketAddress address() throws IOException;

    NodeConfig config(InetSocketAddress discoveryAt, String more) throws IOException, ConfigException {
        return config(discoveryAt, more, SETTINGS);
    }

    NodeConfig config(InetSocketAddress discoveryAt, String more, String settings) throws IOException, ConfigException {
        byte[] text = ("{\"name\":\"n\"," + more + "\"discovery\":\"127.0.0.1:"
                        + discoveryAt.getPort() + "\",\"console\":\"127.0.0.1:0\",\"seed\":\"1f\","
                        + "\"limits\":{\"sockets\":128},\"known\":"
                        + list(1, row("SERVING")) + ",\"settings\":" + settings + "}")
                .getBytes(StandardCharsets.UTF_8);
        return NodeConfig.of(new ConfigNode("", (Map<?, ?>) Json.parse(text, 0, text.length)));
    }

    /** A node that listens on any port; for constructors and helpers that throw nothing checked. */
    PlatformNode newNode(String settings) {
        try {
            return new PlatformNode(net.loop, config(discoveryAt, LISTEN, settings));
        } catch (IOException | ConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    @AfterEach
    @AfterProperty
    void close() {
        net.close();
    }

    String row(String state) {
        return "{\"id\":\"s-0badcafe\",\"addr\":\"127.0.0.1:" + executorAt.getPort()
                + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":3,\"state\":\"" + state + "\",\"started_ms\":0}";
    }

    /** The entry of another executor than the usual one. */
    String row(String state, String id, InetSocketAddress at) {
        return row(state).replace(EXECUTOR_ID, id).replace(":" + executorAt.getPort(), ":" + at.getPort());
    }

    static String list(int version, String rows) {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + rows + "]}";
    }

    static String answer(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    Peer client() {
        try {
            return net.dial(address());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    Peer sendJob(String id, String jobClass, String left) {
        return client().say("POST /" + jobClass + "/x?key=7 HTTP/1.1\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: " + jobClass + "\r\nX-Time-Left: " + left
                + "\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody");
    }

    /** A connection to an executor rests after an answer, before the next request may go out on it. */
    void awaitConnectionReusable() {
        net.settle(25);
    }

    /** The node's first call to discovery is answered, so that it sends, and its watch is open. */
    void answerFirstListRequest(PlatformNode node) {
        net.until("the list's request", () -> discovery.stream().anyMatch(NodeHarness::asksForTheList));
        Peer agent = discovery.stream()
                .filter(NodeHarness::asksForTheList)
                .findFirst()
                .orElseThrow();
        agent.take();
        agent.say(answer("200 OK", list(2, row("SERVING"))));
        net.until("the watch", () -> node.isSynced() && agent.heard().endsWith("\r\n\r\n"));
        assertTrue(agent.heard().startsWith("GET /catalog/members?after=2&wait_ms="), agent.heard());
    }

    private static boolean asksForTheList(Peer agent) {
        return agent.heard().startsWith("GET /catalog/members HTTP/1.1\r\n")
                && agent.heard().endsWith("\r\n\r\n");
    }

    /** A call-back as bytes on the wire: further headers, each ended by CRLF, the job, and the event's members. */
    static String callback(String headers, String id, String members) {
        String event = "{\"id\":\"" + id + "\"," + members + "}";
        return "POST /v1/job-events HTTP/1.1\r\n" + headers + "Content-Length: " + event.length() + "\r\n\r\n" + event;
    }

    void event(String id, String rest) {
        Peer caller = client().say(callback("Connection: close\r\n", id, rest));
        net.until("the event's 204", () -> caller.heard().startsWith("HTTP/1.1 204"));
    }

    void done(String id, String result) {
        event(
                id,
                "\"from\":\"s-0badcafe\",\"state\":\"done\",\"result\":\"" + result
                        + "\",\"load\":{\"x0\":3,\"inflight\":1}");
    }

    Peer attempt(int connection, String id) {
        net.until(
                "the hop of " + id,
                () -> executor.size() > connection
                        && executor.get(connection).heard().contains("X-Correlation-Id: " + id)
                        && requestReceived(connection));
        return executor.get(connection);
    }

    /** Waits until ten attempts have begun and each of the six connections to the executor carries one. */
    void awaitAllConnectionsBusy(PlatformNode node) {
        net.until(
                "attempts on all connections",
                () -> node.counters.attemptsSent == 10
                        && executor.size() == 6
                        && executor.stream().allMatch(each -> each.heard().endsWith("body")));
    }

    boolean requestReceived(int connection) {
        return executor.get(connection).heard().endsWith("\r\n\r\nbody");
    }

    String awaitResponse(Peer peer, String end) {
        net.until("an answer", () -> peer.heard().endsWith(end));
        return peer.take();
    }

    String callAdmin(InetSocketAddress console, String call) {
        Peer peer = net.dial(console).say(call + "\n");
        net.until("the answer to " + call, () -> peer.gone);
        return peer.heard();
    }
}
