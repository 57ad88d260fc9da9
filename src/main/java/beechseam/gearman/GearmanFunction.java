package beechseam.gearman;

import beechseam.config.GearmanConfig;
import beechseam.config.GearmanConfig.Mode;
import beechseam.core.Attempt;
import beechseam.core.Counters;
import beechseam.core.Egress;
import beechseam.core.Engine;
import beechseam.core.Timer;
import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Job;
import beechseam.dispatch.JobClass;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.Outcome;
import beechseam.dispatch.WorkerEndpoint;
import beechseam.gearman.queue.FunctionArbiter;
import beechseam.gearman.queue.PriorityQueues;
import beechseam.gearman.queue.Schedule;
import beechseam.gearman.queue.WorkerGroups;
import beechseam.gearman.queue.WorkerGroups.Group;
import beechseam.gearman.queue.WorkerGroups.Member;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One function: its waiting jobs, the workers that can do it as egress targets, and an engine with a module
 * of its own. The module is handed as many new jobs as there are free workers, and any that is about to run
 * out of time, so that it is the module that turns it away. While nobody asks for the function it is dormant:
 * its workers come and go without a word to the module, and it is told all when the next job comes.
 */
final class GearmanFunction implements Egress, FunctionArbiter.Contender {
    /** Jobs whose time runs out are handed over so many at once, so that others get their turn in between. */
    private static final int EXPIRED_AT_ONCE = 500;

    private static final long SOON_NS = 1_000_000L;
    /**
     * The module's least tick, and how many it has in an aim. It gives a job up two ticks before its
     * deadline: handed over just then it answers at once, and not at the next tick, by when the time for an
     * answer might be over.
     */
    private static final long MIN_TICK_NS = 20_000_000L;

    private static final int TICKS_PER_AIM = 8;
    /** High, normal, low. */
    static final int PRIORITIES = 3;

    private static final int TICKS_AHEAD = 2;

    /**
     * Between two reports of a group's load. To date a report the module goes through all that it sent the
     * group in the last seconds: with one at each end, a worker of 5,000 jobs a second cost 800 µs of CPU a
     * job.
     */
    private static final long REPORT_GAP_NS = 250_000_000L;

    final GearmanServer server;
    final String name;
    final PriorityQueues<GearmanJob> queues;
    final Schedule<GearmanJob> delayed = new Schedule<>();
    final WorkerGroups<WorkerSession> groups;
    private final GearmanConfig.Function known;
    private final Counters counters = new Counters();
    private final long leadNs;
    /** Attempts that a group has been given beyond its free workers, by group; most of the time none. */
    private final Map<Long, ArrayDeque<Attempt>> parked = new HashMap<>();

    private Engine engine;
    private boolean awake;
    private long awakeAt;
    /** Jobs that have not ended, those among them that run, and those the module has and never sent. */
    int alive;

    int running;
    int unplaced;
    private long lastTurn;
    /** An operator made it, so it stays until one drops it. */
    boolean pinned;

    private final Timer expiry = new Timer() {
        @Override
        protected void fire() {
            expire();
        }
    };
    private final Timer due = new Timer() {
        @Override
        protected void fire() {
            release();
        }
    };

    GearmanFunction(GearmanServer server, String name, GearmanConfig.Function known) {
        this.server = server;
        this.name = name;
        this.known = known;
        GearmanConfig.Turns turns = server.config.turns();
        queues = new PriorityQueues<>(Mode.values().length, PRIORITIES, turns.ageingTurn(), turns.ageingNs());
        long aim = Long.MAX_VALUE;
        for (Mode mode : Mode.values()) {
            queues.setLimit(mode.priority(), known.maxQueue().of(mode));
            aim = Math.min(aim, Math.max(known.of(mode).latencyObjectiveNs(), MIN_TICK_NS));
        }
        leadNs = TICKS_AHEAD * Math.max(MIN_TICK_NS, aim / TICKS_PER_AIM);
        groups = new WorkerGroups<>(server.config.bounds().targets());
    }

    JobClass of(Mode mode) {
        return known.of(mode);
    }

    Counters counters() {
        return counters;
    }

    /** Requests that the engine still has, also those answered with an attempt out. */
    int open() {
        return engine == null ? 0 : engine.openRequests();
    }

