package beechseam.conformance;

import beechseam.gearman.protocol.Packet;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Parses the cases of a transcript file. A case with {@code each} expands to one case per listed packet. */
public final class Script {
    /** Placeholder for the packet type in a case with {@code each}. */
    static final String PACKET = "PACKET";

    /** An error in a transcript, with its file, line and column. */
    public static final class Fault extends Exception {
        private static final long serialVersionUID = 1;

        Fault(String where, String what) {
            super(where + ": " + what);
        }
    }

    /** An argument to send, or the expected value of a received argument. */
    sealed interface Value {
        /** Literal bytes. */
        record Text(byte[] bytes) implements Value {}

        /** In an expectation: bytes that match the pattern as a whole, decoded as ISO 8859-1. */
        record Matching(Pattern pattern) implements Value {}

        /** In an expectation: any value. */
        record Any() implements Value {}

        /** The value of a variable; an expectation assigns the received bytes to a variable that has none yet. */
        record Variable(String name) implements Value {}
    }

    /** How the bytes of a packet are sent: in one write, one byte per write, or every incomplete prefix. */
    enum SendMode {
        WHOLE,
        BYTE_BY_BYTE,
        CUT_SHORT
    }

    /** A step of a case; {@code line} is its line number in the file. */
    sealed interface Step {
        int line();

        record Fresh(int line, List<String> names) implements Step {}

        record Pause(int line, long ns) implements Step {}

        record Send(int line, String peer, SendMode mode, Packet packet, List<Value> values) implements Step {}

        record Raw(int line, String peer, List<Value> values) implements Step {}

        record Expect(int line, String peer, Packet packet, List<Value> values, long withinNs) implements Step {}

        /** Sends an admin line. */
        record Line(int line, String peer, List<Value> values) implements Step {}

        /** Expects the lines of an admin answer in order. */
        record Hears(int line, String peer, List<Value> values, long withinNs) implements Step {}

        /** Expects a multi-line admin answer that ends with a dot and has a line made of these values in order. */
        record Lists(int line, String peer, List<Value> values, long withinNs) implements Step {}

        record Quiet(int line, String peer, long ns) implements Step {}

        record Close(int line, String peer) implements Step {}

        record Closed(int line, String peer, long withinNs) implements Step {}
    }

    /** A test case; {@code covers} are the packet types that it tests. */
    public record Case(String file, String name, List<Packet> covers, List<Step> steps) {
        /** Returns the file and the name, which together are unique. */
        public String id() {
            return file + "/" + name;
        }
    }

    /** Transcript files of the suite that ships with the program. */
    public static final List<String> SUITE =
            List.of("basics", "submit", "workers", "results", "later", "limits", "admin", "bad-input");

    private static final long DEFAULT_TIMEOUT_NS = 5_000_000_000L;

    private final String file;

    private Script(String file) {
        this.file = file;
    }

    /** Parses all cases of the suite that ships with the program. */
    public static List<Case> suite() throws Fault, IOException {
        List<Case> all = new ArrayList<>();
        for (String name : SUITE) {
            try (InputStream in = Script.class.getResourceAsStream(name + ".txt")) {
                if (in == null) {
                    throw new IOException("transcript resource " + name + ".txt is missing from the program");
                }
                all.addAll(parse(name, new String(in.readAllBytes(), StandardCharsets.UTF_8)));
            }
        }
        return all;
    }

    /** Parses the cases of a transcript text; {@code file} is its name in error messages. */
    public static List<Case> parse(String file, String text) throws Fault {
        Script script = new Script(file);
        TranscriptLexer lexer = new TranscriptLexer(CharStreams.fromString(text, file));
        TranscriptParser parser = new TranscriptParser(new CommonTokenStream(lexer));
        List<Fault> faults = new ArrayList<>();
        BaseErrorListener listener = new BaseErrorListener() {
            @Override
            public void syntaxError(
                    Recognizer<?, ?> recognizer,
                    Object symbol,
                    int line,
                    int column,
                    String what,
                    RecognitionException e) {
                faults.add(new Fault(file + ":" + line + ":" + (column + 1), what));
            }
        };
        lexer.removeErrorListeners();
        parser.removeErrorListeners();
        lexer.addErrorListener(listener);
        parser.addErrorListener(listener);
        TranscriptParser.ScriptContext tree = parser.script();
        if (!faults.isEmpty()) {
            throw faults.get(0);
        }
        List<Case> cases = new ArrayList<>();
        for (TranscriptParser.TestCaseContext each : tree.testCase()) {
            script.add(each, cases);
        }
        return cases;
    }

    private Fault fault(Token at, String what) {
        return new Fault(file + ":" + at.getLine() + ":" + (at.getCharPositionInLine() + 1), what);
    }

    private void add(TranscriptParser.TestCaseContext c, List<Case> cases) throws Fault {
        String name = new String(bytes(c.STRING().getSymbol()), StandardCharsets.UTF_8);
        List<Packet> covers = new ArrayList<>();
        List<Packet> each = new ArrayList<>();
        boolean inEach = false;
        for (int i = 0; i < c.getChildCount(); i++) {
            String text = c.getChild(i).getText();
            inEach |= text.equals("each");
            if (text.equals("{")) {
                break;
            }
            if (c.getChild(i).getPayload() instanceof Token t && t.getType() == TranscriptLexer.WORD) {
                (inEach ? each : covers).add(packet(t, null));
            }
        }
        if (!inEach) {
            cases.add(new Case(file, name, covers, steps(c, null)));
        }
        for (Packet p : each) {
            List<Packet> about = new ArrayList<>(covers);
            about.add(p);
            cases.add(new Case(file, name + " (" + p + ")", about, steps(c, p)));
        }
    }

