package beechseam.cli;

import beechseam.config.GearmanConfig;
import beechseam.config.JsonSchema;
import com.beust.jcommander.Parameters;
import java.io.IOException;

/** Prints the JSON Schema of the operator's file, generated from the keys that the program reads. */
@Parameters(commandDescription = "Print the JSON Schema of the operator's file for Gearman")
final class Schema extends Main.Command {
    @Override
    int run() throws IOException {
        System.out.print(JsonSchema.of(GearmanConfig.sample(), "beechseam: operator's file for Gearman"));
        return 0;
    }
}
