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
import beechseam.gearman.queue.Cohorts;
import beechseam.gearman.queue.Cohorts.Cohort;
import beechseam.gearman.queue.Cohorts.Member;
import beechseam.gearman.queue.FunctionTurns;
import beechseam.gearman.queue.JobLines;
import beechseam.gearman.queue.Schedule;
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
final class GearmanFunction implements Egress, FunctionTurns.Contender {
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
     * Between two reports of a cohort's load. To date a report the module goes through all that it sent the
     * cohort in the last seconds: with one at each end, a worker of 5,000 jobs a second cost 800 µs of CPU a
     * job.
     */
    private static final long REPORT_GAP_NS = 250_000_000L;

    final GearmanServer server;
    final String name;
    final JobLines<GearmanJob> lines;
    final Schedule<GearmanJob> clock = new Schedule<>();
    final Cohorts<WorkerSession> cohorts;
    private final GearmanConfig.Function known;
    private final Counters counters = new Counters();
    private final long leadNs;
    /** Attempts that a cohort has been given beyond its free workers, by cohort; most of the time none. */
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
        lines = new JobLines<>(Mode.values().length, PRIORITIES, turns.ageingTurn(), turns.ageingNs());
        long aim = Long.MAX_VALUE;
        for (Mode mode : Mode.values()) {
            lines.limit(mode.priority(), known.maxQueue().of(mode));
            aim = Math.min(aim, Math.max(known.of(mode).latencyObjectiveNs(), MIN_TICK_NS));
        }
        leadNs = TICKS_AHEAD * Math.max(MIN_TICK_NS, aim / TICKS_PER_AIM);
        cohorts = new Cohorts<>(server.config.bounds().targets());
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
        job.since = server.loop.now();
        lines.add(job.mode.ordinal(), job.submitter, job);
        server.hot(this, true);
        if (!expiry.armed()) {
            server.loop.timers.set(expiry, due(job));
        }
    }

    /** When a job in line goes before the module whether a worker is free or not. */
    private long due(GearmanJob job) {
        long budget = of(job.mode).deadlineNs();
        return job.since + budget - Math.min(leadNs, budget / 2);
    }

    /** A job waits until a time of the host's clock. */
    void later(GearmanJob job, long at) {
        job.stage = GearmanJob.Stage.CLOCK;
        job.dueMark = clock.add(at, job);
        server.loop.timers.set(due, clock.next());
    }

    /** Jobs whose time has come, however many of one instant: a part, then others get their turn. */
    private void release() {
        long now = server.loop.now();
        GearmanJob job = null;
        for (int i = 0; i < EXPIRED_AT_ONCE; i++) {
            job = clock.due(now);
            if (job == null) {
                break;
            }
            enter(job);
        }
        feed();
        if (clock.size() > 0) {
            server.loop.timers.set(due, Math.max(clock.next(), now + SOON_NS));
        }
    }

    /** A job that waits leaves; nothing of it has run. */
    void withdraw(GearmanJob job) {
        if (job.stage == GearmanJob.Stage.CLOCK) {
            clock.remove(job.dueMark);
        } else {
            job.stage = GearmanJob.Stage.ENDED;
            lines.left(job.mode.ordinal());
            cool();
        }
    }

    private void cool() {
        if (lines.size() == 0) {
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
        return lines.size() > 0 && unplaced < cohorts.free();
    }

    /** The next in line goes before the module. */
    void admit() {
        GearmanJob job = lines.poll(server.loop.now());
        if (job != null) {
            handOver(job);
            lines.trim(job.mode.ordinal());
        }
        cool();
    }

    private void handOver(GearmanJob job) {
        job.stage = GearmanJob.Stage.MODULE;
        unplaced++;
        long left = Math.max(1, job.since + of(job.mode).deadlineNs() - server.loop.now());
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
            GearmanJob job = lines.oldest(mode.ordinal());
            while (job != null && due(job) <= now && room-- > 0) {
                job.stage = GearmanJob.Stage.MODULE;
                lines.left(mode.ordinal());
                handOver(job);
                job = lines.oldest(mode.ordinal());
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
    public int urgent() {
        return lines.urgent();
    }

    @Override
    public long oldestSince() {
        long oldest = Long.MAX_VALUE;
        for (Mode mode : Mode.values()) {
            GearmanJob head = lines.oldest(mode.ordinal());
            oldest = head == null ? oldest : Math.min(oldest, head.since);
        }
        return oldest;
    }

    @Override
    public long lastTurn() {
        return lastTurn;
    }

    @Override
    public void hadTurn(long count) {
        lastTurn = count;
    }

    // ---- Workers

    /** A worker can do it from now on, and is known as such; it may be given a job before this returns. */
    void joined(Member<WorkerSession> m, WorkerSession w) {
        if (awake) {
            cohorts.load(m, w.held(), w.slots());
            tell(m.cohort());
            cohorts.free(m, w.free());
            show(m.cohort());
            feed();
        }
    }

    void leave(Member<WorkerSession> m) {
        Cohort<WorkerSession> c = m.cohort();
        cohorts.leave(m);
        settle(c);
    }

    void moved(Member<WorkerSession> m, WorkerSession w) {
        Cohort<WorkerSession> c = m.cohort();
        cohorts.moved(m, w.place());
        settle(c);
        settle(m.cohort());
    }

    /** Whether the worker may be given a job now. */
    void free(Member<WorkerSession> m, boolean on) {
        if (awake) {
            cohorts.free(m, on);
            show(m.cohort());
        }
    }

    /** What the worker holds, and how much it has shown that it can hold. */
    void load(Member<WorkerSession> m, int busy, int slots) {
        if (awake) {
            cohorts.load(m, busy, slots);
        }
    }

    /** A cohort may have gained, lost or emptied. */
    private void settle(Cohort<WorkerSession> c) {
        for (Cohort<WorkerSession> gone : cohorts.takeEmptied()) {
            if (gone.shown) {
                engine.updateEndpoints(EndpointUpdate.DELTA, List.of(row(gone, EndpointState.REMOVED)));
            }
            release(gone);
        }
        if (awake && c.members() > 0) {
            show(c);
        }
    }

    /** What waits for a cohort that is gone never ran. */
    private void release(Cohort<WorkerSession> gone) {
        ArrayDeque<Attempt> waiting = parked.remove(gone.id);
        if (waiting != null) {
            waiting.forEach(this::withhold);
        }
    }

    /** Tells the module of a cohort when what it was told is not so any more. */
    private void show(Cohort<WorkerSession> c) {
        if (!c.shown) {
            tell(c);
        }
        if (c.ready() != c.shownReady) {
            c.shownReady = c.ready();
            engine.updateEndpoints(
                    EndpointUpdate.DELTA, List.of(row(c, c.ready() ? EndpointState.READY : EndpointState.DRAINING)));
        }
    }

    /** Its slots have changed: a report, as if it had been asked. */
    private void tell(Cohort<WorkerSession> c) {
        if (!c.shown) {
            c.shown = true;
            c.shownReady = false;
            engine.updateEndpoints(EndpointUpdate.DELTA, List.of(row(c, EndpointState.DRAINING)));
        }
        engine.healthCheckCompleted(c.id, true, load(c));
    }

    private WorkerEndpoint row(Cohort<WorkerSession> c, EndpointState state) {
        return new WorkerEndpoint(c.id, c.place.cell(), c.place.zone(), name, 0, state);
    }

    /**
     * One slot more than there are: a less worthy class leaves a share of each target's slots to a worthier
     * one, and a worker of one slot could never keep it. It is never used, since a cohort with no free worker
     * is out of service.
     */
    private static LoadReport load(Cohort<WorkerSession> c) {
        return new LoadReport(c.busy(), 0, Math.max(0, c.slots() - c.busy()) + 1, Double.NaN, 0);
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
        for (Member<WorkerSession> m : cohorts.everyone()) {
            cohorts.load(m, m.worker.held(), m.worker.slots());
            cohorts.free(m, m.worker.free());
        }
        for (Cohort<WorkerSession> c : List.copyOf(cohorts.all())) {
            tell(c);
            show(c);
        }
    }

    /** Nobody has asked for a while: its workers cost nothing until somebody does. */
    void rest(long idleNs) {
        if (awake && alive == 0 && open() == 0 && server.loop.now() - awakeAt > idleNs) {
            awake = false;
            cohorts.everyone().forEach(m -> cohorts.free(m, false));
            for (Cohort<WorkerSession> c : cohorts.all()) {
                show(c);
            }
        }
    }

    /** Whether it stands empty with no worker. */
    boolean unused() {
        return alive == 0 && open() == 0 && cohorts.members() == 0;
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
        Cohort<WorkerSession> c = cohorts.find(attempt.target);
        if (c == null) {
            engine.attemptEnded(attempt, Outcome.NOT_SENT, null, null);
            return;
        }
        WorkerSession w = cohorts.pick(c);
        if (w != null) {
            w.park(attempt);
        } else { // several were placed at once: the one that the next free worker there takes is as good
            parked.computeIfAbsent(c.id, id -> new ArrayDeque<>()).add(attempt);
            handBack();
        }
    }

    /** A worker of the cohort is free; the attempt that waits for one, or null. */
    Attempt unpark(Member<WorkerSession> m) {
        ArrayDeque<Attempt> waiting = parked.isEmpty() ? null : parked.get(m.cohort().id);
        if (waiting == null) {
            return null;
        }
        Attempt attempt = waiting.poll();
        while (attempt != null && attempt.hasEnded()) {
            attempt = waiting.poll();
        }
        if (waiting.isEmpty()) {
            parked.remove(m.cohort().id);
        }
        return attempt;
    }

    /** What waits for a busy cohort while another has a free worker goes back to the module. */
    void handBack() {
        if (parked.isEmpty() || cohorts.free() == 0) {
            return;
        }
        int room = cohorts.free();
        for (Map.Entry<Long, ArrayDeque<Attempt>> each : List.copyOf(parked.entrySet())) {
            Cohort<WorkerSession> c = cohorts.find(each.getKey());
            if (c != null && c.ready()) {
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
    void ended(Attempt attempt, Outcome outcome, byte[] result, Member<WorkerSession> m) {
        LoadReport load = null;
        if (m != null && (outcome == Outcome.SERVED || outcome == Outcome.ERROR)) {
            long now = server.loop.now();
            Cohort<WorkerSession> c = m.cohort();
            if (now - c.reportedAt > REPORT_GAP_NS) {
                c.reportedAt = now;
                load = load(c);
            }
        }
        engine.attemptEnded(attempt, outcome, result, load);
    }

    /** The worker has run a job well, badly, or not at all: it may belong elsewhere. */
    void learned(Member<WorkerSession> m, Outcome outcome, long runNs) {
        Cohort<WorkerSession> before = m.cohort();
        switch (outcome) {
            case SERVED -> cohorts.ran(m, runNs);
            case ERROR -> cohorts.failed(m);
            default -> cohorts.troubled(m);
        }
        if (m.cohort() != before && awake) {
            settle(before);
            tell(m.cohort());
            show(m.cohort());
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
        Cohort<WorkerSession> c = cohorts.find(target);
        engine.healthCheckCompleted(target, c != null, c == null ? null : load(c));
    }
}
