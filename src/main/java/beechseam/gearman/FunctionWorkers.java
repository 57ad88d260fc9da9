package beechseam.gearman;

import beechseam.core.Attempt;
import beechseam.core.Egress;
import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import beechseam.gearman.queue.WorkerGroups;
import beechseam.gearman.queue.WorkerGroups.Group;
import beechseam.gearman.queue.WorkerGroups.Member;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The workers of one function as egress targets of its engine; each target is a group of similar workers. This
 * class announces the groups to the dispatcher, assigns each attempt to a worker of the chosen group and reports
 * how the attempt ended. Nothing is announced while the function is suspended.
 */
final class FunctionWorkers implements Egress {
    /**
     * The shortest time between two load reports of a group. To date a report, the dispatcher iterates over all
     * attempts that it sent to the group in the last seconds: with a report at the end of each job, a worker that
     * ran 5,000 jobs a second cost 800 µs of CPU per job.
     */
    private static final long REPORT_GAP_NS = 250_000_000L;

    final WorkerGroups<WorkerSession> groups;
    private final GearmanFunction function;
    /** Attempts that wait for an available worker, by the id of their group; empty most of the time. */
    private final Map<Long, ArrayDeque<Attempt>> pending = new HashMap<>();

    /** @param maxTargets number of targets up to which each worker has a target of its own */
    FunctionWorkers(GearmanFunction function, int maxTargets) {
        this.function = function;
        groups = new WorkerGroups<>(maxTargets);
    }

    /** Announces all groups to the dispatcher when a suspended function resumes. O(workers). */
    void announceAll() {
        for (Member<WorkerSession> member : groups.members()) {
            groups.updateLoad(member, member.worker.jobsInFlight(), member.worker.slots());
            groups.setAvailable(member, member.worker.isAvailable());
        }
        for (Group<WorkerSession> group : List.copyOf(groups.groups())) {
            reportLoad(group);
            announceReadiness(group);
        }
    }

    /** Marks all workers as unavailable when the function is suspended. */
    void suspendAll() {
        groups.members().forEach(member -> groups.setAvailable(member, false));
        for (Group<WorkerSession> group : groups.groups()) {
            announceReadiness(group);
        }
    }

    /**
     * Announces a worker that has joined the function. The worker may be given a job before this returns, so the
     * caller records the member first.
     */
    void joined(Member<WorkerSession> member, WorkerSession worker) {
        if (function.awake()) {
            groups.updateLoad(member, worker.jobsInFlight(), worker.slots());
            reportLoad(member.group());
            groups.setAvailable(member, worker.isAvailable());
            announceReadiness(member.group());
            function.feed();
        }
    }

    void leave(Member<WorkerSession> member) {
        Group<WorkerSession> group = member.group();
        groups.leave(member);
        announceChanges(group);
    }

    void updateLocation(Member<WorkerSession> member, WorkerSession worker) {
        Group<WorkerSession> group = member.group();
        groups.updateLocation(member, worker.location());
        announceChanges(group);
        announceChanges(member.group());
    }

    /** Sets whether the worker may be given a job now. */
    void setAvailable(Member<WorkerSession> member, boolean available) {
        if (function.awake()) {
            groups.setAvailable(member, available);
            announceReadiness(member.group());
        }
    }

    /** Updates how many jobs the worker holds and how many it has shown that it can hold. */
    void updateLoad(Member<WorkerSession> member, int jobsInFlight, int slots) {
        if (function.awake()) {
            groups.updateLoad(member, jobsInFlight, slots);
        }
    }

    /** Announces the removal of emptied groups and the readiness of a group whose members have changed. */
    private void announceChanges(Group<WorkerSession> group) {
        for (Group<WorkerSession> removed : groups.drainEmptied()) {
            if (removed.announced) {
                function.engine()
                        .updateEndpoints(EndpointUpdate.DELTA, List.of(endpoint(removed, EndpointState.REMOVED)));
            }
            returnPendingOf(removed);
        }
        if (function.awake() && group.members() > 0) {
            announceReadiness(group);
        }
    }

    /** Returns the pending attempts of a removed group to the dispatcher; no worker has run them. */
    private void returnPendingOf(Group<WorkerSession> removed) {
        ArrayDeque<Attempt> waiting = pending.remove(removed.id);
        if (waiting != null) {
            waiting.forEach(this::returnUnsent);
        }
    }

    /** Announces a group's readiness when it differs from what was last announced. */
    private void announceReadiness(Group<WorkerSession> group) {
        if (!group.announced) {
            reportLoad(group);
        }
        if (group.isReady() != group.announcedReady) {
            group.announcedReady = group.isReady();
            function.engine()
                    .updateEndpoints(
                            EndpointUpdate.DELTA,
                            List.of(endpoint(group, group.isReady() ? EndpointState.READY : EndpointState.DRAINING)));
        }
    }

