package beechseam.cli;

import beechseam.config.ConfigException;
import beechseam.importer.ImportException;
import beechseam.importer.Importer;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Prints the workers in another load balancer's file as a list in discovery's format. */
@Parameters(
        commandDescription = "Print the workers in an Apache balancer or mod_jk file as a list in discovery's format")
final class Import extends Main.Command {
    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(names = "--form", description = "Format of the file: auto, apache or modjk")
    private Importer.Form form = Importer.Form.AUTO;

    @Parameter(names = "--zone", description = "Zone of workers for which the file names none")
    private String zone = "-";

    @Override
    int run() throws IOException, ConfigException {
        Importer importer = new Importer();
        StringWriter list = new StringWriter();
        try {
            importer.write(importer.read(Files.readString(Path.of(file)), form, zone), list);
        } catch (ImportException e) {
            throw new ConfigException(file, e.getMessage());
        }
        importer.warnings().forEach(each -> System.err.println("beechseam: " + each));
        PrintWriter out = new PrintWriter(System.out, true);
        out.println(list);
        return 0;
    }
}
