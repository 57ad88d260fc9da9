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

/** Converts the workers in an Apache balancer or mod_jk file to a list in discovery's format. */
public final class Importer {
    /** Format of a file; {@code AUTO} detects it from the content. */
    public enum Form {
        AUTO,
        APACHE,
        MODJK
    }

    private final List<String> warnings = new ArrayList<>();

    /** Messages about workers that were not imported, or whose address a node does not accept. */
    public List<String> warnings() {
        return warnings;
    }

    /**
     * Reads a file of the given format and collects warnings.
     *
     * @param zone zone of workers for which the file names none
     * @throws ImportException if the file is invalid, has an unknown format, or contains no worker to import
     */
    public List<Route> read(String text, Form form, String zone) throws ImportException {
        Form detected = form != Form.AUTO
                ? form
                : ApacheBalancer.looksLike(text) ? Form.APACHE : ModJkWorkers.looksLike(text) ? Form.MODJK : null;
        if (detected == null) {
            throw new ImportException("neither an Apache balancer nor a mod_jk worker file");
        }
        List<Route> routes = detected == Form.APACHE
                ? ApacheBalancer.read(text, zone, warnings)
                : ModJkWorkers.read(text, zone, warnings);
        if (routes.isEmpty()) {
            throw new ImportException("no worker to import was found");
        }
        for (Route r : routes) {
            if (!r.address().matches("[0-9.]+:\\d+|\\[.*")) {
                warnings.add(r.name() + ": " + r.address() + " is a host name; a node requires an IP address");
            }
        }
        return routes;
    }

    /**
     * Writes the list as JSON, in the format of {@code known} in a node's configuration.
     *
     * @throws ImportException if a worker is listed twice
     */
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
                    throw new ImportException(r.name() + " at " + r.address() + ": the worker is listed twice");
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

    /** Derives the id from kind, name and address only, so that it is the same on every node and in every run. */
    private static String id(Route r) {
        CRC32 sum = new CRC32();
        sum.update((r.kind() + "\0" + r.name() + "\0" + r.address()).getBytes(StandardCharsets.UTF_8));
        return String.format("s-%08x", sum.getValue());
    }
}
