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
import beechseam.gearman.queue.Submitter;

/**
 * One function with its queued and delayed jobs and its own engine and dispatcher; {@link FunctionWorkers}
 * manages its workers. The function submits only as many jobs to the dispatcher as there are available workers.
 * A job that is about to run out of time is submitted in any case, so that the dispatcher decides whether to
 * shed it. A function without jobs is suspended: changes of its workers are not announced to the dispatcher
 * until the next job arrives, and then all workers are announced.
 */
final class GearmanFunction implements FunctionArbiter.Contender {
    /** Limit on the jobs that expire or come due in one timer run, so that the loop does other work in between. */
    private static final int MAX_JOBS_PER_BATCH = 500;

    private static final long BATCH_GAP_NS = 1_000_000L;
    /**
     * The shortest tick of the dispatcher, which otherwise is a latency objective divided by
     * {@link #TICKS_PER_OBJECTIVE}. The dispatcher gives up a job two ticks before its deadline. A job submitted at
     * that moment is answered at once instead of at the next tick, which may be too late for an answer.
     */
    private static final long MIN_TICK_NS = 20_000_000L;

    private static final int TICKS_PER_OBJECTIVE = 8;
    /** Number of priorities: high, normal and low. */
    static final int PRIORITIES = 3;

    private static final int TICKS_AHEAD = 2;

    final GearmanServer server;
    final String name;
    /** The client that named it first; null if it was configured, or if a worker or an operator did. */
    final Submitter creator;

    final PriorityQueues<GearmanJob> queues;
    final Schedule<GearmanJob> delayed = new Schedule<>();
    final FunctionWorkers workers;
    private final GearmanConfig.Function settings;
    private final Counters counters = new Counters();
    private final long leadNs;

    private Engine engine;
    private boolean awake;
    private long lastActiveNs;
    /** Jobs that have not ended. */
    int alive;

    /** Jobs that a worker runs now. */
    int running;
    /** Jobs that the dispatcher has and has not sent to a target yet. */
    int unplaced;

    private long lastTurn;
    /** Whether it was configured or created by an operator and so stays, even if unused, until an operator drops it. */
    boolean pinned;

    private final Timer expiryTimer = new Timer() {
        @Override
        protected void fire() {
            expire();
        }
    };
    private final Timer dueTimer = new Timer() {
        @Override
        protected void fire() {
            releaseDue();
        }
    };

    GearmanFunction(GearmanServer server, String name, GearmanConfig.Function settings, Submitter creator) {
        this.server = server;
        this.name = name;
        this.creator = creator;
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

    /** Number of requests that the engine still tracks, including answered ones with an attempt in flight. */
    int open() {
        return engine == null ? 0 : engine.openRequests();
    }

    Engine engine() {
        return engine;
    }

    boolean awake() {
        return awake;
    }

    /** Enqueues a job; the caller calls {@link #feed} afterwards. */
    void enqueue(GearmanJob job) {
        wake();
        job.stage = GearmanJob.Stage.QUEUED;
        job.enqueuedAtNs = server.loop.now();
        queues.add(job.mode.ordinal(), job.submitter, job);
        server.setBacklogged(this, true);
        scheduleExpiry(submitByNs(job));
    }

    /** Arms the expiry timer for a time, unless it fires before that. */
    private void scheduleExpiry(long atNs) {
        if (!expiryTimer.armed() || atNs < expiryTimer.due()) {
            server.loop.timers.set(expiryTimer, atNs);
        }
    }

    /** The time at which a queued job is submitted even if no worker is available, in nanoseconds. */
    private long submitByNs(GearmanJob job) {
        long budget = jobClass(job.mode).deadlineNs();
        return job.enqueuedAtNs + budget - Math.min(leadNs, budget / 2);
    }

    /** Delays a job until a time of the host's clock, in nanoseconds. */
    void delay(GearmanJob job, long atNs) {
        job.stage = GearmanJob.Stage.DELAYED;
        job.ticket = delayed.add(atNs, job);
        server.loop.timers.set(dueTimer, delayed.nextDueNs());
    }

    /**
     * Enqueues jobs that have come due. A batch is bounded, so that many jobs due at the same instant do not block
     * the loop; the timer runs again for the rest.
     */
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
            server.loop.timers.set(dueTimer, Math.max(delayed.nextDueNs(), now + BATCH_GAP_NS));
        }
    }

    /** Removes a delayed or queued job, which no worker has run. */
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
            server.loop.timers.cancel(expiryTimer);
        }
    }

    /** Submits queued jobs to the dispatcher as long as it could place another one. */
    void feed() {
        while (canAdmit()) {
            admit();
        }
    }

    /** Whether a job is queued and more workers are available than the dispatcher has unplaced jobs. */
    boolean canAdmit() {
        return queues.size() > 0 && unplaced < workers.groups.availableWorkers();
    }

    /** Submits the next queued job to the dispatcher. */
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
        // Declared as a first attempt: the budget is short because of the time in the queue, not of earlier attempts.
        job.request = engine.submit(job.handle(), new Job(0, job.mode.ordinal(), remainingNs, 0, 1, 0, true), job, job);
    }

    /** Submits jobs that are about to run out of time to the dispatcher, which places or sheds them. */
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
        if (next != Long.MAX_VALUE) { // a job that was enqueued meanwhile may have armed the timer for an earlier time
            scheduleExpiry(Math.max(next, now + BATCH_GAP_NS));
        }
    }

    /** Updates the counts for a job that got its final answer or that all its clients have abandoned. */
    void ended(GearmanJob job) {
        alive--;
        if (job.stage == GearmanJob.Stage.DISPATCHED && !job.placed) {
            unplaced--;
        }
    }

    /** Records that one more worker runs the job. */
    void runStarted(GearmanJob job) {
        if (++job.runs == 1) {
            running++;
        }
    }

    /** Records that a worker runs the job no longer. */
    void runEnded(GearmanJob job) {
        if (--job.runs == 0) {
            running--;
            server.jobs.runsEnded(job);
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
            GearmanJob first = queues.oldest(mode.ordinal());
            oldest = first == null ? oldest : Math.min(oldest, first.enqueuedAtNs);
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

    /**
     * Resumes a suspended function for a new job: creates the engine on first use and announces all workers to the
     * dispatcher. O(workers).
     */
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

    /**
     * Suspends the function when no job has arrived for {@code idleNs} nanoseconds, so that its workers cost
     * nothing until the next job.
     */
    void suspendIfIdle(long idleNs) {
        if (awake && alive == 0 && open() == 0 && server.loop.now() - lastActiveNs > idleNs) {
            awake = false;
            workers.suspendAll();
        }
    }

    /** Whether the function has no jobs, no open requests, no runs and no workers. */
    boolean unused() {
        return alive == 0 && open() == 0 && running == 0 && workers.groups.memberCount() == 0;
    }

    void close() {
        server.loop.timers.cancel(expiryTimer);
        server.loop.timers.cancel(dueTimer);
    }

    /** The job that an attempt belongs to. */
    static GearmanJob job(Attempt attempt) {
        return (GearmanJob) attempt.request.message;
    }

    /** Records that an attempt of the job has been sent; the job no longer counts as unplaced. */
    void placed(GearmanJob job) {
        if (!job.placed) {
            job.placed = true;
            unplaced--;
        }
    }
}
