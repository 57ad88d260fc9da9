package beechseam.ops;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the maintenance file, which one process writes and the next one reads. */
class MaintenanceFileTest {
    @TempDir
    private Path directory;

    @Test
    void entriesAreReadBackAndNoTemporaryFileRemains() throws Exception {
        MaintenanceFile file = new MaintenanceFile(directory, "n");
        assertNull(file.read(), "no file has been written yet");
        assertTrue(file.write(Map.of("s-1", 7L)) && file.write(Map.of("s-1", 0L, "s-\"2", 1L << 60)));
        assertEquals(Map.of("s-1", 0L, "s-\"2", 1L << 60), new MaintenanceFile(directory, "n").read());
        assertNull(new MaintenanceFile(directory, "other").read());
        try (var files = Files.list(directory)) {
            assertEquals(1, files.count(), "the temporary file is renamed");
        }
    }

    /** Guards against a node that cannot start because the file is truncated or has other content. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{\"s-1\":", "[]", "{\"s-1\":\"now\"}", "\u0000\u0001"})
    void invalidFileIsIgnored(String text) throws Exception {
        MaintenanceFile file = new MaintenanceFile(directory, "n");
        assertTrue(file.write(Map.of()));
        try (var files = Files.list(directory)) {
            Files.writeString(files.findFirst().orElseThrow(), text);
        }
        assertNull(file.read());
        assertFalse(new MaintenanceFile(directory.resolve("missing"), "n").write(Map.of("s-1", 0L)));
    }
}