    Engine engine() {
        return engine;
    }

    boolean awake() {
        return awake;
    }

    // ---- Jobs

    /** A job comes into line; the caller feeds. */
    void enter(GearmanJob job) {
        wake();
        job.stage = GearmanJob.Stage.LINE;
        job.enqueuedAtNs = server.loop.now();
        queues.add(job.mode.ordinal(), job.submitter, job);
        server.hot(this, true);
        if (!expiry.armed()) {
            server.loop.timers.set(expiry, due(job));
        }
    }

    /** When a job in line goes before the module whether a worker is free or not. */
    private long due(GearmanJob job) {
        long budget = of(job.mode).deadlineNs();
        return job.enqueuedAtNs + budget - Math.min(leadNs, budget / 2);
    }

    /** A job waits until a time of the host's clock, in nanoseconds. */
    void later(GearmanJob job, long at) {
        job.stage = GearmanJob.Stage.CLOCK;
        job.ticket = delayed.add(at, job);
        server.loop.timers.set(due, delayed.nextDueNs());
    }

    /** Jobs whose time has come, however many of one instant: a part, then others get their turn. */
    private void release() {
        long now = server.loop.now();
        GearmanJob job = null;
        for (int i = 0; i < EXPIRED_AT_ONCE; i++) {
            job = delayed.pollDue(now);
            if (job == null) {
                break;
            }
            enter(job);
        }
        feed();
        if (delayed.size() > 0) {
            server.loop.timers.set(due, Math.max(delayed.nextDueNs(), now + SOON_NS));
        }
    }

    /** A job that waits leaves; nothing of it has run. */
    void withdraw(GearmanJob job) {
        if (job.stage == GearmanJob.Stage.CLOCK) {
            delayed.remove(job.ticket);
        } else {
            job.stage = GearmanJob.Stage.ENDED;
            queues.jobRemoved(job.mode.ordinal());
            cool();
        }
    }

    private void cool() {
        if (queues.size() == 0) {
            server.hot(this, false);
            server.loop.timers.cancel(expiry);
        }
    }

    /** As many as could be placed now go before the module. */
    void feed() {
        while (admits()) {
            admit();
        }
    }

    /** Whether a waiting job might be placed if the module had it. */
    boolean admits() {
        return queues.size() > 0 && unplaced < groups.availableWorkers();
    }

    /** The next in line goes before the module. */
    void admit() {
        GearmanJob job = queues.poll(server.loop.now());
        if (job != null) {
            handOver(job);
            queues.trim(job.mode.ordinal());
        }
        cool();
    }

    private void handOver(GearmanJob job) {
        job.stage = GearmanJob.Stage.MODULE;
        unplaced++;
        long left = Math.max(1, job.enqueuedAtNs + of(job.mode).deadlineNs() - server.loop.now());
        // Its client's try is the first that the module sees: less time in hand than usual is the line's
        // doing.
        job.request = engine.submit(job.handle(), new Job(0, job.mode.ordinal(), left, 0, 1, 0, true), job, job);
    }

    /**
     * Jobs that are about to run out of time go before the module, which turns them away or finds a place.
     */
    private void expire() {
        long now = server.loop.now();
        long next = Long.MAX_VALUE;
        int room = EXPIRED_AT_ONCE;
        for (Mode mode : Mode.values()) {
            GearmanJob job = queues.oldest(mode.ordinal());
            while (job != null && due(job) <= now && room-- > 0) {
                job.stage = GearmanJob.Stage.MODULE;
                queues.jobRemoved(mode.ordinal());
                handOver(job);
                job = queues.oldest(mode.ordinal());
            }
            if (job != null) {
                next = Math.min(next, due(job));
            }
        }
        cool();
        if (next != Long.MAX_VALUE) {
            server.loop.timers.set(expiry, Math.max(next, now + SOON_NS));
        }
    }

    /** A job has its final answer, or is given up by all. */
    void ended(GearmanJob job) {
        alive--;
        if (job.stage == GearmanJob.Stage.MODULE && !job.placed) {
            unplaced--;
        }
    }

    @Override
    public int mostUrgentLevel() {
        return queues.mostUrgentLevel();
    }

