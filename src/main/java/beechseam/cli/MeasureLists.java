package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.load.ListIntake;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Measures the time to process a list from discovery, by the number of servers in it. */
@Parameters(commandDescription = "Measure the time to process discovery's lists, by the number of servers")
final class MeasureLists extends Main.Command {
    private static final List<Integer> DEFAULT_SIZES = List.of(100, 1000, 4000);
    private static final int MAX_SERVERS = 100_000;

    @Parameter(description = "SERVERS ...: lengths of lists; 100 1000 4000 by default")
    private List<Integer> sizes = new ArrayList<>();

    @Parameter(names = "--lists", description = "Number of lists of each length that are measured")
    private int lists = 50;

    @Override
    int run() throws IOException, ConfigException {
        for (int each : sizes) {
            checkCount("SERVERS", each, MAX_SERVERS);
        }
        checkCount("--lists", lists, MAX_SERVERS);
        System.out.println("servers     bytes    read us    take us  us/server");
        for (int each : sizes.isEmpty() ? DEFAULT_SIZES : sizes) {
            System.out.println(ListIntake.measure(each, lists));
        }
        return 0;
    }
}
