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
import java.util.HashMap;
import java.util.Map;

/** Runs a node until SIGTERM. */
@Parameters(commandDescription = "Run a node; the platform tells it how by PROXY_CONFIG and its companions")
final class Serve implements Main.Command {
    @Parameter(names = "--config", description = "The node's configuration, in place of PROXY_CONFIG")
    private String config;

    @Parameter(names = "--gearman", description = "An operator's file: serve Gearman's protocol by it")
    private String gearman;

    @Override
    public void run() throws IOException, ConfigException {
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (config != null) {
            environment.put("PROXY_CONFIG", config);
        }
        boolean platformWanted = gearman == null || environment.containsKey("PROXY_CONFIG");
        NodeConfig node = platformWanted ? NodeConfig.of(environment) : null;
        GearmanConfig second = gearman == null ? null : GearmanConfig.read(gearman);
        EventLoop loop = new EventLoop();
        PlatformNode platform = node == null ? null : new PlatformNode(loop, node);
        GearmanServer jobServer = second == null ? null
            : new GearmanServer(loop, second, node == null ? System.nanoTime() : node.seed());
        int[] fronts = {(platform == null ? 0 : 1) + (jobServer == null ? 0 : 1)};
        Runnable stopped = () -> {
            if (--fronts[0] == 0) {
                loop.stop();
            }
        };
        serve(loop, () -> {
            if (platform != null) {
                platform.stop(stopped);
            }
            if (jobServer != null) {
                jobServer.stop(stopped);
            }
        });
        if (platform != null) {
            System.out.println(platform.counters());
        }
        if (jobServer != null) {
            System.out.println(jobServer.counters());
        }
        System.out.flush();
    }

    private static void serve(EventLoop loop, Runnable stop) throws IOException {
        Thread serving = Thread.currentThread();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            loop.post(stop);
            try {
                serving.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stop"));
        loop.run();
    }
}
