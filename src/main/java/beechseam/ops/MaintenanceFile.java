package beechseam.ops;

import beechseam.config.Json;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;

/** What operators said of executors and a new process must know: a file, written aside and moved. */
public final class MaintenanceFile {
    private static final Logger LOG = System.getLogger(MaintenanceFile.class.getName());

    private final Path file;

    /** {@code node} tells apart the nodes that share the directory. */
    public MaintenanceFile(Path directory, String node) {
        file = directory.resolve("beechseam-" + node + "-maintenance.json");
    }

    /**
     * By executor, when it was put back, in the clock's time; 0 where it is left out. Null where nothing has
     * been kept, or nothing that can be read: that is logged, and the start goes on.
     */
    public Map<String, Long> read() {
        try {
            byte[] text = Files.readAllBytes(file);
            if (Json.parse(text, 0, text.length) instanceof Map<?, ?> map) {
                Map<String, Long> all = new LinkedHashMap<>();
                for (Map.Entry<?, ?> each : map.entrySet()) {
                    if (!(each.getValue() instanceof Number back)) {
                        throw new IOException(each.getKey() + " has no time");
                    }
                    all.put((String) each.getKey(), back.longValue());
                }
                return all;
            }
            throw new IOException("not an object");
        } catch (NoSuchFileException e) {
            return null; // nothing was ever said
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.ERROR, "maintenance as kept cannot be read, nobody is left out: " + e.getMessage());
            return null;
        }
    }

    /** Keeps it; false, and logged, where that fails. */
    public boolean write(Map<String, Long> all) {
        Path aside = null;
        try {
            aside = Files.createTempFile(file.getParent(), file.getFileName().toString(), ".new");
            try (OutputStream out = Files.newOutputStream(aside);
                    JsonGenerator json = Json.FACTORY.createGenerator(out)) {
                json.writeStartObject();
                for (Map.Entry<String, Long> each : all.entrySet()) {
                    json.writeNumberField(each.getKey(), each.getValue());
                }
                json.writeEndObject();
            }
            try (FileChannel written = FileChannel.open(aside, StandardOpenOption.WRITE)) {
                written.force(true); // or the move could outlive what it moves
            }
            Files.move(aside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            return true;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.ERROR, "maintenance cannot be kept: " + e.getMessage());
            try {
                if (aside != null) {
                    Files.deleteIfExists(aside);
                }
            } catch (IOException further) {
                LOG.log(Level.DEBUG, "the file written aside stays", further);
            }
            return false;
        }
    }
}
