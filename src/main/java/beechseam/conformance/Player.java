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

/** Plays cases against a server, one after the other, each with connections and names of its own. */
public final class Player implements AutoCloseable {
    /** How a case went; {@code why} is null for one that passed. */
    public record Result(Case of, String why, long tookNs) {
        /** Whether the server answered as the transcript says. */
        public boolean passed() {
            return why == null;
        }
    }

    /** A step that did not come out as written. */
    private static final class Failed extends Exception {
        private static final long serialVersionUID = 1;

        Failed(String why) {
            super(why);
        }
    }

    private static final int SHOWN = 60;
    private static final long CONNECT_NS = 5_000_000_000L;

    private final InetSocketAddress server;
    private final EventLoop loop;
    private final String run;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<String, byte[]> names = new HashMap<>();
    private int fresh;

    /**
     * @param run goes into the names of functions and keys, so that a second run meets nothing of the first
     */
    public Player(InetSocketAddress server, String run) throws IOException {
        this.server = server;
        this.run = run;
        loop = new EventLoop();
    }

    @Override
    public void close() throws IOException {
        peers.values().forEach(Peer::close);
        loop.stop();
        loop.run(); // closes the selector
    }

    /** Plays one case to its end or its first step that fails. */
    public Result play(Case c) throws IOException {
        long start = System.nanoTime();
        String why = null;
        names.clear();
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
            p = dial();
            peers.put(name, p);
        }
        return p;
    }

    private Peer dial() throws IOException, Failed {
        Peer p = new Peer(loop, server);
        if (!until(CONNECT_NS, () -> !p.connecting())) {
            throw new Failed("no connection to the server");
        }
        if (p.gone) {
            throw new Failed("the server takes no connection");
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
                names.put(name, (name + "-" + run + "-" + ++fresh).getBytes(StandardCharsets.UTF_8));
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
            hears(s);
        } else if (step instanceof Step.Lists s) {
            lists(s);
        } else if (step instanceof Step.Quiet s) {
            Peer p = peer(s.peer());
            if (until(s.ns(), () -> !p.heard.isEmpty() || p.gone)) {
                throw new Failed(p.gone ? s.peer() + " was cut off" : s.peer() + " heard " + shown(p.heard.peek()));
            }
        } else if (step instanceof Step.Close s) {
            peer(s.peer()).close();
            peers.remove(s.peer());
            loop.turn(0);
        } else if (step instanceof Step.Closed s) {
            Peer p = peer(s.peer());
            if (!until(s.withinNs(), () -> p.gone)) {
                throw new Failed(s.peer() + " was not cut off in time");
            }
        }
    }

    private void send(Step.Send s) throws IOException, Failed {
        Object[] args = new Object[s.values().size()];
        for (int i = 0; i < args.length; i++) {
            args[i] = bytes(s.values().get(i));
        }
        ByteBuffer whole = s.packet().request(args);
        switch (s.how()) {
            case WHOLE -> peer(s.peer()).write(whole);
            case BYTE_BY_BYTE -> {
                Peer p = peer(s.peer());
                for (int i = 0; i < whole.limit(); i++) {
                    p.write(whole.slice(i, 1));
                    loop.turn(0); // a write of its own each, so that the server may see each alone
                }
            }
            case CUT_SHORT -> {
                for (int i = 1; i < whole.limit(); i++) {
                    Peer p = dial();
                    p.write(whole.slice(0, i));
                    loop.turn(0);
                    p.close();
                }
            }
            default -> throw new IllegalStateException();
        }
    }

    private void expect(Step.Expect s) throws IOException, Failed {
        Peer.Heard next = next(s.peer(), s.packet().name(), s.withinNs());
        if (next.packet() != s.packet()) {
            throw new Failed(s.peer() + " heard " + shown(next) + " in place of " + s.packet());
        }
        if (next.args().size() != s.packet().arguments) {
            throw new Failed(
                    s.packet() + " came with " + next.args().size() + " arguments in place of " + s.packet().arguments);
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

    private void hears(Step.Hears s) throws IOException, Failed {
        for (Value v : s.values()) {
            Peer.Heard next = next(s.peer(), "a line", s.withinNs());
            if (next.line() == null) {
                throw new Failed(s.peer() + " heard " + shown(next) + " in place of a line");
            }
            match("the line", v, next.line().getBytes(StandardCharsets.UTF_8));
        }
    }

    /** All lines up to the dot are heard, so that what follows is not taken for this answer's. */
    private void lists(Step.Lists s) throws IOException, Failed {
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
            Peer.Heard next = next(s.peer(), "a line, or the dot that ends the list", s.withinNs());
            if (next.line() == null) {
                throw new Failed(s.peer() + " heard " + shown(next) + " in place of a line");
            }
            if (next.line().equals(".")) {
                break;
            }
            found |= pattern.matcher(next.line()).matches();
            lines.add(next.line());
        }
        if (!found) {
            throw new Failed("none of " + lines.size() + " lines is as wanted; the last is '"
                    + (lines.isEmpty() ? "" : lines.get(lines.size() - 1)) + "'");
        }
    }

    private Peer.Heard next(String name, String what, long withinNs) throws IOException, Failed {
        Peer p = peer(name);
        until(withinNs, () -> !p.heard.isEmpty() || p.gone || p.fault != null);
        if (p.heard.isEmpty()) {
            throw new Failed(
                    p.fault != null
                            ? p.fault
                            : p.gone ? name + " was cut off before " + what : name + " waited in vain for " + what);
        }
        return p.heard.poll();
    }

    private void match(String where, Value wanted, byte[] got) throws Failed {
        if (wanted instanceof Value.Text t && !Arrays.equals(t.bytes(), got)) {
            throw new Failed(where + " is " + shown(got) + " in place of " + shown(t.bytes()));
        } else if (wanted instanceof Value.Matching m
                && !m.pattern()
                        .matcher(new String(got, StandardCharsets.ISO_8859_1))
                        .matches()) {
            throw new Failed(where + " is " + shown(got) + " and does not match /" + m.pattern() + "/");
        } else if (wanted instanceof Value.Variable v) {
            byte[] known = names.putIfAbsent(v.name(), got);
            if (known != null && !Arrays.equals(known, got)) {
                throw new Failed(where + " is " + shown(got) + " in place of " + v.name() + ", " + shown(known));
            }
        }
    }

    private byte[] bytes(Value v) throws Failed {
        if (v instanceof Value.Text t) {
            return t.bytes();
        }
        if (v instanceof Value.Variable name) {
            byte[] known = names.get(name.name());
            if (known == null) {
                throw new Failed("nothing is known as " + name.name());
            }
            return known;
        }
        throw new Failed("only texts and names can be sent");
    }

    private byte[] joined(List<Value> values) throws Failed {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Value v : values) {
            out.writeBytes(bytes(v));
        }
        return out.toByteArray();
    }

    private static String shown(Peer.Heard h) {
        if (h.line() != null) {
            return "the line '" + h.line() + "'";
        }
        List<String> args = new ArrayList<>();
        h.args().forEach(each -> args.add(shown(each)));
        return h.packet() + " " + String.join(" ", args);
    }

    private static String shown(byte[] bytes) {
        String text = new String(bytes, 0, Math.min(bytes.length, SHOWN), StandardCharsets.ISO_8859_1)
                .replaceAll("\\p{Cntrl}", ".");
        return "'" + text + "'" + (bytes.length > SHOWN ? " and " + (bytes.length - SHOWN) + " bytes more" : "");
    }

    /** Which packets the cases are about: how many cases each, and how many of them passed. */
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
