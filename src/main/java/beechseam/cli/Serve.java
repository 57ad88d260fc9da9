package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.config.GearmanConfig;
import beechseam.config.NodeConfig;
import beechseam.gearman.GearmanServer;
import beechseam.net.EventLoop;
import beechseam.platform.PlatformNode;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Runs a node until SIGTERM. */
@Parameters(commandDescription = "Run a node; the platform configures it by PROXY_CONFIG and other PROXY_ variables")
final class Serve extends Main.Command {
    private static final Logger LOG = System.getLogger(Serve.class.getName());
    /** Lock that serializes reloads of the configuration. */
    private static final Object RELOAD_LOCK = new Object();

    @Parameter(names = "--config", description = "The node's configuration file, instead of the one in PROXY_CONFIG")
    private String config;

    @Parameter(names = "--gearman", description = "The operator's file; starts a Gearman server with it")
    private String gearman;

    @Parameter(names = "--log-format", description = "Format of the log on standard error: text or json")
    private Logging.Format logFormat = Logging.Format.TEXT;

    @Parameter(names = "--log-level", description = "Lowest logged level: trace, debug, info, warning, error or off")
    private Logging.Threshold logLevel = Logging.Threshold.INFO;

    @Override
    int run() throws IOException, ConfigException {
        Logging.set(logFormat, logLevel);
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (config != null) {
            environment.put("PROXY_CONFIG", config);
        }
        boolean platformConfigured = isPlatformConfigured(environment);
        NodeConfig nodeConfig = platformConfigured ? NodeConfig.of(environment) : null;
        GearmanConfig gearmanConfig = gearmanConfig(platformConfigured);
        EventLoop loop = new EventLoop();
        PlatformNode[] reloaded = {null}; // SIGHUP may arrive before the node is created
        Signals.onSignal("HUP", () -> reload(loop, reloaded, environment));
        PlatformNode platform = nodeConfig == null ? null : new PlatformNode(loop, nodeConfig);
        reloaded[0] = platform;
        if (platform != null) {
            platform.reloadsFrom(() -> NodeConfig.reload(environment));
        }
        GearmanServer jobServer = gearmanConfig == null
                ? null
                : new GearmanServer(loop, gearmanConfig, nodeConfig == null ? System.nanoTime() : nodeConfig.seed());
        Runnable stop = stopAll(loop, platform, jobServer);
        if (jobServer != null) {
            jobServer.onShutDown(stop);
            if (gearman == null) {
                printFirstSteps(jobServer.address());
            }
        }
        Signals.onSignal("TERM", () -> loop.post(stop));
        Signals.onSignal("INT", () -> loop.post(stop));
        loop.run();
        printCounters(platform, jobServer);
        return 0;
    }

    /**
     * Whether a platform node is configured. Without an operator's file any PROXY_ variable configures one; with an
     * operator's file only PROXY_CONFIG does.
     */
    private boolean isPlatformConfigured(Map<String, String> environment) {
        if (gearman != null) {
            return environment.containsKey("PROXY_CONFIG");
        }
        return environment.keySet().stream().anyMatch(key -> key.startsWith("PROXY_"));
    }

    /** The job server's configuration, or null if none is started. */
    private GearmanConfig gearmanConfig(boolean platformConfigured) throws ConfigException {
        if (gearman != null) {
            return GearmanConfig.read(gearman);
        }
        return platformConfigured ? null : GearmanConfig.usual();
    }

    /** Returns an action that stops both front ends; the loop ends when the last of them has stopped. */
    private static Runnable stopAll(EventLoop loop, PlatformNode platform, GearmanServer jobServer) {
        int[] running = {(platform == null ? 0 : 1) + (jobServer == null ? 0 : 1)};
        Runnable stopped = () -> {
            if (--running[0] == 0) {
                loop.stop();
            }
        };
        return () -> {
            if (platform != null) {
                platform.stop(stopped);
            }
            if (jobServer != null) {
                jobServer.stop(stopped);
            }
        };
    }

    private static void printCounters(PlatformNode platform, GearmanServer jobServer) {
        if (platform != null) {
            System.out.println(platform.counters());
        }
        if (jobServer != null) {
            System.out.println(jobServer.figures());
        }
        System.out.flush();
    }

    /** Prints how to try out the server, for a first start without an operator's file. */
    private static void printFirstSteps(InetSocketAddress at) {
        String host = at.getAddress().getHostAddress();
        System.out.println("A Gearman job server listens on " + host + ":" + at.getPort()
                + ". Any function, jobs in memory; Ctrl-C ends it.\n"
                + "With the gearman command line tool, a worker and a first job:\n"
                + "  gearman -h " + host + " -p " + at.getPort() + " -w -f shout -- tr a-z A-Z\n"
                + "  echo hello | gearman -h " + host + " -p " + at.getPort() + " -f shout\n"
                + "What it holds: printf 'status\\n' | nc -w 1 " + host + " " + at.getPort()
                + "; for an operator's file see README.");
    }

    /**
     * Reads the configuration again, on the signal's thread, since reading a long file must not block the event
     * loop. Reloads are serialized, so that after several signals in quick succession the configuration read last
     * is also applied last. If the configuration is invalid, the node keeps its current one.
     *
     * @param platform holds the node once it has been created; only tasks of the loop read it
     */
    private static void reload(EventLoop loop, PlatformNode[] platform, Map<String, String> environment) {
        synchronized (RELOAD_LOCK) {
            try {
                NodeConfig next = NodeConfig.reload(environment);
                loop.post(() -> reload(platform[0], () -> platform[0].reload(next)));
            } catch (ConfigException e) {
                loop.post(() -> reload(platform[0], () -> platform[0].rejectReload(e.getMessage())));
            }
        }
    }

    private static void reload(PlatformNode platform, Runnable reload) {
        if (platform == null) {
            LOG.log(Level.WARNING, "reload ignored front_end=gearman reason=its file is read at the start only");
        } else {
            reload.run();
        }
    }
}