    private Packet packet(Token at, Packet each) throws Fault {
        if (at.getText().equals(PACKET) && each != null) {
            return each;
        }
        try {
            return Packet.valueOf(at.getText());
        } catch (IllegalArgumentException e) {
            throw fault(at, at.getText() + " is no packet of the protocol");
        }
    }

    private List<Step> steps(TranscriptParser.TestCaseContext c, Packet each) throws Fault {
        List<Step> steps = new ArrayList<>();
        for (TranscriptParser.StepContext s : c.step()) {
            int line = s.getStart().getLine();
            if (s instanceof TranscriptParser.FreshContext fresh) {
                steps.add(new Step.Fresh(
                        line, fresh.WORD().stream().map(w -> w.getText()).toList()));
            } else if (s instanceof TranscriptParser.PauseContext pause) {
                steps.add(new Step.Pause(line, time(pause.TIME().getSymbol())));
            } else if (s instanceof TranscriptParser.SayContext say) {
                for (TranscriptParser.ActionContext a : say.action()) {
                    steps.add(action(a, say.WORD().getText(), each));
                }
            }
        }
        return steps;
    }

    private Step action(TranscriptParser.ActionContext a, String peer, Packet each) throws Fault {
        int line = a.getStart().getLine();
        if (a instanceof TranscriptParser.SendContext s) {
            return send(line, peer, SendMode.WHOLE, s.WORD().getSymbol(), s.value(), each);
        } else if (a instanceof TranscriptParser.DribbleContext s) {
            return send(line, peer, SendMode.BYTE_BY_BYTE, s.WORD().getSymbol(), s.value(), each);
        } else if (a instanceof TranscriptParser.ChopContext s) {
            return send(line, peer, SendMode.CUT_SHORT, s.WORD().getSymbol(), s.value(), each);
        } else if (a instanceof TranscriptParser.RawContext s) {
            return new Step.Raw(line, peer, values(s.value()));
        } else if (a instanceof TranscriptParser.ExpectContext s) {
            return new Step.Expect(
                    line, peer, packet(s.WORD().getSymbol(), each), values(s.value()), within(s.within()));
        } else if (a instanceof TranscriptParser.LineContext s) {
            return new Step.Line(line, peer, values(s.value()));
        } else if (a instanceof TranscriptParser.HearsContext s) {
            return new Step.Hears(line, peer, values(s.value()), within(s.within()));
        } else if (a instanceof TranscriptParser.ListsContext s) {
            return new Step.Lists(line, peer, values(s.value()), within(s.within()));
        } else if (a instanceof TranscriptParser.QuietContext s) {
            return new Step.Quiet(line, peer, time(s.TIME().getSymbol()));
        } else if (a instanceof TranscriptParser.ClosedContext s) {
            return new Step.Closed(line, peer, within(s.within()));
        }
        return new Step.Close(line, peer);
    }

    private Step send(
            int line, String peer, SendMode mode, Token word, List<TranscriptParser.ValueContext> values, Packet each)
            throws Fault {
        return new Step.Send(line, peer, mode, packet(word, each), values(values));
    }

    private List<Value> values(List<TranscriptParser.ValueContext> all) throws Fault {
        List<Value> values = new ArrayList<>();
        for (TranscriptParser.ValueContext v : all) {
            if (v instanceof TranscriptParser.TextContext t) {
                byte[] once = bytes(t.STRING().getSymbol());
                int times = t.INT() == null ? 1 : Integer.parseInt(t.INT().getText());
                ByteArrayOutputStream out = new ByteArrayOutputStream(once.length * times);
                for (int i = 0; i < times; i++) {
                    out.writeBytes(once);
                }
                values.add(new Value.Text(out.toByteArray()));
            } else if (v instanceof TranscriptParser.PatternContext p) {
                String text = p.REGEX().getText();
                try {
                    values.add(new Value.Matching(
                            Pattern.compile(text.substring(1, text.length() - 1).replace("\\/", "/"), Pattern.DOTALL)));
                } catch (PatternSyntaxException e) {
                    throw fault(p.getStart(), e.getDescription());
                }
            } else if (v instanceof TranscriptParser.VariableContext name) {
                values.add(new Value.Variable(name.WORD().getText()));
            } else {
                values.add(new Value.Any());
            }
        }
        return values;
    }

    private static long within(TranscriptParser.WithinContext w) {
        return w == null ? DEFAULT_TIMEOUT_NS : time(w.TIME().getSymbol());
    }

    private static long time(Token t) {
        String text = t.getText();
        return text.endsWith("ms")
                ? Long.parseLong(text.substring(0, text.length() - 2)) * 1_000_000L
                : Long.parseLong(text.substring(0, text.length() - 1)) * 1_000_000_000L;
    }

    /**
     * Decodes a string literal to bytes in UTF-8. The escapes are {@code \0}, {@code \n}, {@code \r},
     * {@code \t} and {@code \x} with two hexadecimal digits; any other escaped character stands for itself.
     */
    private byte[] bytes(Token string) throws Fault {
        String text = string.getText();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 1; i < text.length() - 1; i++) {
            char c = text.charAt(i);
            if (c != '\\') {
                out.writeBytes(String.valueOf(c).getBytes(StandardCharsets.UTF_8));
                continue;
            }
            char escape = text.charAt(++i);
            switch (escape) {
                case '0' -> out.write(0);
                case 'n' -> out.write('\n');
                case 'r' -> out.write('\r');
                case 't' -> out.write('\t');
                case 'x' -> {
                    try {
                        out.write(Integer.parseInt(text.substring(i + 1, i + 3), 16));
                    } catch (NumberFormatException e) {
                        throw fault(string, "\\x needs two hexadecimal digits");
                    }
                    i += 2;
                }
                default -> out.write(escape);
            }
        }
        return out.toByteArray();
    }
}
