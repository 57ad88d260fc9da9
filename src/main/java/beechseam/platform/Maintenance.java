package beechseam.platform;

import beechseam.core.Engine;
import beechseam.ops.MaintenanceFile;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records which executors operators have taken out of service. Operators can name an executor once discovery has
 * listed it, even if it is no longer on the list. Each change is written to a file for the node's next process.
 */
final class Maintenance {
    private final Engine engine;
    /** Null if nothing is to be stored. */
    private final MaintenanceFile file;

    private final Map<String, Long> targetById = new HashMap<>();
    /** Whether the last change has not been written to the file. */
    private boolean unwritten;
    /** When each executor was put back, by the event loop's clock in nanoseconds; 0 while it is out of service. */
    private Map<String, Long> restoredNsById = new LinkedHashMap<>();

    /** {@code file} is null if nothing is to be stored. */
    Maintenance(Engine engine, MaintenanceFile file) {
        this.engine = engine;
        this.file = file;
    }

    /**
     * Registers an executor that discovery or the configuration has listed; {@code target} is its number in the
     * engine.
     */
    void listed(String id, long target) {
        targetById.put(id, target);
    }

    /** Replaces the recorded changes by the file's content, if the file can be read. */
    void restore() {
        Map<String, Long> stored = file == null ? null : file.read();
        if (stored == null) {
            return;
        }
        restoredNsById = stored;
        stored.forEach((id, restoredNs) -> {
            long target = Wire.target(id);
            if (target >= 0) {
                listed(id, target);
                // A time in the future means that the wall clock has been set back since the file was written.
                engine.setMaintenance(target, restoredNs == 0, Math.min(restoredNs, engine.now()));
            }
        });
    }

    /**
     * Takes an executor out of service or puts it back.
     *
     * @param id           the executor's id
     * @param outOfService whether the executor goes out of service
     * @param store        whether this process writes the file; a call from a peer is written by that peer
     * @return null if the change is applied and written, else the error for the operator
     */
    String set(String id, boolean outOfService, boolean store) {
        Long target = targetById.get(id);
        if (target == null) {
            return "no such executor was ever listed";
        }
        if (outOfService != isOutOfService(id)) {
            long restoredNs = outOfService ? 0 : engine.now();
            restoredNsById.put(id, restoredNs);
            engine.setMaintenance(target, outOfService, restoredNs);
            unwritten |= store && file != null;
        }
        // A repeated call also retries a write that failed.
        unwritten = unwritten && !file.write(restoredNsById);
        return unwritten ? "done, but it could not be kept for a new process" : null;
    }

    /** Whether operators have taken the executor out of service; false for an unknown id. */
    boolean isOutOfService(String id) {
        return restoredNsById.getOrDefault(id, -1L) == 0;
    }
}
