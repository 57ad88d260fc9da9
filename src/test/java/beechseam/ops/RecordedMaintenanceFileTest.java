package beechseam.ops;

import static org.junit.jupiter.api.Assertions.*;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that the maintenance file of a process of version 16ef30c is read, and written again with the same bytes. */
class RecordedMaintenanceFileTest {
    private static final String NODE = "127.0.0.1:8080";
    private static final String FILE_NAME = "beechseam-127.0.0.1:8080-maintenance.json";

    @TempDir
    private Path directory;

    private static Map<String, Long> recordedEntries() {
        Map<String, Long> entries = new LinkedHashMap<>();
        entries.put("s-17", 0L);
        entries.put("s-\"2", 1L << 60);
        return entries;
    }

    @Test
    void recordedFileIsReadAndWrittenAgainWithItsBytes() throws IOException {
        Files.write(directory.resolve(FILE_NAME), Recordings.read("maintenance.json"));
        Map<String, Long> read = new MaintenanceFile(directory, NODE).read();
        assertEquals(recordedEntries(), read);
        Path otherDirectory = Files.createDirectory(directory.resolve("next"));
        assertTrue(new MaintenanceFile(otherDirectory, NODE).write(read));
        assertArrayEquals(Recordings.read("maintenance.json"), Files.readAllBytes(otherDirectory.resolve(FILE_NAME)));
    }

    @Test
    void sameEntriesAreWrittenWithTheRecordedBytesAndFileName() throws IOException {
        assertTrue(new MaintenanceFile(directory, NODE).write(recordedEntries()));
        try (var files = Files.list(directory)) {
            assertEquals(
                    List.of(FILE_NAME),
                    files.map(each -> each.getFileName().toString()).toList());
        }
        assertArrayEquals(Recordings.read("maintenance.json"), Files.readAllBytes(directory.resolve(FILE_NAME)));
    }
}
