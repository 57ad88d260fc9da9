package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.config.GearmanConfig;
import beechseam.config.NodeConfig;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.HashMap;
import java.util.Map;

/** Validates a configuration as {@code serve} does and reports the first error. */
@Parameters(commandDescription = "Check a node's configuration without starting it")
final class CheckConfig extends Main.Command {
    @Parameter(names = "--config", description = "The node's configuration file, instead of the one in PROXY_CONFIG")
    private String config;

    @Parameter(names = "--gearman", description = "The operator's file for the Gearman server")
    private String gearman;

    @Override
    int run() throws ConfigException {
        Map<String, String> environment = new HashMap<>(System.getenv());
        if (config != null) {
            environment.put("PROXY_CONFIG", config);
        }
        if (gearman != null) {
            GearmanConfig gearmanConfig = GearmanConfig.read(gearman);
            System.out.println("good: " + gearmanConfig.name() + " on " + gearmanConfig.listen() + ", "
                    + gearmanConfig.functions().size() + " functions");
            if (!environment.containsKey("PROXY_CONFIG")) {
                return 0;
            }
        }
        NodeConfig node = NodeConfig.of(environment);
        System.out.println("good: " + node.name() + " on " + node.listen() + ", "
                + node.options().settings.classes().size() + " classes, "
                + node.known().servers().size()
                + " servers known");
        return 0;
    }
}