    @Override
    public long oldestEnqueuedAtNs() {
        long oldest = Long.MAX_VALUE;
        for (Mode mode : Mode.values()) {
            GearmanJob head = queues.oldest(mode.ordinal());
            oldest = head == null ? oldest : Math.min(oldest, head.enqueuedAtNs);
        }
        return oldest;
    }

    @Override
    public long lastTurn() {
        return lastTurn;
    }

    @Override
    public void recordTurn(long count) {
        lastTurn = count;
    }

    // ---- Workers

    /** A worker can do it from now on, and is known as such; it may be given a job before this returns. */
    void joined(Member<WorkerSession> member, WorkerSession w) {
        if (awake) {
            groups.updateLoad(member, w.held(), w.slots());
            tell(member.group());
            groups.setAvailable(member, w.free());
            show(member.group());
            feed();
        }
    }

    void leave(Member<WorkerSession> member) {
        Group<WorkerSession> group = member.group();
        groups.leave(member);
        settle(group);
    }

    void moved(Member<WorkerSession> member, WorkerSession w) {
        Group<WorkerSession> group = member.group();
        groups.updateLocation(member, w.location());
        settle(group);
        settle(member.group());
    }

    /** Whether the worker may be given a job now. */
    void free(Member<WorkerSession> member, boolean on) {
        if (awake) {
            groups.setAvailable(member, on);
            show(member.group());
        }
    }

    /** What the worker holds, and how much it has shown that it can hold. */
    void load(Member<WorkerSession> member, int busy, int slots) {
        if (awake) {
            groups.updateLoad(member, busy, slots);
        }
    }

    /** A group may have gained, lost or emptied. */
    private void settle(Group<WorkerSession> group) {
        for (Group<WorkerSession> gone : groups.drainEmptied()) {
            if (gone.announced) {
                engine.updateEndpoints(EndpointUpdate.DELTA, List.of(row(gone, EndpointState.REMOVED)));
            }
            release(gone);
        }
        if (awake && group.members() > 0) {
            show(group);
        }
    }

    /** What waits for a group that is gone never ran. */
    private void release(Group<WorkerSession> gone) {
        ArrayDeque<Attempt> waiting = parked.remove(gone.id);
        if (waiting != null) {
            waiting.forEach(this::withhold);
        }
    }

    /** Tells the module of a group when what it was told is not so any more. */
    private void show(Group<WorkerSession> group) {
        if (!group.announced) {
            tell(group);
        }
        if (group.isReady() != group.announcedReady) {
            group.announcedReady = group.isReady();
            engine.updateEndpoints(
                    EndpointUpdate.DELTA,
                    List.of(row(group, group.isReady() ? EndpointState.READY : EndpointState.DRAINING)));
        }
    }

    /** Its slots have changed: a report, as if it had been asked. */
    private void tell(Group<WorkerSession> group) {
        if (!group.announced) {
            group.announced = true;
            group.announcedReady = false;
            engine.updateEndpoints(EndpointUpdate.DELTA, List.of(row(group, EndpointState.DRAINING)));
        }
        engine.healthCheckCompleted(group.id, true, load(group));
    }

