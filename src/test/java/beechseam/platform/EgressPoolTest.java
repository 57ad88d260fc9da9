package beechseam.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beechseam.Loopback;
import beechseam.Loopback.Peer;
import beechseam.http.HttpParser;
import beechseam.http.HttpWriter;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The pool's bounds on connections, and how freed capacity reaches the exchanges that wait for it. */
class EgressPoolTest {
    private static final long CONNECT_TIMEOUT_NS = 250_000_000L;

    private final Loopback net = new Loopback();
    private final EgressPool pool = new EgressPool(net.loop, CONNECT_TIMEOUT_NS, 60_000_000_000L);
    private final List<List<Peer>> executors = new ArrayList<>();

    private static final class RecordedExchange extends Exchange {
        private boolean responded;
        private boolean failed;

        @Override
        boolean tryBegin() {
            return true;
        }

        @Override
        ByteBuffer encodeRequest() {
            return HttpWriter.request("GET", "/_load", "x", "", Wire.EMPTY_BODY);
        }

        @Override
        void responseReceived(HttpParser response) {
            responded = true;
        }

        @Override
        void failed(boolean neverRan) {
            failed = true;
        }
    }

    @AfterEach
    void close() {
        pool.close();
        net.close();
    }

    private void addExecutor() {
        List<Peer> peers = new ArrayList<>();
        InetSocketAddress address = net.listen(peers);
        pool.put(executors.size(), "x", address);
        executors.add(peers);
    }

    private RecordedExchange send(int executor) {
        RecordedExchange exchange = new RecordedExchange();
        pool.send(pool.target(executor), exchange);
        return exchange;
    }

    private Peer awaitRequest(int executor, int connection) {
        List<Peer> peers = executors.get(executor);
        net.until(
                "a request",
                () -> peers.size() > connection
                        && peers.get(connection).receivedText().endsWith("\r\n\r\n"));
        return peers.get(connection);
    }

    /** All connections go to the first executor: the second one's exchange is sent when one of them is freed. */
    @Test
    void connectionFreedAtOneTargetServesQueueOfAnother() {
        pool.setLimits(2, 2);
        addExecutor();
        addExecutor();
        RecordedExchange first = send(0);
        RecordedExchange second = send(0);
        RecordedExchange other = send(1);
        awaitRequest(0, 1);
        net.settle(50);
        assertTrue(executors.get(1).isEmpty(), "all connections are in use");
        awaitRequest(0, 0).send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        net.until("the first response", () -> first.responded);
        awaitRequest(1, 0).send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        net.until("the other executor's response", () -> other.responded);
        assertEquals(2, pool.openConnections());
        assertTrue(!second.responded && !second.failed);
    }

    /** A lost connection frees capacity too, and each of several waiting exchanges is sent in turn. */
    @Test
    void connectionLostAtOneTargetFreesCapacityForOthers() {
        pool.setLimits(1, 1);
        for (int i = 0; i < 5; i++) {
            addExecutor();
        }
        RecordedExchange lost = send(0);
        List<RecordedExchange> waiting = new ArrayList<>();
        for (int i = 1; i < 5; i++) {
            waiting.add(send(i));
        }
        awaitRequest(0, 0).close();
        for (int i = 1; i < 5; i++) {
            RecordedExchange exchange = waiting.get(i - 1);
            awaitRequest(i, 0).send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            net.until("response " + i, () -> exchange.responded);
        }
        assertTrue(lost.failed);
        assertEquals(1, pool.openConnections());
    }
}
