package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.load.ListIntake;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Measures what a list of discovery costs, by its length. */
@Parameters(commandDescription = "Measure the intake of discovery's lists, by the number of servers")
final class MeasureLists extends Main.Command {
    private static final List<Integer> USUAL_SIZES = List.of(100, 1000, 4000);
    private static final int MAX_SERVERS = 100_000;

    @Parameter(description = "SERVERS ...: lengths of lists; 100 1000 4000 where none is given")
    private List<Integer> sizes = new ArrayList<>();

    @Parameter(names = "--lists", description = "How many lists of each length are counted")
    private int lists = 50;

    @Override
    int run() throws IOException, ConfigException {
        for (int each : sizes) {
            bounded("SERVERS", each, MAX_SERVERS);
        }
        bounded("--lists", lists, MAX_SERVERS);
        System.out.println("servers     bytes    read us    take us  us/server");
        for (int each : sizes.isEmpty() ? USUAL_SIZES : sizes) {
            System.out.println(ListIntake.measure(each, lists));
        }
        return 0;
    }
}
