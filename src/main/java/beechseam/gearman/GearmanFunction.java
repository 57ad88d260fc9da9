package beechseam.gearman;

import beechseam.config.GearmanConfig;
import beechseam.config.GearmanConfig.Mode;
import beechseam.core.Attempt;
import beechseam.core.Counters;
import beechseam.core.Engine;
import beechseam.core.Timer;
import beechseam.dispatch.Job;
import beechseam.dispatch.JobClass;
import beechseam.gearman.queue.FunctionArbiter;
import beechseam.gearman.queue.PriorityQueues;
import beechseam.gearman.queue.Schedule;

/**
 * One function: its queued and delayed jobs, and an engine with a dispatcher of its own; its workers are
 * {@link FunctionWorkers}. The dispatcher is handed as many new jobs as there are available workers, and any
 * that is about to run out of time, so that it is the dispatcher that sheds it. While no job comes the
 * function is suspended: its workers come and go unannounced, and all are announced when the next job comes.
 */
final class GearmanFunction implements FunctionArbiter.Contender {
    /** Jobs that expire or come due are moved in batches of so many, so that other work is done in between. */
    private static final int MAX_JOBS_PER_BATCH = 500;

    private static final long BATCH_GAP_NS = 1_000_000L;
    /**
     * The module's least tick, and how many it has in a latency objective. It gives a job up two ticks before its
     * deadline: handed over just then it answers at once, and not at the next tick, by when the time for an
     * answer might be over.
     */
    private static final long MIN_TICK_NS = 20_000_000L;

    private static final int TICKS_PER_OBJECTIVE = 8;
    /** High, normal, low. */
    static final int PRIORITIES = 3;

    private static final int TICKS_AHEAD = 2;

    final GearmanServer server;
    final String name;
    final PriorityQueues<GearmanJob> queues;
    final Schedule<GearmanJob> delayed = new Schedule<>();
    final FunctionWorkers workers;
    private final GearmanConfig.Function settings;
    private final Counters counters = new Counters();
    private final long leadNs;

