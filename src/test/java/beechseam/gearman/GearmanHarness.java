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

/** A job server by an operator's file, with stand-in clients and workers on loopback. */
final class GearmanHarness implements AutoCloseable {
    final Loopback net = new Loopback();
    final GearmanServer server;
    final List<StandIn> all = new ArrayList<>();

    GearmanHarness(String file) {
        try {
            byte[] text = file.getBytes(StandardCharsets.UTF_8);
            ConfigNode tree = new ConfigNode("", (Map<?, ?>) Json.parse(text, 0, text.length));
            server = new GearmanServer(net.loop, GearmanConfig.of(tree), 7);
        } catch (IOException | ConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    StandIn peer() {
        return new StandIn();
    }

    void drop(StandIn s) {
        s.peer.close();
        all.remove(s);
    }

    /** What the server says to an admin line. */
    String admin(String line) {
        StandIn s = peer();
        s.peer.send(line + "\n");
        net.until(line, () -> {
            String heard = s.peer.receivedText();
            return heard.endsWith("\n.\n")
                    || heard.equals(".\n")
                    || heard.endsWith("\n") && heard.matches("(?s)(OK|ERR|\\{).*");
        });
        drop(s);
        return s.peer.receivedText();
    }

    @Override
    public void close() {
        server.stop(() -> {});
        net.close();
    }

    /** A client or worker: speaks packets, and keeps those that it hears. */
    final class StandIn {
        final Loopback.Peer peer;
        final Deque<String> heard = new ArrayDeque<>();
        private int echoes;

        StandIn() {
            try {
                peer = net.connect(server.address());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            all.add(this);
        }

        StandIn say(Packet kind, String... args) {
            peer.write(kind.request((Object[]) args));
            return this;
        }

        /** A worker that can do this and has gone to sleep. */
        StandIn can(String... functions) {
            for (String each : functions) {
                say(Packet.CAN_DO, each);
            }
            return say(Packet.GRAB_JOB).expect("NO_JOB").say(Packet.PRE_SLEEP);
        }

        /** All that the server had to say up to now has been heard. */
        StandIn sync() {
            if (!peer.closed()) {
                String mark = "mark" + ++echoes;
                say(Packet.ECHO_REQ, mark);
                net.until(mark, () -> {
                    read();
                    return heard.contains("ECHO_RES " + mark) || peer.disconnected;
                });
                heard.remove("ECHO_RES " + mark);
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
                heard.add((kind + " " + args).trim());
            }
            byte[] rest = new byte[in.remaining()];
            in.get(rest);
            peer.unread(new String(rest, StandardCharsets.ISO_8859_1));
        }

        /** Waits for the next packet; it must start so. Returns the rest of it. */
        StandIn expect(String start) {
            next(start);
            return this;
        }

        String next(String start) {
            net.until(start, () -> {
                read();
                return !heard.isEmpty();
            });
            String first = heard.poll();
            assertTrue(
                    first.startsWith(start),
                    () -> first.substring(0, Math.min(200, first.length())) + " in place of " + start);
            return first.substring(start.length()).trim();
        }

        /** Wakes, grabs and returns the handle of the job assigned. */
        String grab() {
            expect("NOOP").say(Packet.GRAB_JOB);
            return next("JOB_ASSIGN").split(" ")[0];
        }

        void nothing() {
            sync();
            assertTrue(heard.isEmpty(), "unexpected: " + heard);
        }
    }
}
