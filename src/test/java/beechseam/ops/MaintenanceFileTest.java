package beechseam.ops;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MaintenanceFileTest {
    @TempDir
    private Path directory;

    @Test
    void whatIsWrittenIsReadByTheNextProcessAndNothingElseStays() throws Exception {
        MaintenanceFile kept = new MaintenanceFile(directory, "n");
        assertNull(kept.read(), "nothing was ever said");
        assertTrue(kept.write(Map.of("s-1", 7L)) && kept.write(Map.of("s-1", 0L, "s-\"2", 1L << 60)));
        assertEquals(Map.of("s-1", 0L, "s-\"2", 1L << 60), new MaintenanceFile(directory, "n").read());
        assertNull(new MaintenanceFile(directory, "other").read());
        try (var files = Files.list(directory)) {
            assertEquals(1, files.count(), "what is written aside is moved");
        }
    }

    /** Half a file, or somebody else's, must not keep a node from starting. */
    @ParameterizedTest
    @ValueSource(strings = {"", "{\"s-1\":", "[]", "{\"s-1\":\"now\"}", "\u0000\u0001"})
    void aFileThatMakesNoSenseIsPassedOver(String text) throws Exception {
        MaintenanceFile kept = new MaintenanceFile(directory, "n");
        assertTrue(kept.write(Map.of()));
        try (var files = Files.list(directory)) {
            Files.writeString(files.findFirst().orElseThrow(), text);
        }
        assertNull(kept.read());
        assertFalse(new MaintenanceFile(directory.resolve("gone"), "n").write(Map.of("s-1", 0L)));
    }
}
