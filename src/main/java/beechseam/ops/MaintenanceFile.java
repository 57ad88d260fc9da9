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

/**
 * The file that stores operators' maintenance calls for the next process of a node: a JSON object of executor ids and
 * times. The content is written to a temporary file, forced to disk and renamed, so that a reader sees either the old
 * content or the new one.
 */
public final class MaintenanceFile {
    private static final Logger LOG = System.getLogger(MaintenanceFile.class.getName());

    private final Path file;

    /**
     * Sets the path of the file; neither reads nor writes it.
     *
     * @param directory the state directory of the node
     * @param node      identifies the node among those that share the directory; must be valid in a file name
     */
    public MaintenanceFile(Path directory, String node) {
        file = directory.resolve("beechseam-" + node + "-maintenance.json");
    }

    /**
     * Reads the file.
     *
     * @return a map from executor id, in unspecified order, to the time at which the executor was put back into
     *     service, in nanoseconds since the epoch, or 0 for an executor in maintenance; null if there is no file, or if
     *     it cannot be read, which is logged
     */
    public Map<String, Long> read() {
        try {
            byte[] content = Files.readAllBytes(file);
            if (Json.parse(content, 0, content.length) instanceof Map<?, ?> map) {
                Map<String, Long> entries = new LinkedHashMap<>();
                for (Map.Entry<?, ?> each : map.entrySet()) {
                    if (!(each.getValue() instanceof Number restoredNs)) {
                        throw new IOException(each.getKey() + " has no number as its time");
                    }
                    entries.put((String) each.getKey(), restoredNs.longValue());
                }
                return entries;
            }
            throw new IOException("the content is not a JSON object");
        } catch (NoSuchFileException e) {
            return null; // no maintenance call has been stored yet
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.ERROR, "maintenance file unreadable reason=" + e.getMessage());
            return null;
        }
    }

    /**
     * Replaces the file's content.
     *
     * @param entries the new content, in the form that {@link #read} returns
     * @return false if the write failed, which is logged; the file then keeps its old content
     */
    public boolean write(Map<String, Long> entries) {
        Path temporary = null;
        try {
            temporary =
                    Files.createTempFile(file.getParent(), file.getFileName().toString(), ".new");
            try (OutputStream out = Files.newOutputStream(temporary);
                    JsonGenerator json = Json.FACTORY.createGenerator(out)) {
                json.writeStartObject();
                for (Map.Entry<String, Long> each : entries.entrySet()) {
                    json.writeNumberField(each.getKey(), each.getValue());
                }
                json.writeEndObject();
            }
            try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
                channel.force(true); // without this a crash could leave the renamed file empty
            }
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            return true;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.ERROR, "maintenance file not written reason=" + e.getMessage());
            try {
                if (temporary != null) {
                    Files.deleteIfExists(temporary);
                }
            } catch (IOException suppressed) {
                LOG.log(Level.DEBUG, "temporary maintenance file not removed file=" + temporary, suppressed);
            }
            return false;
        }
    }
}
