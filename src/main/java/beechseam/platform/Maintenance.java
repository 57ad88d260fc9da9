package beechseam.platform;

import beechseam.core.Engine;
import beechseam.ops.MaintenanceFile;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which executors operators have taken out of service. An id counts once discovery has listed it, also after it
 * has gone from the list; what operators said is written to the file, for the next process of the node.
 */
final class Maintenance {
    private final Engine engine;
    /** Null if nothing is to be stored. */
    private final MaintenanceFile file;

    private final Map<String, Long> targetById = new HashMap<>();
    /** Whether the last change is still to be written. */
    private boolean unwritten;
    /** When each was put back, by the event loop's clock in nanoseconds; 0 while it is out of service. */
    private Map<String, Long> restoredNsById = new LinkedHashMap<>();

    /** {@code file} is null if nothing is to be stored. */
    Maintenance(Engine engine, MaintenanceFile file) {
        this.engine = engine;
        this.file = file;
    }

    /** Discovery or the configuration has listed an executor; {@code target} is its number in the engine. */
    void listed(String id, long target) {
        targetById.put(id, target);
    }

    /** Replaces what operators said here by the file's content, if it can be read. */
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
                // A time in the future shows that the wall clock has been set back since.
                engine.setMaintenance(target, restoredNs == 0, Math.min(restoredNs, engine.now()));
            }
        });
    }

    /**
     * Takes an executor out of service or puts it back.
     *
     * @param id    the executor's id
     * @param out   whether it goes out of service
     * @param store whether this process writes the file; a call from a peer is written by that peer
     * @return null if it is done and written, else the reason as operators read it
     */
    String set(String id, boolean out, boolean store) {
        Long target = targetById.get(id);
        if (target == null) {
            return "no such executor was ever listed";
        }
        if (out != isOut(id)) {
            long restoredNs = out ? 0 : engine.now();
            restoredNsById.put(id, restoredNs);
            engine.setMaintenance(target, out, restoredNs);
            unwritten |= store && file != null;
        }
        // A call that is repeated also repeats a write that failed.
        unwritten = unwritten && !file.write(restoredNsById);
        return unwritten ? "done, but it could not be kept for a new process" : null;
    }

    /** Whether operators have taken the executor out of service; false for an unknown id. */
    boolean isOut(String id) {
        return restoredNsById.getOrDefault(id, -1L) == 0;
    }
}