    /**
     * Reports the load of a group whose slots have changed, as the result of a health check. A group that the
     * dispatcher does not have yet is announced first.
     */
    private void reportLoad(Group<WorkerSession> group) {
        if (!group.announced) {
            group.announced = true;
            group.announcedReady = false;
            function.engine().updateEndpoints(EndpointUpdate.DELTA, List.of(endpoint(group, EndpointState.DRAINING)));
        }
        function.engine().healthCheckCompleted(group.id, true, load(group));
    }

    private WorkerEndpoint endpoint(Group<WorkerSession> group, EndpointState state) {
        return new WorkerEndpoint(group.id, group.location.cell(), group.location.zone(), function.name, 0, state);
    }

    /**
     * The load of a group, with one free slot more than it has. A class of lower priority weight leaves a share of
     * each target's slots to classes of higher weight, and a worker with one slot has no share to leave. The
     * additional slot is never used, since a group without an available worker is announced as draining.
     */
    private static LoadReport load(Group<WorkerSession> group) {
        return new LoadReport(
                group.jobsInFlight(), 0, Math.max(0, group.slots() - group.jobsInFlight()) + 1, Double.NaN, 0);
    }

    @Override
    public void send(Attempt attempt) {
        GearmanJob job = GearmanFunction.job(attempt);
        function.placed(job);
        Group<WorkerSession> group = groups.find(attempt.target);
        if (group == null) {
            function.engine().attemptEnded(attempt, Outcome.NOT_SENT, null, null);
            return;
        }
        WorkerSession worker = groups.leastRecentlyUsed(group);
        if (worker != null) {
            worker.reserve(attempt);
        } else { // several were placed at once: the next worker of the group that becomes available takes one
            pending.computeIfAbsent(group.id, id -> new ArrayDeque<>()).add(attempt);
            returnPending();
        }
    }

    /** Removes and returns the attempt that an available worker of the group takes, or null if none is pending. */
    Attempt takePending(Member<WorkerSession> member) {
        ArrayDeque<Attempt> waiting = pending.isEmpty() ? null : pending.get(member.group().id);
        if (waiting == null) {
            return null;
        }
        Attempt attempt = waiting.poll();
        while (attempt != null && attempt.hasEnded()) {
            attempt = waiting.poll();
        }
        if (waiting.isEmpty()) {
            pending.remove(member.group().id);
        }
        return attempt;
    }

    /** Returns attempts that wait for a busy group to the dispatcher while another group has available workers. */
    void returnPending() {
        if (pending.isEmpty() || groups.availableWorkers() == 0) {
            return;
        }
        int capacity = groups.availableWorkers();
        for (Map.Entry<Long, ArrayDeque<Attempt>> each : List.copyOf(pending.entrySet())) {
            Group<WorkerSession> group = groups.find(each.getKey());
            if (group != null && group.isReady()) {
                continue; // one of its own workers takes them
            }
            ArrayDeque<Attempt> queue = each.getValue();
            while (capacity > 0 && !queue.isEmpty()) {
                returnUnsent(queue.poll());
                capacity--;
            }
            if (each.getValue().isEmpty()) {
                pending.remove(each.getKey(), each.getValue());
            }
            if (capacity <= 0) {
                return;
            }
        }
    }

    /** Ends an attempt that no worker has started, so that the dispatcher may place the job again. */
    void returnUnsent(Attempt attempt) {
        if (!attempt.hasEnded()) {
            function.counters().withheld++;
            function.engine().attemptEnded(attempt, Outcome.NOT_SENT, null, null);
        }
    }

    /** Reports the end of an attempt; a load report is added at most once per {@link #REPORT_GAP_NS} and group. */
    void attemptEnded(Attempt attempt, Outcome outcome, byte[] result, Member<WorkerSession> member) {
        LoadReport load = null;
        if (member != null && (outcome == Outcome.SERVED || outcome == Outcome.ERROR)) {
            long now = function.server.loop.now();
            Group<WorkerSession> group = member.group();
            if (now - group.reportedAtNs > REPORT_GAP_NS) {
                group.reportedAtNs = now;
                load = load(group);
            }
        }
        function.engine().attemptEnded(attempt, outcome, result, load);
    }

    /** Records how a worker's run ended, which may move the worker to another group. */
    void recordOutcome(Member<WorkerSession> member, Outcome outcome, long runNs) {
        Group<WorkerSession> before = member.group();
        switch (outcome) {
            case SERVED -> groups.recordSuccess(member, runNs);
            case ERROR -> groups.recordFailure(member);
            default -> groups.suspect(member);
        }
        if (member.group() != before && function.awake()) {
            announceChanges(before);
            reportLoad(member.group());
            announceReadiness(member.group());
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        ArrayDeque<Attempt> waiting = pending.get(attempt.target);
        if (waiting != null && waiting.remove(attempt)) {
            if (waiting.isEmpty()) {
                pending.remove(attempt.target);
            }
        } else if (attempt.exchange instanceof WorkerSession worker) {
            worker.cancelReservation(attempt);
        }
    }

    @Override
    public void healthCheck(long target) {
        Group<WorkerSession> group = groups.find(target);
        function.engine().healthCheckCompleted(target, group != null, group == null ? null : load(group));
    }
}
