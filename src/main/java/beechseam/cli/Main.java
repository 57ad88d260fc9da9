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

/** The command line. */
public final class Main {
    /** A sub-command: done when it returns. */
    abstract static class Command {
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "Show this command's options")
        private boolean help;

        /** Gives the process's exit status. */
        abstract int run() throws IOException, ConfigException;

        /** Refuses a count of the command line that is under 1 or over {@code most}, by its name. */
        static void bounded(String key, int value, int most) throws ConfigException {
            if (value < 1 || value > most) {
                throw new ConfigException(key, "must be from 1 to " + most + ", not " + value);
            }
        }
    }

    @Parameters(commandDescription = "Speak the simulator's wire on standard input and output")
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
            description = "Show what there is")
    private boolean help;

    private Main() {}

    /** Runs the command that the arguments name and exits with its status: 0, 1, or 2 for a faulty call. */
    public static void main(String[] args) {
        int status = run(args);
        if (status != 0) {
            System.exit(status);
        }
    }

    /**
     * Only the one that is named, or all: a node that starts need not load what measures and checks others.
     */
    private static Map<String, Command> commands(String first) {
        Map<String, Supplier<Command>> known = new LinkedHashMap<>();
        known.put("serve", Serve::new);
        known.put("wirehost", WireHost::new);
        known.put("import", Import::new);
        known.put("check-config", CheckConfig::new);
        known.put("schema", Schema::new);
        known.put("conformance", Conformance::new);
        known.put("load-gearman", LoadGearman::new);
        known.put("load-library", LoadLibrary::new);
        known.put("fleet-model", FleetModel::new);
        known.put("measure-lists", MeasureLists::new);
        known.put("version", Version::new);
        Map<String, Command> commands = new LinkedHashMap<>();
        known.forEach((name, make) -> {
            if (!known.containsKey(first) || name.equals(first)) {
                commands.put(name, make.get());
            }
        });
        return commands;
    }

    /** Carries out a command line; the process's exit status. */
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