    private Engine engine;
    private boolean awake;
    private long lastActiveNs;
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
            releaseDue();
        }
    };

    GearmanFunction(GearmanServer server, String name, GearmanConfig.Function settings) {
        this.server = server;
        this.name = name;
        this.settings = settings;
        GearmanConfig.Turns turns = server.config.turns();
        queues = new PriorityQueues<>(Mode.values().length, PRIORITIES, turns.ageingTurn(), turns.ageingNs());
        long objectiveNs = Long.MAX_VALUE;
        for (Mode mode : Mode.values()) {
            queues.setLimit(mode.priority(), settings.maxQueue().of(mode));
            objectiveNs = Math.min(objectiveNs, Math.max(settings.of(mode).latencyObjectiveNs(), MIN_TICK_NS));
        }
        leadNs = TICKS_AHEAD * Math.max(MIN_TICK_NS, objectiveNs / TICKS_PER_OBJECTIVE);
        workers = new FunctionWorkers(this, server.config.bounds().targets());
    }

    JobClass jobClass(Mode mode) {
        return settings.of(mode);
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

    /** Enqueues a job; the caller feeds. */
    void enqueue(GearmanJob job) {
        wake();
        job.stage = GearmanJob.Stage.QUEUED;
        job.enqueuedAtNs = server.loop.now();
        queues.add(job.mode.ordinal(), job.submitter, job);
        server.setBacklogged(this, true);
        if (!expiry.armed()) {
            server.loop.timers.set(expiry, submitByNs(job));
        }
    }

    /** When a queued job goes to the dispatcher whether a worker is available or not, in nanoseconds. */
    private long submitByNs(GearmanJob job) {
        long budget = jobClass(job.mode).deadlineNs();
        return job.enqueuedAtNs + budget - Math.min(leadNs, budget / 2);
    }

    /** A job waits until a time of the host's clock, in nanoseconds. */
    void delay(GearmanJob job, long atNs) {
        job.stage = GearmanJob.Stage.DELAYED;
        job.ticket = delayed.add(atNs, job);
        server.loop.timers.set(due, delayed.nextDueNs());
    }

    /** Jobs whose time has come, however many of one instant: a part, then others get their turn. */
    private void releaseDue() {
        long now = server.loop.now();
        GearmanJob job = null;
        for (int i = 0; i < MAX_JOBS_PER_BATCH; i++) {
            job = delayed.pollDue(now);
            if (job == null) {
                break;
            }
            enqueue(job);
        }
        feed();
        if (delayed.size() > 0) {
            server.loop.timers.set(due, Math.max(delayed.nextDueNs(), now + BATCH_GAP_NS));
        }
    }

    /** A job that waits leaves; nothing of it has run. */
    void withdraw(GearmanJob job) {
        if (job.stage == GearmanJob.Stage.DELAYED) {
            delayed.remove(job.ticket);
        } else {
            job.stage = GearmanJob.Stage.ENDED;
            queues.jobRemoved(job.mode.ordinal());
            updateBacklog();
        }
    }

    private void updateBacklog() {
        if (queues.size() == 0) {
            server.setBacklogged(this, false);
            server.loop.timers.cancel(expiry);
        }
    }

    /** As many as could be placed now go to the dispatcher. */
    void feed() {
        while (canAdmit()) {
            admit();
        }
    }

    /** Whether a queued job might be placed if the dispatcher had it. */
    boolean canAdmit() {
        return queues.size() > 0 && unplaced < workers.groups.availableWorkers();
    }

    /** The next queued job goes to the dispatcher. */
    void admit() {
        GearmanJob job = queues.poll(server.loop.now());
        if (job != null) {
            submit(job);
            queues.trim(job.mode.ordinal());
        }
        updateBacklog();
    }

    private void submit(GearmanJob job) {
        job.stage = GearmanJob.Stage.DISPATCHED;
        unplaced++;
        long remainingNs = Math.max(1, job.enqueuedAtNs + jobClass(job.mode).deadlineNs() - server.loop.now());
        // A first attempt for the dispatcher: that less time than usual remains is the queue's doing.
        job.request = engine.submit(job.handle(), new Job(0, job.mode.ordinal(), remainingNs, 0, 1, 0, true), job, job);
    }

    /**
     * Jobs that are about to run out of time go to the dispatcher, which sheds or places them.
     */
    private void expire() {
        long now = server.loop.now();
        long next = Long.MAX_VALUE;
        int remaining = MAX_JOBS_PER_BATCH;
        for (Mode mode : Mode.values()) {
            GearmanJob job = queues.oldest(mode.ordinal());
            while (job != null && submitByNs(job) <= now && remaining-- > 0) {
                job.stage = GearmanJob.Stage.DISPATCHED;
                queues.jobRemoved(mode.ordinal());
                submit(job);
                job = queues.oldest(mode.ordinal());
            }
            if (job != null) {
                next = Math.min(next, submitByNs(job));
            }
        }
        updateBacklog();
        if (next != Long.MAX_VALUE) {
            server.loop.timers.set(expiry, Math.max(next, now + BATCH_GAP_NS));
        }
    }

    /** A job has its final answer, or is given up by all. */
    void ended(GearmanJob job) {
        alive--;
        if (job.stage == GearmanJob.Stage.DISPATCHED && !job.placed) {
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

    /** A job has come: the dispatcher is told of all workers that it has missed. O(workers). */
    private void wake() {
        lastActiveNs = server.loop.now();
        if (awake) {
            return;
        }
        awake = true;
        if (engine == null) {
            engine = new Engine(
                    server.config.settings(name, settings),
                    server.seed ^ name.hashCode(),
                    server.loop::now,
                    server.loop.timers,
                    workers,
                    counters);
        }
        workers.announceAll();
    }

    /** No job has come for {@code idleNs} nanoseconds: its workers cost nothing until the next one. */
    void suspendIfIdle(long idleNs) {
        if (awake && alive == 0 && open() == 0 && server.loop.now() - lastActiveNs > idleNs) {
            awake = false;
            workers.suspendAll();
        }
    }

    /** Whether it stands empty with no worker. */
    boolean unused() {
        return alive == 0 && open() == 0 && workers.groups.memberCount() == 0;
    }

    void close() {
        server.loop.timers.cancel(expiry);
        server.loop.timers.cancel(due);
    }

    /** The job that an attempt is of. */
    static GearmanJob job(Attempt attempt) {
        return (GearmanJob) attempt.request.message;
    }

    /** An attempt at the job has been sent, so that the dispatcher holds one job less that is not placed. */
    void placed(GearmanJob job) {
        if (!job.placed) {
            job.placed = true;
            unplaced--;
        }
    }
}
