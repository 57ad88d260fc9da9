package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.config.Json;
import beechseam.fleet.model.MembershipMeasure;
import beechseam.fleet.model.MembershipMeasure.Figures;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Measures membership in virtual time. */
@Parameters(commandDescription = "Measure membership at many sizes, in virtual time")
final class FleetModel extends Main.Command {
    private static final int MAX_SIZE = 100_000;

    @Parameter(description = "SIZE ...: numbers of nodes; 3 10 100 where none is given")
    private List<Integer> sizes = new ArrayList<>();

    @Parameter(names = "--seed", description = "For everything that is drawn")
    private long seed = 1;

    @Parameter(names = "--scale", description = "Of deaths and node-hours; 1 is the usual measurement")
    private double scale = 1;

    @Parameter(names = "--json", description = "Write the table to this file as well")
    private String json;

    @Override
    int run() throws IOException, ConfigException {
        for (int n : sizes) {
            if (n < 2 || n > MAX_SIZE) {
                throw new ConfigException("SIZE", "must be 2 to " + MAX_SIZE + ", not " + n);
            }
        }
        if (!(scale > 0 && scale <= 100)) {
            throw new ConfigException("--scale", "must be over 0 and at most 100, not " + scale);
        }
        int[] all = sizes.isEmpty()
                ? new int[] {3, 10, 100}
                : sizes.stream().mapToInt(Integer::intValue).toArray();
        List<Figures> figures = MembershipMeasure.play(
                MembershipMeasure.table(all, scale), seed, f -> System.err.println("done: " + f.of()));
        System.out.println("nodes loss slow health | noticed p50 p99 | agreed p50 p99 s | false deaths,"
                + " suspicions a node-hour | bytes/s messages/s a node | all joined s");
        for (Figures f : figures) {
            System.out.printf(
                    Locale.ROOT,
                    "%5d %4.2f %4.2f %-6s | %6.2f %6.2f | %6.2f %6.2f | %8.3f %8.2f" + " | %7.0f %5.2f | %5.1f%n",
                    f.of().nodes(),
                    f.of().loss(),
                    f.of().slow(),
                    f.of().health(),
                    f.noticed50(),
                    f.noticed99(),
                    f.agreed50(),
                    f.agreed99(),
                    f.falseDeaths(),
                    f.suspicions(),
                    f.bytes(),
                    f.messages(),
                    f.joined());
        }
        if (json != null) {
            Json.rows(Path.of(json), figures.stream().map(Figures::row).toList());
        }
        return 0;
    }
}
