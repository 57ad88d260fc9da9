package beechseam.core;

import beechseam.Dispatching.ListForm;
import beechseam.Dispatching.State;
import beechseam.Dispatching.Worker;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The egress targets as the node was last told of them. */
public final class RouteTable {
    private final Map<Long, Worker> rows = new HashMap<>();

    /** Takes in a list: a full one removes what it lacks. */
    void apply(ListForm form, List<Worker> lines) {
        if (form == ListForm.FULL || form == ListForm.CACHED) {
            Set<Long> named = new HashSet<>();
            lines.forEach(line -> named.add(line.id()));
            rows.keySet().retainAll(named);
        }
        for (Worker line : lines) {
            if (line.state() == State.GONE) {
                rows.remove(line.id());
            } else {
                rows.put(line.id(), line);
            }
        }
    }

    /** Whether new work may still go there: asked again just before a hop's first byte. */
    public boolean serving(long target) {
        Worker row = rows.get(target);
        return row != null && row.state() == State.READY;
    }

    public boolean knows(long target) {
        return rows.containsKey(target);
    }

    public int size() {
        return rows.size();
    }
}
