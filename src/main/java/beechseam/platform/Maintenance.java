package beechseam.platform;

import beechseam.core.Engine;
import beechseam.ops.MaintenanceFile;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** Which executors operators have left out, by the ids that discovery has listed. */
final class Maintenance {
    private final Engine engine;
    /** Where it is kept, or null. */
    private final MaintenanceFile kept;

    private final Map<String, Long> listed = new HashMap<>();
    private boolean unkept;
    /** When each was put back; 0 while it is left out. */
    private Map<String, Long> said = new LinkedHashMap<>();

    Maintenance(Engine engine, MaintenanceFile kept) {
        this.engine = engine;
        this.kept = kept;
    }

    /** Discovery, or the configuration, has listed it. */
    void listed(String id, long target) {
        listed.put(id, target);
    }

    /** Takes over what is kept in place of what has been said here. */
    void restore() {
        Map<String, Long> all = kept == null ? null : kept.read();
        if (all == null) {
            return;
        }
        said = all;
        all.forEach((id, back) -> {
            long target = Wire.target(id);
            if (target >= 0) {
                listed(id, target);
                // By the wall clock as it was then: one that lies ahead has been stepped since.
                engine.setMaintenance(target, back == 0, Math.min(back, engine.now()));
            }
        });
    }

    /**
     * Leaves the executor out, or puts it back; null where that is so now, else why not. One that the other
     * process of the node has been told is kept there.
     */
    String set(String id, boolean out, boolean keep) {
        Long target = listed.get(id);
        if (target == null) {
            return "no such executor was ever listed";
        }
        if (out != isOut(id)) {
            long back = out ? 0 : engine.now();
            said.put(id, back);
            engine.setMaintenance(target, out, back);
            unkept |= keep && kept != null;
        }
        unkept = unkept && !kept.write(said); // said again, it is kept if it can be now
        return unkept ? "done, but it could not be kept for a new process" : null;
    }

    boolean isOut(String id) {
        return said.getOrDefault(id, -1L) == 0;
    }
}
