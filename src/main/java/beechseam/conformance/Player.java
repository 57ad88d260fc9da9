package beechseam.conformance;

import beechseam.conformance.Script.Case;
import beechseam.conformance.Script.Step;
import beechseam.conformance.Script.Value;
import beechseam.gearman.protocol.Packet;
import beechseam.net.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/** Runs cases against a server one after another, each with its own connections and variables. */
public final class Player implements AutoCloseable {
    /** The result of a case; {@code why} is the reason of a failure and null for a passed case. */
    public record Result(Case of, String why, long tookNs) {
        /** Returns whether the server answered as the transcript expects. */
        public boolean passed() {
            return why == null;
        }
    }

    /** Thrown when a step of the transcript fails. */
    private static final class Failed extends Exception {
        private static final long serialVersionUID = 1;

        Failed(String why) {
            super(why);
        }
    }

    private static final int MAX_SHOWN_BYTES = 60;
    private static final long CONNECT_TIMEOUT_NS = 5_000_000_000L;

    private final InetSocketAddress server;
    private final EventLoop loop;
    private final String runId;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<String, byte[]> variables = new HashMap<>();
    private int uniqueNames;

    /**
     * @param runId part of the names of functions and keys, so that a run does not meet jobs of an earlier one
     */
    public Player(InetSocketAddress server, String runId) throws IOException {
        this.server = server;
        this.runId = runId;
        loop = new EventLoop();
    }

    @Override
    public void close() throws IOException {
        peers.values().forEach(Peer::close);
        loop.stop();
        loop.run(); // closes the selector
    }

    /** Runs a case up to its end or to the first step that fails. */
    public Result play(Case c) throws IOException {
        long start = System.nanoTime();
        String why = null;
        variables.clear();
        int at = 0;
        try {
            for (Step step : c.steps()) {
                at = step.line();
                play(step);
            }
        } catch (Failed e) {
            why = "line " + at + ": " + e.getMessage();
        } finally {
            peers.values().forEach(Peer::close);
            peers.clear();
            loop.turn(0);
        }
        return new Result(c, why, System.nanoTime() - start);
    }

    private Peer peer(String name) throws IOException, Failed {
        Peer p = peers.get(name);
        if (p == null) {
            p = connect();
            peers.put(name, p);
        }
        return p;
    }

    private Peer connect() throws IOException, Failed {
        Peer p = new Peer(loop, server);
        if (!until(CONNECT_TIMEOUT_NS, () -> !p.connecting())) {
            throw new Failed("no connection to the server");
        }
        if (p.lost) {
            throw new Failed("the server closed the connection");
        }
        return p;
    }

    private boolean until(long withinNs, BooleanSupplier holds) throws IOException {
        long end = System.nanoTime() + withinNs;
        while (!holds.getAsBoolean()) {
            long left = end - System.nanoTime();
            if (left <= 0) {
                return false;
            }
            loop.turn(Math.min(left, 20_000_000L));
        }
        return true;
    }

    private void play(Step step) throws IOException, Failed {
        if (step instanceof Step.Fresh s) {
            for (String name : s.names()) {
                variables.put(name, (name + "-" + runId + "-" + ++uniqueNames).getBytes(StandardCharsets.UTF_8));
            }
        } else if (step instanceof Step.Pause s) {
            until(s.ns(), () -> false);
        } else if (step instanceof Step.Send s) {
            send(s);
        } else if (step instanceof Step.Raw s) {
            peer(s.peer()).write(ByteBuffer.wrap(joined(s.values())));
        } else if (step instanceof Step.Line s) {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            line.writeBytes(joined(s.values()));
            line.write('\n');
            peer(s.peer()).write(ByteBuffer.wrap(line.toByteArray()));
        } else if (step instanceof Step.Expect s) {
            expect(s);
        } else if (step instanceof Step.Hears s) {
            expectLines(s);
        } else if (step instanceof Step.Lists s) {
            expectListLine(s);
        } else if (step instanceof Step.Quiet s) {
            Peer p = peer(s.peer());
            if (until(s.ns(), () -> !p.messages.isEmpty() || p.lost)) {
                throw new Failed(
                        p.lost ? s.peer() + " was disconnected" : s.peer() + " received " + format(p.messages.peek()));
            }
        } else if (step instanceof Step.Close s) {
            peer(s.peer()).close();
            peers.remove(s.peer());
            loop.turn(0);
        } else if (step instanceof Step.Closed s) {
            Peer p = peer(s.peer());
            if (!until(s.withinNs(), () -> p.lost)) {
                throw new Failed(s.peer() + " was not disconnected in time");
            }
        }
    }

