package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.load.LibraryLoad;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.Map;

/** Measures the library with stand-in workers in this process. Exit status 1: its accounts do not add up. */
@Parameters(commandDescription = "Dispatch through the library under load, and account for every outcome")
final class LoadLibrary extends Main.Command {
    @Parameter(names = "--dispatches", description = "How many")
    private int dispatches = 1_000_000;

    @Parameter(names = "--threads", description = "From how many threads")
    private int threads = 8;

    @Parameter(names = "--workers", description = "Through how many stand-in workers")
    private int workers = 32;

    @Parameter(names = "--seed", description = "For what the workers do")
    private long seed = 4730;

    @Override
    int run() throws IOException, ConfigException {
        bounded("--dispatches", dispatches, 100_000_000);
        bounded("--threads", threads, 256);
        bounded("--workers", workers, 10_000);
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
