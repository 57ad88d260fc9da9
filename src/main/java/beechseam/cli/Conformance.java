package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.config.Json;
import beechseam.conformance.Player;
import beechseam.conformance.Script;
import beechseam.conformance.Script.Case;
import beechseam.gearman.protocol.Packet;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;

/**
 * Runs the conformance suite against a Gearman server on a loopback address. Exit status 1 means that a case failed.
 */
@Parameters(commandDescription = "Run the Gearman conformance suite against a server on a loopback address")
final class Conformance extends Main.Command {
    @Parameter(description = "HOST:PORT", required = true)
    private String server;

    @Parameter(names = "--only", description = "Run only the cases whose FILE/NAME has a match of this pattern")
    private String only = "";

    @Parameter(names = "--list", description = "List the cases without connecting to HOST:PORT")
    private boolean list;

    @Parameter(names = "--json", description = "Write the results to this file as well")
    private String json;

    @Parameter(names = "--script", description = "A transcript file to run instead of the suite; may be repeated")
    private List<String> scripts = new ArrayList<>();

    @Override
    int run() throws IOException, ConfigException {
        List<Case> cases = cases();
        if (list) {
            cases.forEach(c -> System.out.println(c.id()));
            return 0;
        }
        InetSocketAddress address = address();
        List<Player.Result> results = new ArrayList<>();
        boolean terminal = System.console() != null;
        try (Player player = new Player(address, Long.toString(System.nanoTime(), 36))) {
            for (Case c : cases) {
                if (terminal) {
                    System.err.printf("\r%d of %d \u001b[K", results.size() + 1, cases.size());
                }
                Player.Result r = player.play(c);
                results.add(r);
                if (!r.passed()) {
                    System.out.println("FAILED  " + c.id() + "\n        " + r.why());
                }
            }
        }
        if (terminal) {
            System.err.print("\r\u001b[K");
        }
        if (json != null) {
            Json.rows(Path.of(json), results.stream().map(Conformance::toRow).toList());
        }
        return report(results);
    }

    private List<Case> cases() throws IOException, ConfigException {
        try {
            Pattern pattern = Pattern.compile(only);
            List<Case> all = new ArrayList<>();
            if (scripts.isEmpty()) {
                all.addAll(Script.suite());
            }
            for (String file : scripts) {
                all.addAll(Script.parse(file, Files.readString(Path.of(file))));
            }
            all.removeIf(c -> !pattern.matcher(c.id()).find());
            if (all.isEmpty()) {
                throw new ConfigException("--only", "no case matches '" + only + "'");
            }
            return all;
        } catch (PatternSyntaxException e) {
            throw new ConfigException("--only", e.getDescription());
        } catch (Script.Fault e) {
            throw new ConfigException("--script", e.getMessage());
        }
    }

    /** Parses the server's address. Only loopback is allowed, so that no other machine receives test traffic. */
    private InetSocketAddress address() throws IOException, ConfigException {
        int colon = server.lastIndexOf(':');
        try {
            InetAddress host = InetAddress.getByName(colon < 0 ? "" : server.substring(0, colon));
            if (!host.isLoopbackAddress()) {
                throw new ConfigException("HOST:PORT", server + " is not a loopback address");
            }
            return new InetSocketAddress(host, Integer.parseInt(server.substring(colon + 1)));
        } catch (IllegalArgumentException | java.net.UnknownHostException e) {
            throw new ConfigException("HOST:PORT", "must be a loopback address and a port, not " + server);
        }
    }

    private static int report(List<Player.Result> results) {
        System.out.printf("%-30s %6s %6s%n", "packet", "cases", "passed");
        for (Map.Entry<Packet, int[]> each : Player.byPacket(results).entrySet()) {
            System.out.printf(
                    "%-30s %6d %6d%s%n",
                    each.getKey(),
                    each.getValue()[0],
                    each.getValue()[1],
                    each.getValue()[0] == each.getValue()[1] ? "" : "  <");
        }
        long passed = results.stream().filter(Player.Result::passed).count();
        System.out.println(passed + " of " + results.size() + " cases passed");
        return passed == results.size() ? 0 : 1;
    }

    private static Map<String, Object> toRow(Player.Result r) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("file", r.of().file());
        row.put("case", r.of().name());
        row.put("passed", r.passed());
        row.put("ms", r.tookNs() / 1e6);
        if (!r.passed()) {
            row.put("why", r.why());
        }
        return row;
    }
}
