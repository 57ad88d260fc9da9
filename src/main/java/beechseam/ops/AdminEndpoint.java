package beechseam.ops;

import beechseam.core.Timer;
import beechseam.net.Connection;
import beechseam.net.EventLoop;
import beechseam.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The admin endpoint. Each connection carries one call, which is a line of words, gets one answer and is closed. The
 * number of open connections and the time of a call are limited, so that unfinished calls do not block other operators.
 *
 * <p>Not thread-safe: everything runs on the event loop.
 */
public final class AdminEndpoint {
    private static final List<String> CALL_NAMES =
            List.of("status", "stats", "maint-on", "maint-off", "standby", "active");
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_LINE_BYTES = 512;
    /** How long a connection may take to send its call, in nanoseconds. */
    private static final long CALL_TIMEOUT_NS = 10_000_000_000L;
    /** How long an answer may wait to be read, in nanoseconds. */
    private static final long ANSWER_TIMEOUT_NS = 1_000_000_000L;

    private final EventLoop loop;
    private final Operations operations;
    private final Listener listener;
    private final Set<CallConnection> connections = new LinkedHashSet<>();

    /**
     * Listens for calls.
     *
     * @param loop       the event loop on which calls are handled
     * @param address    the address to listen on; port 0 selects a free port
     * @param operations carries out the calls
     * @throws IOException if the address cannot be bound
     */
    public AdminEndpoint(EventLoop loop, SocketAddress address, Operations operations) throws IOException {
        this.loop = loop;
        this.operations = operations;
        listener = new Listener(loop, address, this::accept);
    }

    /** Returns the bound address, with the actual port. */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** Stops listening and closes all connections, answered or not. */
    public void close() {
        listener.close();
        Set.copyOf(connections).forEach(CallConnection::close);
    }

    /** Accepts a new connection in any case; at the limit it closes the oldest one first. */
    private void accept(SocketChannel channel) throws IOException {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().close();
        }
        connections.add(new CallConnection(channel));
    }

    /**
     * Carries out a call.
     *
     * @param operations carries out the call
     * @param line       the call, with or without its line end
     * @return the answer, with its line end
     */
    public static String answer(Operations operations, String line) {
        String[] words = line.strip().split("[ \t]+");
        int wordCount = words[0].startsWith("maint-") ? 2 : 1;
        if (CALL_NAMES.contains(words[0]) && words.length != wordCount) {
            return "ERR " + words[0] + " takes " + (wordCount == 1 ? "no further word\n" : "an executor's id\n");
        }
        return switch (words[0]) {
            case "status" -> result(operations.status());
            case "stats" -> operations.stats() + "END\n";
            case "maint-on" -> result(operations.maintenance(words[1], true));
            case "maint-off" -> result(operations.maintenance(words[1], false));
            case "standby" -> result(operations.standby(true));
            case "active" -> result(operations.standby(false));
            default -> "ERR unknown call; there are " + String.join(", ", CALL_NAMES) + "\n";
        };
    }

    private static String result(String reason) {
        return reason == null ? "OK\n" : "ERR " + reason + "\n";
    }

    /** The connection of one call. */
    private final class CallConnection extends Connection {
        private final Timer timeout = new Timer() {
            @Override
            protected void fire() {
                close();
            }
        };

        CallConnection(SocketChannel channel) throws IOException {
            super(AdminEndpoint.this.loop, channel, MAX_LINE_BYTES);
            loop.timers.set(timeout, loop.now() + CALL_TIMEOUT_NS);
        }

        @Override
        protected void received(ByteBuffer in) {
            for (int i = in.position(); i < in.limit() && i < MAX_LINE_BYTES; i++) {
                if (in.get(i) == '\n') {
                    byte[] line = new byte[i - in.position()];
                    in.get(line);
                    respond(answer(operations, new String(line, StandardCharsets.ISO_8859_1)));
                    in.position(in.limit()); // a connection carries one call
                    return;
                }
            }
            if (in.remaining() >= MAX_LINE_BYTES) {
                in.position(in.limit());
                respond("ERR the line is longer than " + MAX_LINE_BYTES + " bytes\n");
            }
        }

        private void respond(String answer) {
            loop.timers.set(timeout, loop.now() + ANSWER_TIMEOUT_NS);
            write(ByteBuffer.wrap(answer.getBytes(StandardCharsets.ISO_8859_1)));
            endWhenWritten();
        }

        @Override
        protected void lost(IOException cause) {
            // The caller has disconnected and needs no answer.
        }

        @Override
        protected void released() {
            loop.timers.cancel(timeout);
            connections.remove(this);
        }
    }
}
