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
@Parameters(commandDescription = "Run a node; the platform tells it how by PROXY_CONFIG and its companions")
final class Serve extends Main.Command {
    private static final Logger LOG = System.getLogger(Serve.class.getName());
    /** Held while a configuration is read. */
    private static final Object RELOADING = new Object();

    @Parameter(names = "--config", description = "The node's configuration, in place of PROXY_CONFIG")
    private String config;

    @Parameter(names = "--gearman", description = "An operator's file: serve Gearman's protocol by it")
    private String gearman;

    @Parameter(names = "--log-format", description = "text or json, on standard error")
    private Logging.Format logFormat = Logging.Format.TEXT;

    @Parameter(names = "--log-level", description = "trace, debug, info, warning, error or off")
    private Logging.Threshold logLevel = Logging.Threshold.INFO;

    @Override
    int run() throws IOException, ConfigException {
        Logging.set(logFormat, logLevel);
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (config != null) {
            environment.put("PROXY_CONFIG", config);
        }
        boolean platformWanted = isPlatformWanted(environment);
        NodeConfig nodeConfig = platformWanted ? NodeConfig.of(environment) : null;
        GearmanConfig gearmanConfig = gearmanConfig(platformWanted);
        EventLoop loop = new EventLoop();
        PlatformNode[] reloaded = {null}; // SIGHUP may come before the node is built
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
                greet(jobServer.address());
            }
        }
        Signals.onSignal("TERM", () -> loop.post(stop));
        Signals.onSignal("INT", () -> loop.post(stop));
        loop.run();
        printFigures(platform, jobServer);
        return 0;
    }

    /** Without an operator's file any variable of the platform's asks for a node, beside one only its configuration. */
    private boolean isPlatformWanted(Map<String, String> environment) {
        if (gearman != null) {
            return environment.containsKey("PROXY_CONFIG");
        }
        return environment.keySet().stream().anyMatch(key -> key.startsWith("PROXY_"));
    }

    /** The job server's configuration, or null where there is to be none. */
    private GearmanConfig gearmanConfig(boolean platformWanted) throws ConfigException {
        if (gearman != null) {
            return GearmanConfig.read(gearman);
        }
        return platformWanted ? null : GearmanConfig.usual();
    }

    /** Stops both front ends; the loop ends when the last of them has ended. */
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

    private static void printFigures(PlatformNode platform, GearmanServer jobServer) {
        if (platform != null) {
            System.out.println(platform.counters());
        }
        if (jobServer != null) {
            System.out.println(jobServer.figures());
        }
        System.out.flush();
    }

    /** For who starts it for the first time. */
    private static void greet(InetSocketAddress at) {
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
     * On the signal's thread: a long file takes its time, for which the loop must not stand still. One at a
     * time, so that of signals in quick handover the file as read last counts last. A configuration that
     * cannot be used leaves the node as it was.
     *
     * @param platform holds the node once there is one, which the loop's tasks see
     */
    private static void reload(EventLoop loop, PlatformNode[] platform, Map<String, String> environment) {
        synchronized (RELOADING) {
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
