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

/** Test fixture with stand-ins on loopback for a node's peers: discovery, an executor, clients and operators. */
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

    /** The member of the configuration that makes the node listen on an ephemeral port. */
    static final String LISTEN = "\"listen\":\"127.0.0.1:0\",";

    static final String EXECUTOR_ID = "s-0badcafe";

    final Loopback net = newLoopback();
    final List<Peer> discovery = new ArrayList<>();
    final List<Peer> executor = new ArrayList<>();
    final InetSocketAddress executorAt = net.listen(executor);
    final InetSocketAddress discoveryAt = net.listen(discovery);

    /** Creates the fixture of the sockets; called once, before the fields of subclasses are set. */
    Loopback newLoopback() {
        return new Loopback();
    }

    /** The address that clients and executors connect to. */
    abstract InetSocketAddress address() throws IOException;

    NodeConfig config(InetSocketAddress discoveryAt, String members) throws IOException, ConfigException {
        return config(discoveryAt, members, SETTINGS);
    }

    NodeConfig config(InetSocketAddress discoveryAt, String members, String settings)
            throws IOException, ConfigException {
        byte[] text = ("{\"name\":\"n\"," + members + "\"discovery\":\"127.0.0.1:"
                        + discoveryAt.getPort() + "\",\"console\":\"127.0.0.1:0\",\"seed\":\"1f\","
                        + "\"limits\":{\"sockets\":128},\"known\":"
                        + list(1, row("SERVING")) + ",\"settings\":" + settings + "}")
                .getBytes(StandardCharsets.UTF_8);
        return NodeConfig.of(new ConfigNode("", (Map<?, ?>) Json.parse(text, 0, text.length)));
    }

    /** Starts a node on an ephemeral port, without checked exceptions. */
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

    /** Returns the entry of the default executor in discovery's list. */
    String row(String state) {
        return "{\"id\":\"s-0badcafe\",\"addr\":\"127.0.0.1:" + executorAt.getPort()
                + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":3,\"state\":\"" + state + "\",\"started_ms\":0}";
    }

    /** Returns the entry of another executor than the default one. */
    String row(String state, String id, InetSocketAddress at) {
        return row(state).replace(EXECUTOR_ID, id).replace(":" + executorAt.getPort(), ":" + at.getPort());
    }

    /** Returns a full list of discovery with these entries. */
    static String list(int version, String rows) {
        return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + rows + "]}";
    }

    /** Returns an HTTP response without further headers. */
    static String answer(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Opens a connection to the node. */
    Peer client() {
        try {
            return net.connect(address());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a job on a new connection and returns that connection. */
    Peer sendJob(String id, String jobClass, String timeLeft) {
        return client().send("POST /" + jobClass + "/x?key=7 HTTP/1.1\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: " + jobClass + "\r\nX-Time-Left: " + timeLeft
                + "\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody");
    }

    /** Waits until the connection to an executor may be reused, which is only some time after a response. */
    void awaitConnectionReusable() {
        net.settle(25);
    }

    /** Answers the node's first call to discovery, so that it sends attempts, and waits for its watch. */
    void answerFirstListRequest(PlatformNode node) {
        net.until("the list request", () -> discovery.stream().anyMatch(NodeHarness::isListRequest));
        Peer agent = discovery.stream()
                .filter(NodeHarness::isListRequest)
                .findFirst()
                .orElseThrow();
        agent.take();
        agent.send(answer("200 OK", list(2, row("SERVING"))));
        net.until("the watch", () -> node.isSynced() && agent.receivedText().endsWith("\r\n\r\n"));
        assertTrue(agent.receivedText().startsWith("GET /catalog/members?after=2&wait_ms="), agent.receivedText());
    }

    private static boolean isListRequest(Peer agent) {
        return agent.receivedText().startsWith("GET /catalog/members HTTP/1.1\r\n")
                && agent.receivedText().endsWith("\r\n\r\n");
    }

    /**
     * Returns a callback as it is sent on the wire.
     *
     * @param headers further header lines, each ended by CRLF
     * @param id the correlation id of the job
     * @param members the other members of the event
     */
    static String callback(String headers, String id, String members) {
        String event = "{\"id\":\"" + id + "\"," + members + "}";
        return "POST /v1/job-events HTTP/1.1\r\n" + headers + "Content-Length: " + event.length() + "\r\n\r\n" + event;
    }

    /** Posts an event on a new connection and waits until the node has acknowledged it. */
    void event(String id, String members) {
        Peer caller = client().send(callback("Connection: close\r\n", id, members));
        net.until("the 204 response to the event", () -> caller.receivedText().startsWith("HTTP/1.1 204"));
    }

    /** Posts the event that the default executor has finished a job. */
    void done(String id, String result) {
        event(
                id,
                "\"from\":\"s-0badcafe\",\"state\":\"done\",\"result\":\"" + result
                        + "\",\"load\":{\"x0\":3,\"inflight\":1}");
    }

    /** Waits until an attempt of the job has arrived on this connection to the executor and returns the connection. */
    Peer attempt(int connection, String id) {
        net.until(
                "the attempt of " + id,
                () -> executor.size() > connection
                        && executor.get(connection).receivedText().contains("X-Correlation-Id: " + id)
                        && requestReceived(connection));
        return executor.get(connection);
    }

    /** Waits until ten attempts were decided and each of the six connections to the executor carries one. */
    void awaitAllConnectionsBusy(PlatformNode node) {
        net.until(
                "attempts on all connections",
                () -> node.counters.attemptsSent == 10
                        && executor.size() == 6
                        && executor.stream()
                                .allMatch(each -> each.receivedText().endsWith("body")));
    }

    /** Whether the last request on this connection to the executor has arrived in full. */
    boolean requestReceived(int connection) {
        return executor.get(connection).receivedText().endsWith("\r\n\r\nbody");
    }

    /** Waits until the input of a connection ends with this text; removes and returns the input. */
    String awaitResponse(Peer peer, String end) {
        net.until("a response", () -> peer.receivedText().endsWith(end));
        return peer.take();
    }

    /** Sends a call to an admin endpoint and returns its answer. */
    String callAdmin(InetSocketAddress console, String call) {
        Peer peer = net.connect(console).send(call + "\n");
        net.until("the answer to " + call, () -> peer.disconnected);
        return peer.receivedText();
    }
}
