package beechseam.gearman;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.config.ConfigException;
import beechseam.config.ConfigNode;
import beechseam.config.GearmanConfig;
import beechseam.config.Json;
import beechseam.gearman.protocol.Packet;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

/** A job server that is configured by an operator's file, with test clients and workers on loopback. */
final class GearmanHarness implements AutoCloseable {
    final Loopback net = new Loopback();
    final GearmanServer server;
    final List<TestPeer> connectedPeers = new ArrayList<>();

    GearmanHarness(String file) {
        try {
            byte[] text = file.getBytes(StandardCharsets.UTF_8);
            ConfigNode tree = new ConfigNode("", (Map<?, ?>) Json.parse(text, 0, text.length));
            server = new GearmanServer(net.loop, GearmanConfig.of(tree), 7);
        } catch (IOException | ConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    TestPeer peer() {
        return new TestPeer();
    }

    void disconnect(TestPeer testPeer) {
        testPeer.peer.close();
        connectedPeers.remove(testPeer);
    }

    /** Sends an admin line on a connection of its own and returns the server's answer. */
    String admin(String line) {
        TestPeer operator = peer();
        operator.peer.send(line + "\n");
        net.until(line, () -> {
            String answer = operator.peer.receivedText();
            return answer.endsWith("\n.\n")
                    || answer.equals(".\n")
                    || answer.endsWith("\n") && answer.matches("(?s)(OK|ERR|\\{).*");
        });
        disconnect(operator);
        return operator.peer.receivedText();
    }

    @Override
    public void close() {
        server.stop(() -> {});
        net.close();
    }

    /** A client or worker that sends packets and records the packets that it receives. */
    final class TestPeer {
        final Loopback.Peer peer;
        final Deque<String> received = new ArrayDeque<>();
        private int echoCount;

        TestPeer() {
            try {
                peer = net.connect(server.address());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            connectedPeers.add(this);
        }

        TestPeer send(Packet kind, String... args) {
            peer.write(kind.request((Object[]) args));
            return this;
        }

        /** Registers the functions as a worker, finds no job, and sends PRE_SLEEP. */
        TestPeer registerAndSleep(String... functions) {
            for (String each : functions) {
                send(Packet.CAN_DO, each);
            }
            return send(Packet.GRAB_JOB).expect("NO_JOB").send(Packet.PRE_SLEEP);
        }

        /** Waits for an echo, and so until all packets that the server has sent before it are received. */
        TestPeer sync() {
            if (!peer.closed()) {
                String marker = "mark" + ++echoCount;
                send(Packet.ECHO_REQ, marker);
                net.until(marker, () -> {
                    read();
                    return received.contains("ECHO_RES " + marker) || peer.disconnected;
                });
                received.remove("ECHO_RES " + marker);
            }
            return this;
        }

        void read() {
            String bytes = peer.take();
            ByteBuffer in = ByteBuffer.wrap(bytes.getBytes(StandardCharsets.ISO_8859_1));
            while (in.remaining() >= Packet.HEADER && in.remaining() >= Packet.HEADER + in.getInt(in.position() + 8)) {
                assertEquals(Packet.RES, in.getInt());
                Packet kind = Packet.of(in.getInt());
                byte[] body = new byte[in.getInt()];
                in.get(body);
                String args = new String(body, StandardCharsets.ISO_8859_1).replace('\0', ' ');
                received.add((kind + " " + args).trim());
            }
            byte[] incomplete = new byte[in.remaining()];
            in.get(incomplete);
            peer.unread(new String(incomplete, StandardCharsets.ISO_8859_1));
        }

        /** Waits for the next packet and checks that it starts with this text. */
        TestPeer expect(String start) {
            next(start);
            return this;
        }

        /** Waits for the next packet, checks that it starts with this text, and returns the rest of it. */
        String next(String start) {
            net.until(start, () -> {
                read();
                return !received.isEmpty();
            });
            String packet = received.poll();
            assertTrue(
                    packet.startsWith(start),
                    () -> packet.substring(0, Math.min(200, packet.length())) + " instead of " + start);
            return packet.substring(start.length()).trim();
        }

        /** Waits for NOOP, grabs, and returns the handle of the assigned job. */
        String grab() {
            expect("NOOP").send(Packet.GRAB_JOB);
            return next("JOB_ASSIGN").split(" ")[0];
        }

        /** Checks that the server has sent no further packet. */
        void expectNothing() {
            sync();
            assertTrue(received.isEmpty(), "unexpected packets: " + received);
        }
    }
}
