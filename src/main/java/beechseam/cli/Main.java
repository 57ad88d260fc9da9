package beechseam.cli;

import beechseam.config.ConfigException;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Entry point of the program: parses the command line and runs the command that it names. */
public final class Main {
    /** A subcommand, whose annotated fields are its options. */
    abstract static class Command {
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "Show this command's options")
        private boolean help;

        /** Runs the command to its end and returns the exit status of the process. */
        abstract int run() throws IOException, ConfigException;

        /** Rejects a count on the command line that is below 1 or above {@code maximum}; the error names its key. */
        static void checkCount(String key, int value, int maximum) throws ConfigException {
            if (value < 1 || value > maximum) {
                throw new ConfigException(key, "must be from 1 to " + maximum + ", not " + value);
            }
        }
    }

    @Parameters(commandDescription = "Speak the simulator's protocol on standard input and output")
    private static final class WireHost extends Command {
        @Override
        int run() {
            beechseam.sim.Adapter.main(new String[0]);
            return 0;
        }
    }

    @Parameters(commandDescription = "Print the version")
    private static final class Version extends Command {
        @Override
        int run() {
            String version = Main.class.getPackage().getImplementationVersion();
            System.out.println("beechseam " + (version == null ? "(not packaged)" : version));
            return 0;
        }
    }

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Show the commands")
    private boolean help;

    private Main() {}

    /**
     * Runs the command that the arguments name and exits with its status: 0 for success, 1 for a failure, 2 for
     * invalid arguments or an invalid configuration.
     */
    public static void main(String[] args) {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /**
     * Creates the command of this name, or all commands if there is none. A starting node thus does not load the
     * classes of the other commands.
     */
    private static Map<String, Command> commands(String requested) {
        Map<String, Supplier<Command>> factories = new LinkedHashMap<>();
        factories.put("serve", Serve::new);
        factories.put("wirehost", WireHost::new);
        factories.put("import", Import::new);
        factories.put("check-config", CheckConfig::new);
        factories.put("schema", Schema::new);
        factories.put("conformance", Conformance::new);
        factories.put("load-gearman", LoadGearman::new);
        factories.put("load-library", LoadLibrary::new);
        factories.put("fleet-model", FleetModel::new);
        factories.put("measure-lists", MeasureLists::new);
        factories.put("version", Version::new);
        Map<String, Command> commands = new LinkedHashMap<>();
        factories.forEach((name, factory) -> {
            if (!factories.containsKey(requested) || name.equals(requested)) {
                commands.put(name, factory.get());
            }
        });
        return commands;
    }

    /** Runs a command line and returns the exit status of the process. */
    static int run(String... args) {
        Map<String, Command> commands = commands(args.length > 0 ? args[0] : "");
        Main main = new Main();
        JCommander.Builder builder =
                JCommander.newBuilder().programName("beechseam").addObject(main);
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        try {
            parser.parse(args);
            Command command = commands.get(parser.getParsedCommand());
            if (main.help || command == null) {
                parser.usage();
                return main.help ? 0 : 2;
            }
            if (command.help) {
                parser.getCommands().get(parser.getParsedCommand()).usage();
                return 0;
            }
            return command.run();
        } catch (ParameterException e) {
            System.err.println("beechseam: " + e.getMessage() + " (see beechseam --help)");
            return 2;
        } catch (ConfigException e) {
            System.err.println("beechseam: configuration: " + e.getMessage());
            return 2;
        } catch (IOException e) {
            System.err.println("beechseam: " + e.getMessage());
            return 1;
        }
    }
}
