package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.config.NodeConfig;
import beechseam.core.Counters;
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

    @Override
    public void run() throws IOException, ConfigException {
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (config != null) {
            environment.put("PROXY_CONFIG", config);
        }
        NodeConfig node = NodeConfig.of(environment);
        EventLoop loop = new EventLoop();
        PlatformNode platform = new PlatformNode(loop, node);
        serve(loop, platform::stop, platform.counters());
    }

    private static void serve(EventLoop loop, Runnable stop, Counters counters) throws IOException {
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
        System.out.println(counters);
        System.out.flush();
    }
}
