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

/** The door for operators: a connection brings one line, gets one answer and is closed. */
public final class AdminEndpoint {
    private static final List<String> CALLS = List.of("status", "stats", "maint-on", "maint-off", "standby", "active");
    private static final int MOST_CALLERS = 16;
    private static final int MOST_LINE = 512;
    /** A call comes whole in this time, and so long its answer may wait to be taken. */
    private static final long CALL_NS = 10_000_000_000L;

    private static final long END_NS = 1_000_000_000L;

    private final EventLoop loop;
    private final Operations operations;
    private final Listener listener;
    private final Set<Call> calls = new LinkedHashSet<>();

    public AdminEndpoint(EventLoop loop, SocketAddress at, Operations operations) throws IOException {
        this.loop = loop;
        this.operations = operations;
        listener = new Listener(loop, at, this::accept);
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    public void close() {
        listener.close();
        Set.copyOf(calls).forEach(Call::close);
    }

    /** Callers that never finish make room, the oldest first, so that they keep nobody out. */
    private void accept(SocketChannel channel) throws IOException {
        if (calls.size() >= MOST_CALLERS) {
            calls.iterator().next().close();
        }
        calls.add(new Call(channel));
    }

    /** Carries out a call; the answer with its line end. */
    public static String answer(Operations operations, String line) {
        String[] words = line.strip().split("[ \t]+");
        int takes = words[0].startsWith("maint-") ? 2 : 1;
        if (CALLS.contains(words[0]) && words.length != takes) {
            return "ERR " + words[0] + " takes " + (takes == 1 ? "no further word\n" : "an executor's id\n");
        }
        return switch (words[0]) {
            case "status" -> said(operations.status());
            case "stats" -> operations.stats() + "END\n";
            case "maint-on" -> said(operations.maintenance(words[1], true));
            case "maint-off" -> said(operations.maintenance(words[1], false));
            case "standby" -> said(operations.standby(true));
            case "active" -> said(operations.standby(false));
            default -> "ERR unknown call; there are " + String.join(", ", CALLS) + "\n";
        };
    }

    private static String said(String why) {
        return why == null ? "OK\n" : "ERR " + why + "\n";
    }

    private final class Call extends Connection {
        private final Timer patience = new Timer() {
            @Override
            protected void fire() {
                close();
            }
        };

        Call(SocketChannel channel) throws IOException {
            super(AdminEndpoint.this.loop, channel, MOST_LINE);
            loop.timers.set(patience, loop.now() + CALL_NS);
        }

        @Override
        protected void received(ByteBuffer in) {
            for (int i = in.position(); i < in.limit() && i < MOST_LINE; i++) {
                if (in.get(i) == '\n') {
                    byte[] line = new byte[i - in.position()];
                    in.get(line);
                    end(answer(operations, new String(line, StandardCharsets.ISO_8859_1)));
                    in.position(in.limit()); // one line is all that a connection carries
                    return;
                }
            }
            if (in.remaining() >= MOST_LINE) {
                in.position(in.limit());
                end("ERR the line is longer than " + MOST_LINE + " bytes\n");
            }
        }

        private void end(String answer) {
            loop.timers.set(patience, loop.now() + END_NS);
            write(ByteBuffer.wrap(answer.getBytes(StandardCharsets.ISO_8859_1)));
            endWhenWritten();
        }

        @Override
        protected void lost(IOException why) {
            // Whoever hangs up wants no answer.
        }

        @Override
        protected void released() {
            loop.timers.cancel(patience);
            calls.remove(this);
        }
    }
}
