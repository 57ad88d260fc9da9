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
 * The workers of one function as egress targets of its engine: each target is a group of workers that are
 * alike. It announces groups to the dispatcher, gives attempts to workers of the group chosen, and reports
 * how they ended. While the function is suspended nothing is announced.
 */
final class FunctionWorkers implements Egress {
    /**
     * Between two reports of a group's load. To date a report the dispatcher goes through all that it sent
     * the group in the last seconds: with one at each end, a worker of 5,000 jobs a second cost 800 µs of CPU
     * a job.
     */
    private static final long REPORT_GAP_NS = 250_000_000L;

    final WorkerGroups<WorkerSession> groups;
    private final GearmanFunction function;
    /** Attempts that a group was given beyond its available workers, by group; most of the time none. */
    private final Map<Long, ArrayDeque<Attempt>> pending = new HashMap<>();

    /** @param maxTargets targets that workers are spread over before they share */
    FunctionWorkers(GearmanFunction function, int maxTargets) {
        this.function = function;
        groups = new WorkerGroups<>(maxTargets);
    }

    /** The function is asked for again: the dispatcher hears of all groups. O(workers). */
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

    /** The function is suspended: no worker is available to it. */
    void suspendAll() {
        groups.members().forEach(member -> groups.setAvailable(member, false));
        for (Group<WorkerSession> group : groups.groups()) {
            announceReadiness(group);
        }
    }

    /** A worker can do it from now on, and is known as such; it may be given a job before this returns. */
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

    /** Whether the worker may be given a job now. */
    void setAvailable(Member<WorkerSession> member, boolean available) {
        if (function.awake()) {
            groups.setAvailable(member, available);
            announceReadiness(member.group());
        }
    }

    /** What the worker holds, and how much it has shown that it can hold. */
    void updateLoad(Member<WorkerSession> member, int jobsInFlight, int slots) {
        if (function.awake()) {
            groups.updateLoad(member, jobsInFlight, slots);
        }
    }

    /** A group may have gained, lost or emptied. */
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

    /** What waits for a group that is removed never ran. */
    private void returnPendingOf(Group<WorkerSession> removed) {
        ArrayDeque<Attempt> waiting = pending.remove(removed.id);
        if (waiting != null) {
            waiting.forEach(this::returnUnsent);
        }
    }

    /** Tells the dispatcher of a group when what it was told is not so any more. */
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

    /** Its slots have changed: a report, as if it had been asked. */
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
     * One slot more than there are: a less worthy class leaves a share of each target's slots to a worthier
     * one, and a worker of one slot could never keep it. It is never used, since a group with no free worker
     * is out of service.
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
        } else { // several were placed at once: the one that the next free worker there takes is as good
            pending.computeIfAbsent(group.id, id -> new ArrayDeque<>()).add(attempt);
            returnPending();
        }
    }

    /** A worker of the group is free; the attempt that waits for one, or null. */
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

    /** What waits for a busy group while another has a free worker goes back to the dispatcher. */
    void returnPending() {
        if (pending.isEmpty() || groups.availableWorkers() == 0) {
            return;
        }
        int capacity = groups.availableWorkers();
        for (Map.Entry<Long, ArrayDeque<Attempt>> each : List.copyOf(pending.entrySet())) {
            Group<WorkerSession> group = groups.find(each.getKey());
            if (group != null && group.isReady()) {
                continue; // its own takes it
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

    /** It was not begun: the dispatcher may place it anew. */
    void returnUnsent(Attempt attempt) {
        if (!attempt.hasEnded()) {
            function.counters().withheld++;
            function.engine().attemptEnded(attempt, Outcome.NOT_SENT, null, null);
        }
    }

    /** An attempt at this worker has ended. */
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

    /** The worker has run a job well, badly, or not at all: it may belong elsewhere. */
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
