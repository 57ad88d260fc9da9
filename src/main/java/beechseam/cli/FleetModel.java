package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.config.Json;
import beechseam.fleet.model.MembershipExperiment;
import beechseam.fleet.model.MembershipExperiment.Result;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Measures the membership protocol in virtual time and prints a table with one row per case. */
@Parameters(commandDescription = "Measure the membership protocol at several cluster sizes, in virtual time")
final class FleetModel extends Main.Command {
    private static final int MIN_SIZE = 2;
    private static final int MAX_SIZE = 100_000;
    private static final int MAX_SCALE = 100;
    private static final int[] DEFAULT_SIZES = {3, 10, 100};

    @Parameter(description = "SIZE ...: numbers of nodes; 3 10 100 by default")
    private List<Integer> sizes = new ArrayList<>();

    @Parameter(names = "--seed", description = "Seed of the random numbers")
    private long seed = 1;

    @Parameter(
            names = "--scale",
            description = "Factor for node failures and node-hours; 1 is the standard measurement")
    private double scale = 1;

    @Parameter(names = "--json", description = "Write the table to this file as well")
    private String json;

    @Override
    int run() throws IOException, ConfigException {
        checkArguments();
        int[] measuredSizes = sizes.isEmpty()
                ? DEFAULT_SIZES
                : sizes.stream().mapToInt(Integer::intValue).toArray();
        List<Result> results = MembershipExperiment.runAll(
                MembershipExperiment.standardCases(measuredSizes, scale),
                seed,
                result -> System.err.println("done: " + result.of()));
        System.out.println("nodes loss slow health | noticed p50 p99 | agreed p50 p99 s | false deaths,"
                + " suspicions a node-hour | bytes/s messages/s a node | all joined s");
        results.forEach(FleetModel::print);
        if (json != null) {
            Json.rows(Path.of(json), results.stream().map(Result::toRow).toList());
        }
        return 0;
    }

    private void checkArguments() throws ConfigException {
        for (int size : sizes) {
            if (size < MIN_SIZE || size > MAX_SIZE) {
                throw new ConfigException("SIZE", "must be " + MIN_SIZE + " to " + MAX_SIZE + ", not " + size);
            }
        }
        if (!(scale > 0 && scale <= MAX_SCALE)) {
            throw new ConfigException("--scale", "must be over 0 and at most " + MAX_SCALE + ", not " + scale);
        }
    }

    private static void print(Result result) {
        System.out.printf(
                Locale.ROOT,
                "%5d %4.2f %4.2f %-6s | %6.2f %6.2f | %6.2f %6.2f | %8.3f %8.2f | %7.0f %5.2f | %5.1f%n",
                result.of().nodes(),
                result.of().loss(),
                result.of().slow(),
                result.of().health(),
                result.detectionP50(),
                result.detectionP99(),
                result.disseminationP50(),
                result.disseminationP99(),
                result.falseDeathsPerNodeHour(),
                result.suspicionsPerNodeHour(),
                result.bytesPerNodeSecond(),
                result.messagesPerNodeSecond(),
                result.convergenceAfterStart());
    }
}