    private void send(Step.Send s) throws IOException, Failed {
        Object[] args = new Object[s.values().size()];
        for (int i = 0; i < args.length; i++) {
            args[i] = bytes(s.values().get(i));
        }
        ByteBuffer whole = s.packet().request(args);
        switch (s.mode()) {
            case WHOLE -> peer(s.peer()).write(whole);
            case BYTE_BY_BYTE -> {
                Peer p = peer(s.peer());
                for (int i = 0; i < whole.limit(); i++) {
                    p.write(whole.slice(i, 1));
                    loop.turn(0); // a separate write per byte, so that the server may read each byte alone
                }
            }
            case CUT_SHORT -> {
                for (int i = 1; i < whole.limit(); i++) {
                    Peer p = connect();
                    p.write(whole.slice(0, i));
                    loop.turn(0);
                    p.close();
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void expect(Step.Expect s) throws IOException, Failed {
        Peer.Received next = next(s.peer(), s.packet().name(), s.withinNs());
        if (next.packet() != s.packet()) {
            throw new Failed(s.peer() + " received " + format(next) + " instead of " + s.packet());
        }
        if (next.args().size() != s.packet().arguments) {
            throw new Failed(
                    s.packet() + " came with " + next.args().size() + " arguments instead of " + s.packet().arguments);
        }
        if (s.values().size() > next.args().size()) {
            throw new Failed("the script expects more arguments than " + s.packet() + " has");
        }
        for (int i = 0; i < s.values().size(); i++) {
            match(
                    s.packet() + ", argument " + (i + 1),
                    s.values().get(i),
                    next.args().get(i));
        }
    }

    private void expectLines(Step.Hears s) throws IOException, Failed {
        for (Value v : s.values()) {
            Peer.Received next = next(s.peer(), "a line", s.withinNs());
            if (next.line() == null) {
                throw new Failed(s.peer() + " received " + format(next) + " instead of a line");
            }
            match("the line", v, next.line().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Reads all lines up to the dot, so that later lines are not mistaken for part of this answer. */
    private void expectListLine(Step.Lists s) throws IOException, Failed {
        StringBuilder wanted = new StringBuilder();
        for (Value v : s.values()) {
            wanted.append(
                    v instanceof Value.Matching m
                            ? "(?:" + m.pattern() + ")"
                            : v instanceof Value.Any
                                    ? ".*"
                                    : Pattern.quote(new String(bytes(v), StandardCharsets.UTF_8)));
        }
        Pattern pattern = Pattern.compile(wanted.toString());
        List<String> lines = new ArrayList<>();
        boolean found = false;
        while (true) {
            Peer.Received next = next(s.peer(), "a line, or the dot that ends the list", s.withinNs());
            if (next.line() == null) {
                throw new Failed(s.peer() + " received " + format(next) + " instead of a line");
            }
            if (next.line().equals(".")) {
                break;
            }
            found |= pattern.matcher(next.line()).matches();
            lines.add(next.line());
        }
        if (!found) {
            throw new Failed("none of " + lines.size() + " lines matches; the last is '"
                    + (lines.isEmpty() ? "" : lines.get(lines.size() - 1)) + "'");
        }
    }

    private Peer.Received next(String name, String what, long withinNs) throws IOException, Failed {
        Peer p = peer(name);
        until(withinNs, () -> !p.messages.isEmpty() || p.lost || p.fault != null);
        if (p.messages.isEmpty()) {
            throw new Failed(
                    p.fault != null
                            ? p.fault
                            : p.lost
                                    ? name + " was disconnected before " + what
                                    : name + " timed out waiting for " + what);
        }
        return p.messages.poll();
    }

    private void match(String where, Value wanted, byte[] got) throws Failed {
        if (wanted instanceof Value.Text t && !Arrays.equals(t.bytes(), got)) {
            throw new Failed(where + " is " + format(got) + " instead of " + format(t.bytes()));
        } else if (wanted instanceof Value.Matching m
                && !m.pattern()
                        .matcher(new String(got, StandardCharsets.ISO_8859_1))
                        .matches()) {
            throw new Failed(where + " is " + format(got) + ", which does not match /" + m.pattern() + "/");
        } else if (wanted instanceof Value.Variable v) {
            byte[] known = variables.putIfAbsent(v.name(), got);
            if (known != null && !Arrays.equals(known, got)) {
                throw new Failed(where + " is " + format(got) + " instead of " + v.name() + ", " + format(known));
            }
        }
    }

    private byte[] bytes(Value v) throws Failed {
        if (v instanceof Value.Text t) {
            return t.bytes();
        }
        if (v instanceof Value.Variable name) {
            byte[] known = variables.get(name.name());
            if (known == null) {
                throw new Failed("undefined variable " + name.name());
            }
            return known;
        }
        throw new Failed("only strings and variables can be sent");
    }

    private byte[] joined(List<Value> values) throws Failed {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Value v : values) {
            out.writeBytes(bytes(v));
        }
        return out.toByteArray();
    }

    private static String format(Peer.Received h) {
        if (h.line() != null) {
            return "the line '" + h.line() + "'";
        }
        List<String> args = new ArrayList<>();
        h.args().forEach(each -> args.add(format(each)));
        return h.packet() + " " + String.join(" ", args);
    }

    private static String format(byte[] bytes) {
        String text = new String(bytes, 0, Math.min(bytes.length, MAX_SHOWN_BYTES), StandardCharsets.ISO_8859_1)
                .replaceAll("\\p{Cntrl}", ".");
        return "'" + text + "'"
                + (bytes.length > MAX_SHOWN_BYTES ? " and " + (bytes.length - MAX_SHOWN_BYTES) + " bytes more" : "");
    }

    /** Returns for each packet type how many cases cover it and how many of these passed. */
    public static Map<Packet, int[]> byPacket(List<Result> results) {
        Map<Packet, int[]> table = new java.util.EnumMap<>(Packet.class);
        for (Result r : results) {
            for (Packet p : r.of().covers()) {
                int[] cell = table.computeIfAbsent(p, x -> new int[2]);
                cell[0]++;
                cell[1] += r.passed() ? 1 : 0;
            }
        }
        return table;
    }
}
