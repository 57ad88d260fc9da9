package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.config.Json;
import beechseam.load.GearmanLoad;
import beechseam.load.GearmanLoad.Row;
import beechseam.load.GearmanLoad.Scenario;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures the Gearman server with simulated clients and workers on loopback; each run starts its own server.
 */
@Parameters(commandDescription = "Measure the Gearman server under load on this machine")
final class LoadGearman extends Main.Command {
    @Parameter(description = "SCENARIO: workers, fair, queued, memory, stop, idle, faults; all of them by default")
    private List<Scenario> scenarios = new ArrayList<>();

    @Parameter(names = "--seconds", description = "Duration of each measurement, in seconds")
    private double seconds = 3;

    @Parameter(names = "--sizes", description = "Numbers of workers, or of queued jobs, instead of the defaults")
    private List<Integer> sizes = new ArrayList<>();

    @Parameter(names = "--jvm", description = "An option of the server's JVM, such as -Xmx1g; may be repeated")
    private List<String> jvmOptions = new ArrayList<>();

    @Parameter(names = "--json", description = "Write the results to this file as well")
    private String json;

    @Override
    int run() throws IOException, ConfigException {
        if (!(seconds > 0 && seconds <= 600)) {
            throw new ConfigException("--seconds", "must be over 0 and at most 600, not " + seconds);
        }
        List<Row> rows = new ArrayList<>();
        GearmanLoad load = new GearmanLoad(seconds, jvmOptions, System.out::println);
        try {
            for (Scenario each : scenarios.isEmpty() ? List.of(Scenario.values()) : scenarios) {
                rows.addAll(load.play(each, sizes.isEmpty() ? defaultSizes(each) : sizes));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
        if (json != null) {
            Json.rows(Path.of(json), rows.stream().map(LoadGearman::toRow).toList());
        }
        return 0;
    }

    private static Map<String, Object> toRow(Row row) {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("scenario", row.scenario());
        values.putAll(row.figures());
        return values;
    }

    private static List<Integer> defaultSizes(Scenario scenario) {
        return switch (scenario) {
            case WORKERS -> List.of(1, 16, 64, 256, 800);
            case QUEUED -> List.of(1_000, 100_000, 1_000_000);
            case MEMORY -> List.of(100_000, 1_000_000);
            case STOP -> List.of(90_000);
            case FAIR -> List.of();
            case IDLE -> List.of(0, 800);
            case FAULTS -> List.of(20_000);
        };
    }
}
