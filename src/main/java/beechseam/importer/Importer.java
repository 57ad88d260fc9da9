package beechseam.importer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32;

/** Takes over the workers of Apache's balancer or mod_jk files as a list in discovery's form. */
public final class Importer {
    /** What kind of file it is; {@code AUTO} looks. */
    public enum Form {
        AUTO,
        APACHE,
        MODJK
    }

    private final List<String> warnings = new ArrayList<>();

    /** What was left out or changed, in plain words. */
    public List<String> warnings() {
        return warnings;
    }

    /** Reads a file of that form; workers get the zone where the file names none. Warnings are kept beside. */
    public List<Route> read(String text, Form form, String zone) throws ImportException {
        Form found = form != Form.AUTO
                ? form
                : ApacheBalancer.looksLike(text) ? Form.APACHE : ModJkWorkers.looksLike(text) ? Form.MODJK : null;
        if (found == null) {
            throw new ImportException("neither an Apache balancer nor a mod_jk worker file");
        }
        List<Route> routes = found == Form.APACHE
                ? ApacheBalancer.read(text, zone, warnings)
                : ModJkWorkers.read(text, zone, warnings);
        if (routes.isEmpty()) {
            throw new ImportException("no worker to take over was found");
        }
        for (Route r : routes) {
            if (!r.address().matches("[0-9.]+:\\d+|\\[.*")) {
                warnings.add(r.name() + ": " + r.address() + " is a name; a node wants an IP address");
            }
        }
        return routes;
    }

    /** The list as JSON, such as {@code known} in a node's configuration holds. */
    public void write(List<Route> routes, Writer out) throws IOException, ImportException {
        Set<String> ids = new HashSet<>();
        try (JsonGenerator json = new JsonFactory().createGenerator(out).useDefaultPrettyPrinter()) {
            json.writeStartObject();
            json.writeNumberField("version", 1);
            json.writeBooleanField("full", true);
            json.writeArrayFieldStart("servers");
            for (Route r : routes) {
                String id = id(r);
                if (!ids.add(id)) {
                    throw new ImportException(r.name() + " at " + r.address() + ": there already");
                }
                json.writeStartObject();
                json.writeStringField("id", id);
                json.writeStringField("addr", r.address());
                json.writeStringField("zone", r.zone());
                json.writeStringField("kind", r.kind());
                json.writeNumberField("cell", r.cell());
                json.writeStringField("state", r.draining() ? "DRAINING" : "SERVING");
                json.writeNumberField("weight", r.weight());
                json.writeNumberField("started_ms", 0);
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
    }

    /** The same on every node and in every run: it comes of the name and address alone. */
    private static String id(Route r) {
        CRC32 sum = new CRC32();
        sum.update((r.kind() + "\0" + r.name() + "\0" + r.address()).getBytes(StandardCharsets.UTF_8));
        return String.format("s-%08x", sum.getValue());
    }
}
