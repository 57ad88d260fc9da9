package beechseam.core;

import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.WorkerEndpoint;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The egress targets as discovery last listed them, and over that the maintenance that operators have set. A
 * target in
 * maintenance is shown as draining whatever discovery lists. One that has returned is shown as started at
 * its return, or
 * later where discovery says so: it may have restarted before discovery tells, and it warms up by use.
 */
public final class RouteTable {
    private final Map<Long, WorkerEndpoint> entries = new HashMap<>();
    private final Set<Long> inMaintenance = new HashSet<>();
    private final Map<Long, Long> returnedAt = new HashMap<>();

    /** Takes in a list: a full one removes what it lacks. Gives the changes as they are shown. */
    List<WorkerEndpoint> apply(EndpointUpdate form, List<WorkerEndpoint> changes) {
        if (form == EndpointUpdate.SNAPSHOT || form == EndpointUpdate.CACHED) {
            Set<Long> named = new HashSet<>();
            changes.forEach(change -> named.add(change.id()));
            entries.keySet().retainAll(named);
        }
        for (WorkerEndpoint change : changes) {
            if (change.state() == EndpointState.REMOVED) {
                entries.remove(change.id());
            } else {
                entries.put(change.id(), change);
            }
        }
        return changes.stream().map(this::shown).toList();
    }

    /** An operator's word on a target, listed or not; its entry as shown from now on, or null. */
    WorkerEndpoint setMaintenance(long target, boolean leaveOut, long backAt) {
        if (leaveOut) {
            inMaintenance.add(target);
            returnedAt.remove(target);
        } else {
            inMaintenance.remove(target);
            returnedAt.put(target, backAt);
        }
        WorkerEndpoint entry = entries.get(target);
        return entry == null ? null : shown(entry);
    }

    private WorkerEndpoint shown(WorkerEndpoint entry) {
        EndpointState state = entry.state() == EndpointState.READY && inMaintenance.contains(entry.id())
                ? EndpointState.DRAINING
                : entry.state();
        long startedNs = Math.max(entry.startedNs(), returnedAt.getOrDefault(entry.id(), 0L));
        return new WorkerEndpoint(
                entry.id(), entry.cell(), entry.zone(), entry.kind(), startedNs, state, entry.weight());
    }

    /** Whether new work may still go there: asked again just before an attempt's first byte. */
    public boolean acceptsNewWork(long target) {
        WorkerEndpoint entry = entries.get(target);
        return entry != null && entry.state() == EndpointState.READY && !inMaintenance.contains(target);
    }

    public boolean contains(long target) {
        return entries.containsKey(target);
    }

    /** The entry as discovery last listed it, or null. */
    public WorkerEndpoint listed(long target) {
        return entries.get(target);
    }

    Set<Long> ids() {
        return entries.keySet();
    }

    public int size() {
        return entries.size();
    }
}
