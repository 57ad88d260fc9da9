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

/** The pool's bounds on connections, and who gets what becomes free. */
class EgressPoolTest {
    private static final long CONNECT_TIMEOUT_NS = 250_000_000L;

    private final Loopback net = new Loopback();
    private final EgressPool pool = new EgressPool(net.loop, CONNECT_TIMEOUT_NS, 60_000_000_000L);
    private final List<List<Peer>> executors = new ArrayList<>();

    private static final class Call extends Exchange {
        private boolean answered;
        private boolean broken;

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
            answered = true;
        }

        @Override
        void failed(boolean neverRan) {
            broken = true;
        }
    }

    @AfterEach
    void close() {
        pool.close();
        net.close();
    }

    private void executor() {
        List<Peer> peers = new ArrayList<>();
        InetSocketAddress at = net.listen(peers);
        pool.put(executors.size(), "x", at);
        executors.add(peers);
    }

    private Call send(int executor) {
        Call call = new Call();
        pool.send(pool.target(executor), call);
        return call;
    }

    private Peer asked(int executor, int connection) {
        List<Peer> peers = executors.get(executor);
        net.until(
                "a request",
                () -> peers.size() > connection
                        && peers.get(connection).receivedText().endsWith("\r\n\r\n"));
        return peers.get(connection);
    }

    /** All connections are taken, none of them to the second executor: it gets the next that is free. */
    @Test
    void connectionFreedAtOneTargetServesQueueOfAnother() {
        pool.setLimits(2, 2);
        executor();
        executor();
        Call first = send(0);
        Call second = send(0);
        Call other = send(1);
        asked(0, 1);
        net.settle(50);
        assertTrue(executors.get(1).isEmpty(), "no room yet");
        asked(0, 0).send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        net.until("the answer", () -> first.answered);
        asked(1, 0).send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        net.until("the other's answer", () -> other.answered);
        assertEquals(2, pool.openConnections());
        assertTrue(!second.answered && !second.broken);
    }

    /** The same where the connection breaks, and where many wait. */
    @Test
    void connectionLostAtOneTargetFreesCapacityForOthers() {
        pool.setLimits(1, 1);
        for (int i = 0; i < 5; i++) {
            executor();
        }
        Call lost = send(0);
        List<Call> waiting = new ArrayList<>();
        for (int i = 1; i < 5; i++) {
            waiting.add(send(i));
        }
        asked(0, 0).close();
        for (int i = 1; i < 5; i++) {
            Call call = waiting.get(i - 1);
            asked(i, 0).send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            net.until("answer " + i, () -> call.answered);
        }
        assertTrue(lost.broken);
        assertEquals(1, pool.openConnections());
    }
}
