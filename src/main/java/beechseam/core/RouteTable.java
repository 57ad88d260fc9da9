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
 * The targets as discovery last listed them, overlaid with the maintenance that operators have set. A target in
 * maintenance counts as draining whatever discovery lists. A target that has returned from maintenance counts as
 * started at its return, or at the start time that discovery lists if that is later: it may have restarted before
 * discovery reports the restart, and it warms up only by use.
 */
public final class RouteTable {
    private final Map<Long, WorkerEndpoint> entries = new HashMap<>();
    private final Set<Long> inMaintenance = new HashSet<>();
    private final Map<Long, Long> returnedAtNs = new HashMap<>();

    /**
     * Applies an update; a full list also removes the targets that it lacks.
     *
     * @return the changed entries with maintenance applied
     */
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
     * Sets or clears maintenance of a target, listed or not.
     *
     * @return the target's entry with maintenance applied, or null if it is not listed
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
     * Whether new work may be sent to the target: it is listed, ready and not in maintenance. The engine checks this
     * again just before an attempt's first byte.
     */
    public boolean acceptsNewWork(long target) {
        WorkerEndpoint entry = entries.get(target);
        return entry != null && entry.state() == EndpointState.READY && !inMaintenance.contains(target);
    }

    /** Whether discovery lists the target, whatever its state. */
    public boolean contains(long target) {
        return entries.containsKey(target);
    }

    /** The entry as discovery last listed it, without maintenance applied, or null if it is not listed. */
    public WorkerEndpoint listed(long target) {
        return entries.get(target);
    }

    /** A live view of the ids of all listed targets. */
    Set<Long> ids() {
        return entries.keySet();
    }

    /** The number of listed targets, whatever their state. */
    public int size() {
        return entries.size();
    }
}