    private WorkerEndpoint row(Group<WorkerSession> group, EndpointState state) {
        return new WorkerEndpoint(group.id, group.location.cell(), group.location.zone(), name, 0, state);
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

    /** It is asked for: the module hears all that it missed. O(workers). */
    private void wake() {
        awakeAt = server.loop.now();
        if (awake) {
            return;
        }
        awake = true;
        if (engine == null) {
            engine = new Engine(
                    server.config.settings(name, known),
                    server.seed ^ name.hashCode(),
                    server.loop::now,
                    server.loop.timers,
                    this,
                    counters);
        }
        for (Member<WorkerSession> member : groups.members()) {
            groups.updateLoad(member, member.worker.held(), member.worker.slots());
            groups.setAvailable(member, member.worker.free());
        }
        for (Group<WorkerSession> group : List.copyOf(groups.groups())) {
            tell(group);
            show(group);
        }
    }

    /** Nobody has asked for a while: its workers cost nothing until somebody does. */
    void rest(long idleNs) {
        if (awake && alive == 0 && open() == 0 && server.loop.now() - awakeAt > idleNs) {
            awake = false;
            groups.members().forEach(member -> groups.setAvailable(member, false));
            for (Group<WorkerSession> group : groups.groups()) {
                show(group);
            }
        }
    }

    /** Whether it stands empty with no worker. */
    boolean unused() {
        return alive == 0 && open() == 0 && groups.memberCount() == 0;
    }

    void close() {
        server.loop.timers.cancel(expiry);
        server.loop.timers.cancel(due);
    }

    // ---- Egress

    static GearmanJob job(Attempt attempt) {
        return (GearmanJob) attempt.request.message;
    }

    @Override
    public void send(Attempt attempt) {
        GearmanJob job = job(attempt);
        if (!job.placed) {
            job.placed = true;
            unplaced--;
        }
        Group<WorkerSession> group = groups.find(attempt.target);
        if (group == null) {
            engine.attemptEnded(attempt, Outcome.NOT_SENT, null, null);
            return;
        }
        WorkerSession w = groups.leastRecentlyUsed(group);
        if (w != null) {
            w.park(attempt);
        } else { // several were placed at once: the one that the next free worker there takes is as good
            parked.computeIfAbsent(group.id, id -> new ArrayDeque<>()).add(attempt);
            handBack();
        }
    }

    /** A worker of the group is free; the attempt that waits for one, or null. */
    Attempt unpark(Member<WorkerSession> member) {
        ArrayDeque<Attempt> waiting = parked.isEmpty() ? null : parked.get(member.group().id);
        if (waiting == null) {
            return null;
        }
        Attempt attempt = waiting.poll();
        while (attempt != null && attempt.hasEnded()) {
            attempt = waiting.poll();
        }
        if (waiting.isEmpty()) {
            parked.remove(member.group().id);
        }
        return attempt;
    }

    /** What waits for a busy group while another has a free worker goes back to the module. */
    void handBack() {
        if (parked.isEmpty() || groups.availableWorkers() == 0) {
            return;
        }
        int room = groups.availableWorkers();
        for (Map.Entry<Long, ArrayDeque<Attempt>> each : List.copyOf(parked.entrySet())) {
            Group<WorkerSession> group = groups.find(each.getKey());
            if (group != null && group.isReady()) {
                continue; // its own takes it
            }
            ArrayDeque<Attempt> queue = each.getValue();
            while (room > 0 && !queue.isEmpty()) {
                withhold(queue.poll());
                room--;
            }
            if (each.getValue().isEmpty()) {
                parked.remove(each.getKey(), each.getValue());
            }
            if (room <= 0) {
                return;
            }
        }
    }

    /** It was not begun: the module may place it anew. */
    void withhold(Attempt attempt) {
        if (!attempt.hasEnded()) {
            counters.withheld++;
            engine.attemptEnded(attempt, Outcome.NOT_SENT, null, null);
        }
    }

    /** An attempt at this worker has ended. */
    void ended(Attempt attempt, Outcome outcome, byte[] result, Member<WorkerSession> member) {
        LoadReport load = null;
        if (member != null && (outcome == Outcome.SERVED || outcome == Outcome.ERROR)) {
            long now = server.loop.now();
            Group<WorkerSession> group = member.group();
            if (now - group.reportedAtNs > REPORT_GAP_NS) {
                group.reportedAtNs = now;
                load = load(group);
            }
        }
        engine.attemptEnded(attempt, outcome, result, load);
    }

    /** The worker has run a job well, badly, or not at all: it may belong elsewhere. */
    void learned(Member<WorkerSession> member, Outcome outcome, long runNs) {
        Group<WorkerSession> before = member.group();
        switch (outcome) {
            case SERVED -> groups.recordSuccess(member, runNs);
            case ERROR -> groups.recordFailure(member);
            default -> groups.suspect(member);
        }
        if (member.group() != before && awake) {
            settle(before);
            tell(member.group());
            show(member.group());
        }
    }

    @Override
    public void cancel(Attempt attempt) {
        ArrayDeque<Attempt> waiting = parked.get(attempt.target);
        if (waiting != null && waiting.remove(attempt)) {
            if (waiting.isEmpty()) {
                parked.remove(attempt.target);
            }
        } else if (attempt.exchange instanceof WorkerSession w) {
            w.unpark(attempt);
        }
    }

    @Override
    public void healthCheck(long target) {
        Group<WorkerSession> group = groups.find(target);
        engine.healthCheckCompleted(target, group != null, group == null ? null : load(group));
    }
}
