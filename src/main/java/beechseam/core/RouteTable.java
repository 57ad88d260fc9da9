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
 * The targets as discovery last listed them, with the maintenance that operators have set as an overlay. A target in
 * maintenance is effectively draining whatever discovery lists. One that has returned is effectively started at its
 * return, or later where discovery says so: it may have restarted before discovery reports it, and it warms up by
 * use.
 */
public final class RouteTable {
    private final Map<Long, WorkerEndpoint> entries = new HashMap<>();
    private final Set<Long> inMaintenance = new HashSet<>();
    private final Map<Long, Long> returnedAtNs = new HashMap<>();

    /** Applies an update, of which a full one removes what it lacks; the changed entries as they are in effect. */
    List<WorkerEndpoint> apply(EndpointUpdate update, List<WorkerEndpoint> changes) {
        if (update == EndpointUpdate.SNAPSHOT || update == EndpointUpdate.CACHED) {
            Set<Long> listedIds = new HashSet<>();
            changes.forEach(change -> listedIds.add(change.id()));
            entries.keySet().retainAll(listedIds);
        }
        for (WorkerEndpoint change : changes) {
            if (change.state() == EndpointState.REMOVED) {
                entries.remove(change.id());
            } else {
                entries.put(change.id(), change);
            }
        }
        return changes.stream().map(this::effective).toList();
    }

    /**
     * Sets maintenance of a target, listed or not; its entry as it is in effect from now on, or null when not
     * listed.
     */
    WorkerEndpoint setMaintenance(long target, boolean maintenance, long returnedNs) {
        if (maintenance) {
            inMaintenance.add(target);
            returnedAtNs.remove(target);
        } else {
            inMaintenance.remove(target);
            returnedAtNs.put(target, returnedNs);
        }
        WorkerEndpoint entry = entries.get(target);
        return entry == null ? null : effective(entry);
    }

    private WorkerEndpoint effective(WorkerEndpoint entry) {
        EndpointState state = entry.state() == EndpointState.READY && inMaintenance.contains(entry.id())
                ? EndpointState.DRAINING
                : entry.state();
        long startedNs = Math.max(entry.startedNs(), returnedAtNs.getOrDefault(entry.id(), 0L));
        return new WorkerEndpoint(
                entry.id(), entry.cell(), entry.zone(), entry.kind(), startedNs, state, entry.weight());
    }

    /**
     * Whether new work may go to the target: it is listed, ready and not in maintenance. Asked again just before an
     * attempt's first byte.
     */
    public boolean acceptsNewWork(long target) {
        WorkerEndpoint entry = entries.get(target);
        return entry != null && entry.state() == EndpointState.READY && !inMaintenance.contains(target);
    }

    /** Whether discovery lists the target, whatever its state. */
    public boolean contains(long target) {
        return entries.containsKey(target);
    }

    /** The entry as discovery last listed it, maintenance left aside, or null when it is not listed. */
    public WorkerEndpoint listed(long target) {
        return entries.get(target);
    }

    /** The ids of all listed targets; a view. */
    Set<Long> ids() {
        return entries.keySet();
    }

    /** How many targets are listed, whatever their state. */
    public int size() {
        return entries.size();
    }
}
