package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.load.LibraryLoad;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.Map;

/**
 * Measures the library with simulated workers in this process. Exit status 1 means that outcomes were missing or
 * wrong.
 */
@Parameters(commandDescription = "Dispatch through the library under load and check every outcome")
final class LoadLibrary extends Main.Command {
    @Parameter(names = "--dispatches", description = "Number of dispatches")
    private int dispatches = 1_000_000;

    @Parameter(names = "--threads", description = "Number of dispatching threads")
    private int threads = 8;

    @Parameter(names = "--workers", description = "Number of simulated workers")
    private int workers = 32;

    @Parameter(names = "--seed", description = "Seed of the workers' behaviour")
    private long seed = 4730;

    @Override
    int run() throws IOException, ConfigException {
        checkCount("--dispatches", dispatches, 100_000_000);
        checkCount("--threads", threads, 256);
        checkCount("--workers", workers, 10_000);
        try {
            LibraryLoad load = new LibraryLoad(System.err::println);
            System.out.println("overhead " + load.overhead(Math.min(dispatches, 50_000)));
            Map<String, Object> accounts = load.accounts(dispatches, threads, workers, seed);
            System.out.println("accounts " + accounts);
            return ((Number) accounts.get("wrong")).longValue() == 0 ? 0 : 1;
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }
}
