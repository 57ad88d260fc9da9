package beechseam.ops;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.Loopback.Peer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterProperty;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the admin endpoint with operations that record the calls. */
class AdminEndpointTest {
    private final Loopback net = new Loopback();
    private final List<String> received = new ArrayList<>();
    private final AdminEndpoint endpoint = new AdminEndpoint(net.loop, Loopback.anyPort(), new Operations() {
        @Override
        public String status() {
            received.add("status");
            return "not yet";
        }

        @Override
        public String stats() {
            received.add("stats");
            return "svc.current=1\n";
        }

        @Override
        public String maintenance(String id, boolean out) {
            received.add((out ? "maint-on " : "maint-off ") + id);
            return null;
        }

        @Override
        public String standby(boolean on) {
            received.add(on ? "standby" : "active");
            return null;
        }
    });
    private final InetSocketAddress address = endpoint.address();

    AdminEndpointTest() throws IOException {}

    @AfterEach
    @AfterProperty
    void close() {
        endpoint.close();
        net.close();
    }

    private String call(String line) {
        Peer peer = net.connect(address).send(line);
        net.until("the close after " + line, () -> peer.disconnected);
        return peer.receivedText();
    }

    /** A call may be split anywhere, with either line end and a trailing blank; it gets one answer, then a close. */
    @Property(seed = "11", tries = 60)
    void callIsParsedHoweverItIsSegmented(@ForAll long seed) {
        Random random = new Random(seed);
        String[] calls = {
            "status",
            "standby",
            "active",
            "stats",
            "maint-on s-1",
            "maint-off s-1",
            "status now",
            "",
            "STATUS",
            "x".repeat(600),
            "\0\u00ff",
            "maint-on",
            "maint-off s-1 s-2"
        };
        int index = random.nextInt(calls.length);
        String line = calls[index]
                + (random.nextBoolean() ? " " : "")
                + (random.nextBoolean() ? "\r\n" : "\n")
                + (random.nextInt(4) == 0 ? "active\n" : "");
        Peer peer = net.connect(address);
        received.clear();
        for (int from = 0; from < line.length(); ) {
            int to = Math.min(line.length(), from + 1 + random.nextInt(random.nextBoolean() ? 3 : 600));
            peer.send(line.substring(from, to));
            from = to;
            net.settle(from < 20 && random.nextBoolean() ? 1 : 0);
        }
        net.until("the close", () -> peer.disconnected);
        String expected = index == 0 ? "ERR not yet\n" : index == 3 ? "svc.current=1\nEND\n" : "OK\n";
        assertEquals(expected, index < 6 ? peer.receivedText() : expected);
        assertTrue(index < 6 || peer.receivedText().matches("ERR [^\n]+\n"), peer.receivedText());
        assertEquals(
                index < 6 ? List.of(calls[index]) : List.of(), received, "exactly one call if it is valid, else none");
    }

    /** Guards against clients that never finish their call: new calls are still answered. */
    @Test
    void unfinishedCallsDoNotBlockNewOnes() {
        List<Peer> idle = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            idle.add(net.connect(address).send("sta"));
        }
        assertEquals("OK\n", call("active\n"));
        net.until("the close of the oldest connection", () -> idle.get(0).disconnected);
        assertFalse(idle.get(39).disconnected);
        idle.get(39).send("tus\n");
        net.until("the answer", () -> idle.get(39).receivedText().equals("ERR not yet\n"));
    }
}
