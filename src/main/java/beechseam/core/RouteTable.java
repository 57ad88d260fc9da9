package beechseam.core;

import beechseam.Dispatching.ListForm;
import beechseam.Dispatching.State;
import beechseam.Dispatching.Worker;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The egress targets as the node was last told of them, and over that what operators have said: one left out
 * is shown as draining whatever discovery lists. One put back is shown as started then, or later where it
 * was: it may have restarted without news of it yet, and it has warmed by no use.
 */
public final class RouteTable {
    private final Map<Long, Worker> rows = new HashMap<>();
    private final Set<Long> out = new HashSet<>();
    private final Map<Long, Long> back = new HashMap<>();

    /** Takes in a list: a full one removes what it lacks. Gives the lines as they are shown. */
    List<Worker> apply(ListForm form, List<Worker> lines) {
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
        return lines.stream().map(this::shown).toList();
    }

    /** An operator's word on a target, listed or not; its row as shown from now on, or null. */
    Worker maintain(long target, boolean leaveOut, long backAt) {
        if (leaveOut) {
            out.add(target);
            back.remove(target);
        } else {
            out.remove(target);
            back.put(target, backAt);
        }
        Worker row = rows.get(target);
        return row == null ? null : shown(row);
    }

    private Worker shown(Worker row) {
        State state = row.state() == State.READY && out.contains(row.id()) ? State.DRAINING : row.state();
        long born = Math.max(row.bornNs(), back.getOrDefault(row.id(), 0L));
        return new Worker(row.id(), row.cell(), row.zone(), row.kind(), born, state, row.weight());
    }

    /** Whether new work may still go there: asked again just before an attempt's first byte. */
    public boolean serving(long target) {
        Worker row = rows.get(target);
        return row != null && row.state() == State.READY && !out.contains(target);
    }

    public boolean knows(long target) {
        return rows.containsKey(target);
    }

    /** The row as discovery last listed it, or null. */
    public Worker listed(long target) {
        return rows.get(target);
    }

    Set<Long> ids() {
        return rows.keySet();
    }

    public int size() {
        return rows.size();
    }
}
