package beechseam.platform;

import beechseam.Loopback.Peer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A node and two executors for tests that force the order of events across connections. */
abstract class RaceHarness extends NodeHarness {
    static final long TARGET = 0x0badcafeL;
    static final int CONNECTIONS = 6; // to one executor, with the rig's 128 descriptors

    final List<Peer> other = new ArrayList<>();
    final InetSocketAddress otherAt = net.listen(other);
    PlatformNode node;

    void node(String settings) {
        node = newNode(settings);
    }

    /** A node that has been told of the usual executor, and with {@code two} of another one. */
    void startListed(String settings, boolean two) {
        node(settings);
        awaitDiscoveryCall(0, "");
        discovery
                .get(0)
                .send(answer(
                        "200 OK", list(2, row("SERVING") + (two ? "," + row("SERVING", "s-0000beef", otherAt) : ""))));
        net.until("the list", () -> node.isSynced());
    }

    void awaitDiscoveryCall(int line, String holds) {
        net.until(
                "a call to discovery",
                () -> discovery.size() > line
                        && discovery.get(line).receivedText().contains(holds)
                        && discovery.get(line).receivedText().endsWith("\r\n\r\n"));
    }

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }

    static String job(String id, String jobClass) {
        return "POST /" + jobClass + "/x HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + jobClass
                + "\r\nX-Time-Left: 30000m\r\nIdempotency-Key: k1\r\nContent-Length: 4\r\n\r\nbody";
    }

    /** A client that is connected, and that the node has accepted. */
    Peer connected() {
        Peer peer = client().send("GET /_health HTTP/1.1\r\n\r\n");
        net.until("the health", () -> peer.receivedText().endsWith("y\n"));
        peer.take();
        return peer;
    }

    long written() {
        return node.counters.of(0).written + node.counters.of(1).written + node.counters.of(2).written;
    }
}
