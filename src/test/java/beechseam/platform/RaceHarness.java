package beechseam.platform;

import beechseam.Loopback.Peer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A node and two executors for tests that force the order of events across connections. */
abstract class RaceHarness extends NodeHarness {
    static final long TARGET = 0x0badcafeL;
    static final int CONNECTIONS = 6; // limit per executor that follows from the harness's 128 sockets

    final List<Peer> otherExecutor = new ArrayList<>();
    final InetSocketAddress otherAddress = net.listen(otherExecutor);
    PlatformNode node;

    void startNode(String settings) {
        node = newNode(settings);
    }

    /** Starts a node whose list names the usual executor, and also the other one if {@code two}. */
    void startListed(String settings, boolean two) {
        startNode(settings);
        awaitDiscoveryCall(0, "");
        discovery
                .get(0)
                .send(answer(
                        "200 OK",
                        list(2, row("SERVING") + (two ? "," + row("SERVING", "s-0000beef", otherAddress) : ""))));
        net.until("the list", () -> node.isSynced());
    }

    void awaitDiscoveryCall(int connection, String expectedText) {
        net.until(
                "a call to discovery",
                () -> discovery.size() > connection
                        && discovery.get(connection).receivedText().contains(expectedText)
                        && discovery.get(connection).receivedText().endsWith("\r\n\r\n"));
    }

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }

    static String job(String id, String jobClass) {
        return job(id, jobClass, 4);
    }

    /** Returns a job with a body of at least four bytes. */
    static String job(String id, String jobClass, int bodyBytes) {
        String body = bodyBytes == 4 ? "body" : "b".repeat(bodyBytes - 8) + "\r\n\r\nbody";
        return "POST /" + jobClass + "/x HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + jobClass
                + "\r\nX-Time-Left: 30000m\r\nIdempotency-Key: k1\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + body;
    }

    /** Returns a client whose connection the node has accepted. */
    Peer connectedClient() {
        Peer peer = client().send("GET /_health HTTP/1.1\r\n\r\n");
        net.until("the health response", () -> peer.receivedText().endsWith("y\n"));
        peer.take();
        return peer;
    }

    long requestsWritten() {
        return node.counters.of(0).written + node.counters.of(1).written + node.counters.of(2).written;
    }
}
