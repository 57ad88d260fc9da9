package beechseam.library;

import beechseam.core.Attempt;
import beechseam.core.Counters;
import beechseam.core.Egress;
import beechseam.core.Engine;
import beechseam.core.Ingress;
import beechseam.core.Request;
import beechseam.core.Timer;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.Job;
import beechseam.dispatch.JobClass;
import beechseam.dispatch.LoadReport;
import beechseam.dispatch.LoadReportSource;
import beechseam.dispatch.WorkerEndpoint;
import beechseam.dispatch.WorkerRules;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Sends each job to the target of lowest speed-scaled load, repeats it as its type allows, and refuses in
 * time what none can do: the daemon's engine and decision module, in the host's own process. Its state is
 * kept by one thread of its own; every method may be called from any thread and none blocks, but for
 * {@link #close}. Two balancers in one process do not touch.
 *
 * @param <Q> what a job carries
 * @param <R> what targets give
 */
public final class Balancer<Q, R> implements AutoCloseable {
    private static final Logger LOG = System.getLogger(Balancer.class.getName());
    private static final Duration PATIENCE = Duration.ofSeconds(10);
    /**
     * No job is of this class. The module looks at its jobs eight times in the shortest aim, and refuses what
     * has less than two such looks left: with a host's long aims, each dispatch of a short deadline would be
     * refused at once.
     */
    private static final JobClass PACE = new JobClass(
            "",
            160_000_000L,
            160_000_000L,
            0,
            1e-9,
            1,
            beechseam.dispatch.Idempotency.NON_IDEMPOTENT,
            beechseam.dispatch.DeduplicationScope.CELL,
            0,
            "");

    private static final long CHECK_NS = 5_000_000L;
    /** A target older than this has started long ago, whatever its host says. */
    private static final long MAX_AGE_MS = Duration.ofDays(365).toMillis();

    private static final String CLOSED = "the balancer is closed";

    private final Sender<Q, R> sender;
    private final Executor executor;
    /** Delivers what the host's executor refuses; its thread lives only while there is such a thing. */
    private final ThreadPoolExecutor fallback;

    private final Map<String, Integer> types = new HashMap<>();
    private final List<JobType> jobTypes;
    private final EventLoop loop;
    private final Engine engine;
    private final Counters counters = new Counters();
    private final long retryAfterNs;
    private final Thread thread;
    private final Map<String, Place> byId = new HashMap<>();
    private final Map<Long, Place> byNumber = new HashMap<>();
    private final Set<Dispatched> open = new HashSet<>();
    private final CompletableFuture<Boolean> closed = new CompletableFuture<>();
    private long lastNumber;
    private long listedAt;
    private long lastName;
    private volatile boolean closing;

    /** A target as the loop's thread knows it. */
    private static final class Place {
        final long number;
        Target target;
        int out;
        private Instant dated;
        private long startedAt;

        Place(long number) {
            this.number = number;
        }

        /**
         * When it started on the loop's clock, 0 for long ago. The host dates it by a wall clock, which may
         * have been stepped: a date that lies ahead, or before the list in which it was another, counts as
         * now.
         */
        long startedAt(Instant date, long now, long listedAt) {
            if (date == null) {
                startedAt = 0;
            } else if (!date.equals(dated)) {
                long ageMs = Math.min(Duration.between(date, Instant.now()).toMillis(), MAX_AGE_MS);
                long ageNs = ageMs * 1_000_000L;
                long earliest = dated == null ? 1 : listedAt;
                startedAt = ageNs >= 0 && now - ageNs >= earliest ? now - ageNs : now;
            }
            dated = date;
            return startedAt;
        }

        /**
         * What the module is told of its load; null where its slots are not known, as own attempts say
         * enough.
         */
        LoadReport load() {
            return target.slots() == 0
                    ? null
                    : new LoadReport(out, 0, Math.max(0, target.slots() - out), Double.NaN, Double.NaN);
        }
    }

    private Balancer(Builder<Q, R> b) {
        sender = b.sender;
        executor = b.executor;
        retryAfterNs = b.retryAfter.toNanos();
        jobTypes = List.copyOf(b.types.values());
        List<JobClass> classes = new ArrayList<>();
        for (JobType each : jobTypes) {
            types.put(each.name(), classes.size());
            classes.add(each.toClass());
        }
        classes.add(PACE);
        DispatchLimits limits = new DispatchLimits(
                b.attempts, b.retryAfter.toNanos(), !b.retryAfter.isZero(), true, false, b.hedging, 0);
        WorkerRules rules = new WorkerRules(
                0,
                Long.MAX_VALUE,
                b.slowStartShare,
                b.slowStartFor.toNanos(),
                b.slowStartLimit,
                b.slowStartFor.isZero() ? 0 : b.slowStartSpan.toNanos(),
                false);
        DispatchSettings settings = new DispatchSettings(
                classes,
                limits,
                rules,
                LoadReportSource.ANSWERS,
                false,
                1,
                0,
                b.zone,
                true,
                0,
                b.crossZonePrice,
                0,
                0,
                false);
        fallback = new ThreadPoolExecutor(1, 1, 1, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
            Thread t = new Thread(task, "beechseam-answers");
            t.setDaemon(true);
            return t;
        });
        fallback.allowCoreThreadTimeOut(true);
        try {
            loop = new EventLoop();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        engine = new Engine(settings, b.seed, loop::now, loop.timers, new ToSender(), counters);
        List<Target> first = List.copyOf(b.targets);
        loop.post(() -> list(first));
        thread = new Thread(
                () -> {
                    try {
                        loop.run();
                    } catch (IOException e) {
                        LOG.log(Level.ERROR, "the balancer's loop has failed", e);
                    }
                },
                "beechseam-balancer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Begins a balancer; {@code sender} is asked to take each attempt to its target. */
    public static <Q, R> Builder<Q, R> builder(Sender<Q, R> sender) {
        return new Builder<>(sender);
    }

    /** What a balancer is made of. */
    public static final class Builder<Q, R> {
        private final Sender<Q, R> sender;
        private final Map<String, JobType> types = new LinkedHashMap<>();
        private Collection<Target> targets = List.of();
        private Executor executor = ForkJoinPool.commonPool();
        private int attempts = 3;
        private boolean hedging;
        private Duration retryAfter = Duration.ofSeconds(1);
        private String zone = Target.ANYWHERE;
        private double crossZonePrice;
        private double slowStartShare = 1;
        private Duration slowStartFor = Duration.ZERO;
        private double slowStartLimit = 1;
        private Duration slowStartSpan = Duration.ofSeconds(1);
        private long seed = System.nanoTime();

        private Builder(Sender<Q, R> sender) {
            this.sender = Objects.requireNonNull(sender, "sender");
        }

        /** Adds a type of job; at least one is needed. */
        public Builder<Q, R> type(JobType type) {
            if (types.put(type.name(), type) != null) {
                throw new IllegalArgumentException("job type " + type.name() + ": is there twice");
            }
            return this;
        }

        /** The targets to begin with; {@link Balancer#targets} replaces them later. */
        public Builder<Q, R> targets(Collection<Target> first) {
            targets = List.copyOf(first);
            return this;
        }

        /**
         * Where sending, progress and whatever hangs on outcomes run; the common pool unless one is given.
         */
        public Builder<Q, R> executor(Executor hosts) {
            executor = Objects.requireNonNull(hosts, "executor");
            return this;
        }

        /** Attempts at a job at most, from 1 on (3). */
        public Builder<Q, R> attempts(int most) {
            if (most < 1) {
                throw new IllegalArgumentException("attempts: must be at least 1, not " + most);
            }
            attempts = most;
            return this;
        }

        /** Whether a job that may be repeated may run twice at once when the first is slow (no). */
        public Builder<Q, R> hedging(boolean allowed) {
            hedging = allowed;
            return this;
        }

        /** What a refusal advises; zero for nothing (1 s). */
        public Builder<Q, R> retryAfter(Duration advice) {
            if (advice.isNegative()) {
                throw new IllegalArgumentException("retryAfter: must not be negative, not " + advice);
            }
            retryAfter = advice;
            return this;
        }

        /** Where this balancer is, and what leaving it costs as a share of a job's worth, from 0 to 1. */
        public Builder<Q, R> zone(String here, double price) {
            if (!(price >= 0 && price <= 1)) {
                throw new IllegalArgumentException("zone: the price must be from 0 to 1, not " + price);
            }
            zone = Objects.requireNonNull(here, "zone");
            crossZonePrice = price;
            return this;
        }

        /**
         * How a target that has just started warms up: from a share of what it can do, evenly over a time;
         * and sent more than {@code limit} times what it can do at that moment, for {@code span}, it would
         * fall over.
         */
        public Builder<Q, R> slowStart(double share, Duration warmAfter, double limit, Duration span) {
            if (!(share > 0 && share <= 1) || warmAfter.isNegative() || !(limit >= 1) || span.isNegative()) {
                throw new IllegalArgumentException("slowStart: a share above 0 and at most 1, times not negative"
                        + " and a limit of at least 1 are needed");
            }
            slowStartShare = share;
            slowStartFor = warmAfter;
            slowStartLimit = limit;
            slowStartSpan = span;
            return this;
        }

        /** For random numbers, so that a run can be repeated. */
        public Builder<Q, R> seed(long number) {
            seed = number;
            return this;
        }

        /** Starts the balancer on a thread of its own; without a type an {@link IllegalArgumentException}. */
        public Balancer<Q, R> build() {
            if (types.isEmpty()) {
                throw new IllegalArgumentException("type: at least one job type is needed");
            }
            return new Balancer<>(this);
        }
    }

    // ---- The host's calls

    /** A job of the type, given up after its usual deadline. */
    public CompletableFuture<Outcome<R>> dispatch(String type, Q job) {
        return dispatch(type, job, null, null);
    }

    /**
     * Takes a job on. The future gets one outcome, on the executor; cancelling it gives the job up, and what
     * runs is cancelled where the sender can.
     *
     * @param deadline how long the host will wait; null for the type's own
     * @param progress told the target and share done, on the executor; null for none
     * @throws IllegalArgumentException for a type that is not known, or a deadline that is not above 0
     */
    public CompletableFuture<Outcome<R>> dispatch(
            String type, Q job, Duration deadline, BiConsumer<Target, Double> progress) {
        Integer index = types.get(type);
        if (index == null) {
            throw new IllegalArgumentException("no job type is called " + type + "; known are " + types.keySet());
        }
        Duration budget = deadline == null ? jobTypes.get(index).deadline() : deadline;
        if (budget.isNegative() || budget.isZero()) {
            throw new IllegalArgumentException("deadline: must be above 0, not " + budget);
        }
        Dispatched d = new Dispatched(job, progress);
        if (closing) {
            d.complete(new Outcome.Refused<>(Optional.empty(), CLOSED));
            return d;
        }
        long at = loop.now();
        loop.post(() -> d.begin(index, budget.toNanos() - (loop.now() - at)));
        if (closed.isDone()) { // the loop ended meanwhile, and nobody runs what was posted
            d.complete(new Outcome.Refused<>(Optional.empty(), CLOSED));
        }
        return d;
    }

    /** Replaces the targets. What is not listed, or drains, gets nothing new once the loop has this. */
    public void targets(Collection<Target> now) {
        List<Target> copy = List.copyOf(now);
        Set<String> ids = new HashSet<>();
        copy.forEach(t -> {
            if (!ids.add(t.id())) {
                throw new IllegalArgumentException("targets: " + t.id() + " is there twice");
            }
        });
        loop.post(() -> list(copy));
    }

    /** Counts as of a moment, as one line of JSON. */
    public CompletableFuture<String> figures() {
        CompletableFuture<String> line = new CompletableFuture<>();
        loop.post(() -> line.complete(counters.toString()));
        if (closed.isDone()) {
            line.complete(counters.toString());
        }
        return line;
    }

    /** {@link #close(Duration)} with ten seconds. */
    @Override
    public void close() {
        close(PATIENCE);
    }

    /**
     * Takes nothing new, waits for what is out, and answers the rest when the time is over. Blocks until
     * then; a second call waits for the first. Not to be called from a sender or an outcome's own thread of a
     * small pool.
     *
     * @return whether all ended by themselves
     */
    public boolean close(Duration patience) {
        long by = loop.now() + Math.max(0, patience.toNanos());
        synchronized (closed) {
            if (!closing) {
                closing = true;
                loop.post(() -> drain(by));
            }
        }
        boolean all = closed.join();
        if (Thread.currentThread() != thread) {
            try {
                thread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return all;
    }

    // ---- On the loop's thread

    private void drain(long by) {
        if (open.isEmpty() || loop.now() >= by) {
            boolean all = open.isEmpty();
            for (Dispatched each : List.copyOf(open)) {
                each.giveUp();
            }
            // Who posts from here on sees that it is closed; what was posted before comes before this end.
            closed.complete(all);
            loop.post(() -> {
                fallback.shutdown();
                loop.stop();
            });
            return;
        }
        loop.timers.set(
                new Timer() {
                    @Override
                    protected void fire() {
                        drain(by);
                    }
                },
                loop.now() + CHECK_NS);
    }

    private void list(List<Target> now) {
        List<WorkerEndpoint> lines = new ArrayList<>();
        Set<String> listed = new HashSet<>();
        long at = loop.now();
        for (Target t : now) {
            listed.add(t.id());
            Place p = byId.computeIfAbsent(t.id(), id -> new Place(++lastNumber));
            byNumber.put(p.number, p);
            p.target = t;
            long startedAt = p.startedAt(t.started(), at, listedAt);
            lines.add(new WorkerEndpoint(
                    p.number,
                    t.cell(),
                    t.zone(),
                    t.kind(),
                    startedAt,
                    t.draining() ? EndpointState.DRAINING : EndpointState.READY));
        }
        engine.updateEndpoints(EndpointUpdate.SNAPSHOT, lines);
        listedAt = at;
        for (Target t : now) {
            Place p = byId.get(t.id());
            if (p.load() != null) {
                engine.healthCheckCompleted(p.number, true, p.load());
            }
        }
        byId.keySet().retainAll(listed);
        byNumber.values().removeIf(p -> !listed.contains(p.target.id()) && p.out == 0);
    }

    /** Runs host code where it can do no harm; false where nobody would. */
    private boolean run(Runnable hosts) {
        try {
            executor.execute(() -> {
                try {
                    hosts.run();
                } catch (RuntimeException e) {
                    LOG.log(Level.WARNING, "a callback of the host has thrown", e);
                }
            });
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** A dispatch: the host's future, and the engine's ingress. */
    private final class Dispatched extends CompletableFuture<Outcome<R>> implements Ingress {
        private final Q job;
        private final BiConsumer<Target, Double> progress;
        private Request request;
        private R value;
        private String servedBy;
        private int attempts;

        Dispatched(Q job, BiConsumer<Target, Double> progress) {
            this.job = job;
            this.progress = progress;
        }

        /** Dependent stages are plain futures: cancelling one of them must not take the dispatch along. */
        @Override
        public <U> CompletableFuture<U> newIncompleteFuture() {
            return new CompletableFuture<>();
        }

        void begin(int type, long budgetNs) {
            if (isDone()) {
                return;
            }
            if (closing || budgetNs <= 0) {
                deliver(
                        closing
                                ? new Outcome.Refused<>(Optional.empty(), CLOSED)
                                : new Outcome.Refused<>(Optional.empty(), "its time was over before it was taken"));
                return;
            }
            open.add(this);
            request = engine.submit(Long.toString(++lastName), new Job(0, type, budgetNs, 0, 1, 0, true), this, this);
        }

        @Override
        public boolean cancel(boolean mayInterrupt) {
            boolean first = super.cancel(mayInterrupt);
            if (first) {
                loop.post(() -> {
                    if (open.remove(this)) {
                        engine.clientDisconnected(request);
                    }
                });
            }
            return first;
        }

        /** The balancer closes: what may have run has failed. */
        void giveUp() {
            boolean begun = attempts > 0;
            end(begun ? new Outcome.Failed<>(false, CLOSED) : new Outcome.Refused<>(Optional.empty(), CLOSED));
            engine.clientDisconnected(request);
        }

        private void end(Outcome<R> outcome) {
            if (open.remove(this)) {
                deliver(outcome);
            }
        }

        /** Not on the loop's thread, whatever the host's executor says: what hangs on it may block. */
        private void deliver(Outcome<R> outcome) {
            if (!Balancer.this.run(() -> complete(outcome))) {
                fallback.execute(() -> complete(outcome));
            }
        }

        @Override
        public void served(Request r, byte[] ignored) {
            end(new Outcome.Served<>(value, servedBy, attempts));
        }

        @Override
        public void shed(Request r, long pauseNs) {
            end(new Outcome.Refused<>(
                    pauseNs > 0 ? Optional.of(Duration.ofNanos(pauseNs)) : Optional.empty(),
                    "no target can do it in time"));
        }

        @Override
        public void failed(Request r, String why) {
            if (attempts == 0) { // its time ran out between two looks of the module, but it never ran
                shed(r, retryAfterNs);
                return;
            }
            end(new Outcome.Failed<>(r.deadlineAt - Engine.ANSWER_MARGIN_NS <= engine.now(), why));
        }
    }

    /** The engine's way to targets: the host's sender. */
    private final class ToSender implements Egress {
        @Override
        @SuppressWarnings("unchecked")
        public void send(Attempt attempt) {
            Place place = byNumber.get(attempt.target);
            if (place == null || !engine.routeTable().acceptsNewWork(attempt.target)) {
                engine.attemptEnded(attempt, beechseam.dispatch.Outcome.NOT_SENT, null, null);
                return;
            }
            Try sending = new Try((Dispatched) attempt.request.message, attempt, place);
            attempt.exchange = sending;
            place.out++;
            sending.of.attempts++;
            attempt.begun();
            if (!run(sending::send)) {
                sending.of.attempts--;
                sending.end(beechseam.dispatch.Outcome.NOT_SENT, null);
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void cancel(Attempt attempt) {
            if (attempt.exchange != null) {
                ((Try) attempt.exchange).cancel();
            }
        }

        @Override
        public void healthCheck(long target) {
            Place place = byNumber.get(target);
            engine.healthCheckCompleted(target, place != null, place == null ? null : place.load());
        }
    }

    /** One attempt, as the sender sees it. */
    private final class Try implements Sender.Attempt<Q> {
        private final Dispatched of;
        private final Attempt attempt;
        private final Place place;
        private final Target target;
        private final int number;
        private final List<Runnable> onCancel = new ArrayList<>(1);
        private boolean cancelled;
        private boolean over;

        Try(Dispatched of, Attempt attempt, Place place) {
            this.of = of;
            this.attempt = attempt;
            this.place = place;
            target = place.target;
            number = attempt.number + 1;
        }

        /** On the executor. */
        void send() {
            CompletionStage<R> stage;
            try {
                stage = Objects.requireNonNull(sender.send(this), "the sender gave no stage");
            } catch (Exception e) {
                said(null, e);
                return;
            }
            stage.whenComplete(this::said);
        }

        private void said(R value, Throwable wrong) {
            Throwable cause =
                    wrong instanceof CompletionException && wrong.getCause() != null ? wrong.getCause() : wrong;
            loop.post(() -> {
                if (cause == null && of.servedBy == null && !attempt.hasEnded()) {
                    of.value = value;
                    of.servedBy = target.id();
                }
                end(
                        cause == null
                                ? beechseam.dispatch.Outcome.SERVED
                                : !(cause instanceof NeverRanException never)
                                        ? beechseam.dispatch.Outcome.ERROR
                                        : never.reason() == NeverRanException.Reason.FULL
                                                ? beechseam.dispatch.Outcome.REJECTED
                                                : beechseam.dispatch.Outcome.UNREACHABLE,
                        cause);
            });
        }

        /** On the loop's thread; once, also when nobody waits any more: the target is free only now. */
        void end(beechseam.dispatch.Outcome outcome, Throwable cause) {
            if (over) {
                return;
            }
            over = true;
            place.out--;
            if (cause != null && !(cause instanceof NeverRanException)) {
                LOG.log(Level.DEBUG, "an attempt at " + target.id() + " has failed", cause);
            }
            engine.attemptEnded(attempt, outcome, null, place.load());
            if (place.out == 0 && byId.get(target.id()) != place) {
                byNumber.remove(place.number);
            }
        }

        void cancel() {
            List<Runnable> actions;
            synchronized (onCancel) {
                cancelled = true;
                actions = List.copyOf(onCancel);
                onCancel.clear();
            }
            actions.forEach(Balancer.this::run);
        }

        @Override
        public Q job() {
            return of.job;
        }

        @Override
        public Target target() {
            return target;
        }

        @Override
        public int number() {
            return number;
        }

        @Override
        public Duration remaining() {
            return Duration.ofNanos(Math.max(0, attempt.request.deadlineAt - loop.now()));
        }

        @Override
        public void started() {
            loop.post(() -> engine.attemptStarted(attempt));
        }

        @Override
        public void progress(double share) {
            if (!(share >= 0 && share <= 1)) {
                throw new IllegalArgumentException("share: must be from 0 to 1, not " + share);
            }
            loop.post(() -> {
                engine.attemptProgressed(attempt, share);
                if (of.progress != null && !attempt.hasEnded() && !of.isDone()) {
                    run(() -> of.progress.accept(target, share));
                }
            });
        }

        @Override
        public boolean cancelled() {
            synchronized (onCancel) {
                return cancelled;
            }
        }

        @Override
        public void onCancel(Runnable action) {
            synchronized (onCancel) {
                if (!cancelled) {
                    onCancel.add(action);
                    return;
                }
            }
            run(action);
        }
    }
}
