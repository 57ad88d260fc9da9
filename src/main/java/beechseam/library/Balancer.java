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
 * Sends each job to the target with the lowest load relative to its speed, retries it as its type allows, and
 * refuses early a job that no target can run in time. It runs the daemon's engine and dispatcher in the process of
 * the host application. One thread of its own holds the state; every method may be called from any thread, and none
 * blocks except {@link #close}. Several balancers in one process are independent of each other.
 *
 * @param <Q> the payload of a job
 * @param <R> the result that targets return
 */
public final class Balancer<Q, R> implements AutoCloseable {
    private static final Logger LOG = System.getLogger(Balancer.class.getName());
    private static final Duration DEFAULT_CLOSE_TIMEOUT = Duration.ofSeconds(10);
    /**
     * A class that no job belongs to, whose short latency objective sets the interval of the dispatcher's checks.
     * The dispatcher checks its jobs eight times within the shortest objective of all classes and refuses a job
     * with less than two such intervals left. With only the long objectives of a host, it would refuse each
     * dispatch with a short deadline at once.
     */
    private static final JobClass CHECK_INTERVAL_CLASS = new JobClass(
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

    private static final long DRAIN_CHECK_INTERVAL_NS = 5_000_000L;
    /** Cap for the age of a target: any target that started earlier counts as this old. */
    private static final long MAX_AGE_MS = Duration.ofDays(365).toMillis();

    private static final String CLOSED = "the balancer is closed";

    private final Sender<Q, R> sender;
    private final Executor executor;
    /** Delivers outcomes that the host's executor rejects; its thread exits when it is idle. */
    private final ThreadPoolExecutor fallback;

    private final Map<String, Integer> types = new HashMap<>();
    private final List<JobType> jobTypes;
    private final EventLoop loop;
    private final Engine engine;
    private final Counters counters = new Counters();
    private final long retryAfterNs;
    private final Thread thread;
    private final Map<String, TargetState> byId = new HashMap<>();
    private final Map<Long, TargetState> byNumber = new HashMap<>();
    private final Set<PendingDispatch> open = new HashSet<>();
    private final CompletableFuture<Boolean> closed = new CompletableFuture<>();
    private long lastNumber;
    private long lastUpdateAt;
    private long lastRequestId;
    private volatile boolean closing;

    /** The state of a target, which only the loop's thread uses, except for {@link #acceptsNewWork}. */
    private static final class TargetState {
        final long number;
        Target target;
        /** Whether the target is listed and not draining; read by the threads of the host's executor. */
        volatile boolean acceptsNewWork;

        int inFlight;
        private Instant startDate;
        private long startedAt;

        TargetState(long number) {
            this.number = number;
        }

        /**
         * Returns the start time on the loop's clock, 0 for long ago. The host dates it by a wall clock, which
         * may have been stepped: a changed date counts as now if it lies in the future or before the target list
         * that carried the previous date.
         */
        long startedAt(Instant date, long now, long lastUpdateAt) {
            if (date == null) {
                startedAt = 0;
            } else if (!date.equals(startDate)) {
                long ageMs = Math.min(Duration.between(date, Instant.now()).toMillis(), MAX_AGE_MS);
                long ageNs = ageMs * 1_000_000L;
                long earliest = startDate == null ? 1 : lastUpdateAt;
                startedAt = ageNs >= 0 && now - ageNs >= earliest ? now - ageNs : now;
            }
            startDate = date;
            return startedAt;
        }

        /**
         * Returns the load report for the dispatcher, or null if the number of slots is unknown: the dispatcher
         * then estimates the load from this balancer's own attempts.
         */
        LoadReport load() {
            return target.slots() == 0
                    ? null
                    : new LoadReport(inFlight, 0, Math.max(0, target.slots() - inFlight), Double.NaN, Double.NaN);
        }
    }

    private Balancer(Builder<Q, R> builder) {
        sender = builder.sender;
        executor = builder.executor;
        retryAfterNs = builder.retryAfter.toNanos();
        jobTypes = List.copyOf(builder.types.values());
        List<JobClass> classes = new ArrayList<>();
        for (JobType each : jobTypes) {
            types.put(each.name(), classes.size());
            classes.add(each.toClass());
        }
        classes.add(CHECK_INTERVAL_CLASS);
        DispatchLimits limits = new DispatchLimits(
                builder.attempts,
                builder.retryAfter.toNanos(),
                !builder.retryAfter.isZero(),
                true,
                false,
                builder.hedging,
                0);
        WorkerRules rules = new WorkerRules(
                0,
                Long.MAX_VALUE,
                builder.slowStartShare,
                builder.slowStartDuration.toNanos(),
                builder.slowStartLimit,
                builder.slowStartDuration.isZero() ? 0 : builder.slowStartSpan.toNanos(),
                false);
        DispatchSettings settings = new DispatchSettings(
                classes,
                limits,
                rules,
                LoadReportSource.ANSWERS,
                false,
                1,
                0,
                builder.zone,
                true,
                0,
                builder.crossZoneCost,
                0,
                0,
                false);
        fallback = new ThreadPoolExecutor(1, 1, 1, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
            Thread thread = new Thread(task, "beechseam-answers");
            thread.setDaemon(true);
            return thread;
        });
        fallback.allowCoreThreadTimeOut(true);
        try {
            loop = new EventLoop();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        engine = new Engine(settings, builder.seed, loop::now, loop.timers, new SenderEgress(), counters);
        List<Target> first = List.copyOf(builder.targets);
        loop.post(() -> updateTargets(first));
        thread = new Thread(
                () -> {
                    try {
                        loop.run();
                    } catch (IOException e) {
                        LOG.log(Level.ERROR, "balancer event loop failed; no further job is dispatched", e);
                    }
                },
                "beechseam-balancer");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns a builder of a balancer whose attempts are sent by {@code sender}. */
    public static <Q, R> Builder<Q, R> builder(Sender<Q, R> sender) {
        return new Builder<>(sender);
    }

    /** Collects the configuration of a balancer. */
    public static final class Builder<Q, R> {
        private final Sender<Q, R> sender;
        private final Map<String, JobType> types = new LinkedHashMap<>();
        private Collection<Target> targets = List.of();
        private Executor executor = ForkJoinPool.commonPool();
        private int attempts = 3;
        private boolean hedging;
        private Duration retryAfter = Duration.ofSeconds(1);
        private String zone = Target.ANYWHERE;
        private double crossZoneCost;
        private double slowStartShare = 1;
        private Duration slowStartDuration = Duration.ZERO;
        private double slowStartLimit = 1;
        private Duration slowStartSpan = Duration.ofSeconds(1);
        private long seed = System.nanoTime();

        private Builder(Sender<Q, R> sender) {
            this.sender = Objects.requireNonNull(sender, "sender");
        }

        /** Adds a job type; at least one is required. */
        public Builder<Q, R> type(JobType type) {
            if (types.put(type.name(), type) != null) {
                throw new IllegalArgumentException("job type " + type.name() + ": is defined twice");
            }
            return this;
        }

        /** Sets the initial targets; {@link Balancer#targets} replaces them later. */
        public Builder<Q, R> targets(Collection<Target> first) {
            targets = List.copyOf(first);
            return this;
        }

        /**
         * Sets the executor that runs the sender, progress callbacks and stages that depend on outcomes (the
         * common pool by default).
         */
        public Builder<Q, R> executor(Executor hostExecutor) {
            executor = Objects.requireNonNull(hostExecutor, "executor");
            return this;
        }

        /** Sets the maximum number of attempts per job, at least 1 (3 by default). */
        public Builder<Q, R> attempts(int maximum) {
            if (maximum < 1) {
                throw new IllegalArgumentException("attempts: must be at least 1, not " + maximum);
            }
            attempts = maximum;
            return this;
        }

        /** Sets whether a repeatable job may be hedged while a slow attempt is in flight (no by default). */
        public Builder<Q, R> hedging(boolean allowed) {
            hedging = allowed;
            return this;
        }

        /** Sets the wait that a refusal advises before the next try; zero for no advice (1 s by default). */
        public Builder<Q, R> retryAfter(Duration advice) {
            if (advice.isNegative()) {
                throw new IllegalArgumentException("retryAfter: must not be negative, not " + advice);
            }
            retryAfter = advice;
            return this;
        }

        /** Sets this balancer's zone, and the cost of another zone as a share of the priority weight, from 0 to 1. */
        public Builder<Q, R> zone(String ownZone, double cost) {
            if (!(cost >= 0 && cost <= 1)) {
                throw new IllegalArgumentException("zone: the cost must be from 0 to 1, not " + cost);
            }
            zone = Objects.requireNonNull(ownZone, "zone");
            crossZoneCost = cost;
            return this;
        }

        /**
         * Sets the slow start of a target that has just started. Its capacity grows linearly from a share of its
         * full capacity to the whole during {@code warmAfter}. The target is assumed to fail if it gets more than
         * {@code limit} times its present capacity for the duration of {@code span}.
         */
        public Builder<Q, R> slowStart(double share, Duration warmAfter, double limit, Duration span) {
            if (!(share > 0 && share <= 1) || warmAfter.isNegative() || !(limit >= 1) || span.isNegative()) {
                throw new IllegalArgumentException("slowStart: needs a share above 0 and at most 1, durations"
                        + " that are not negative and a limit of at least 1");
            }
            slowStartShare = share;
            slowStartDuration = warmAfter;
            slowStartLimit = limit;
            slowStartSpan = span;
            return this;
        }

        /** Sets the seed of the random numbers, so that a run can be reproduced. */
        public Builder<Q, R> seed(long number) {
            seed = number;
            return this;
        }

        /** Starts the balancer on a thread of its own; throws {@link IllegalArgumentException} without a job type. */
        public Balancer<Q, R> build() {
            if (types.isEmpty()) {
                throw new IllegalArgumentException("type: at least one job type is required");
            }
            return new Balancer<>(this);
        }
    }

    // ---- Public methods, called from any thread

    /** Dispatches a job of a type with the type's own deadline. */
    public CompletableFuture<Outcome<R>> dispatch(String type, Q job) {
        return dispatch(type, job, null, null);
    }

    /**
     * Dispatches a job. The executor completes the future with exactly one outcome. Cancelling the future gives up
     * the job and cancels its running attempts if the sender supports that.
     *
     * @param deadline how long the host waits for the outcome; null for the type's own deadline
     * @param progress called on the executor with the target and the share done; null for none
     * @throws IllegalArgumentException for an unknown type or a deadline that is not above 0
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
        PendingDispatch dispatch = new PendingDispatch(job, progress);
        if (closing) {
            dispatch.complete(new Outcome.Refused<>(Optional.empty(), CLOSED));
            return dispatch;
        }
        long at = loop.now();
        loop.post(() -> dispatch.begin(index, budget.toNanos() - (loop.now() - at)));
        if (closed.isDone()) { // the loop has ended meanwhile and does not run the posted task
            dispatch.complete(new Outcome.Refused<>(Optional.empty(), CLOSED));
        }
        return dispatch;
    }

    /** Replaces the targets. Unlisted and draining targets get no new jobs once the loop has applied the list. */
    public void targets(Collection<Target> newTargets) {
        List<Target> copy = List.copyOf(newTargets);
        Set<String> ids = new HashSet<>();
        copy.forEach(t -> {
            if (!ids.add(t.id())) {
                throw new IllegalArgumentException("targets: " + t.id() + " is listed twice");
            }
        });
        loop.post(() -> updateTargets(copy));
    }

    /** Returns a snapshot of the counters as one line of JSON. */
    public CompletableFuture<String> figures() {
        CompletableFuture<String> line = new CompletableFuture<>();
        loop.post(() -> line.complete(counters.toString()));
        if (closed.isDone()) {
            line.complete(counters.toString());
        }
        return line;
    }

    /** Closes the balancer as {@link #close(Duration)} does, with a timeout of ten seconds. */
    @Override
    public void close() {
        close(DEFAULT_CLOSE_TIMEOUT);
    }

    /**
     * Accepts no new jobs and waits for the open ones; jobs that are still open at the timeout end as failed or
     * refused. The call blocks until then, and a second call waits for the first. Do not call it from a sender or
     * from a stage of an outcome on a small pool: it would block a thread that the open jobs need.
     *
     * @return whether all jobs ended before the timeout
     */
    public boolean close(Duration timeout) {
        long deadline = loop.now() + Math.max(0, timeout.toNanos());
        synchronized (closed) {
            if (!closing) {
                closing = true;
                loop.post(() -> drain(deadline));
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

    private void drain(long deadline) {
        if (open.isEmpty() || loop.now() >= deadline) {
            boolean all = open.isEmpty();
            for (PendingDispatch each : List.copyOf(open)) {
                each.abandon();
            }
            // A caller that posts from here on sees the closed state; tasks posted before run before the loop stops.
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
                        drain(deadline);
                    }
                },
                loop.now() + DRAIN_CHECK_INTERVAL_NS);
    }

    private void updateTargets(List<Target> targets) {
        List<WorkerEndpoint> endpoints = new ArrayList<>();
        Set<String> listed = new HashSet<>();
        long at = loop.now();
        for (Target t : targets) {
            listed.add(t.id());
            TargetState state = byId.computeIfAbsent(t.id(), id -> new TargetState(++lastNumber));
            byNumber.put(state.number, state);
            state.target = t;
            state.acceptsNewWork = !t.draining();
            long startedAt = state.startedAt(t.started(), at, lastUpdateAt);
            endpoints.add(new WorkerEndpoint(
                    state.number,
                    t.cell(),
                    t.zone(),
                    t.kind(),
                    startedAt,
                    t.draining() ? EndpointState.DRAINING : EndpointState.READY));
        }
        engine.updateEndpoints(EndpointUpdate.SNAPSHOT, endpoints);
        lastUpdateAt = at;
        for (Target t : targets) {
            TargetState state = byId.get(t.id());
            if (state.load() != null) {
                engine.healthCheckCompleted(state.number, true, state.load());
            }
        }
        byId.values().stream()
                .filter(state -> !listed.contains(state.target.id()))
                .forEach(state -> state.acceptsNewWork = false);
        byId.keySet().retainAll(listed);
        byNumber.values().removeIf(state -> !listed.contains(state.target.id()) && state.inFlight == 0);
    }

    /** Runs host code on the host's executor, off the loop's thread; returns false if the executor rejects it. */
    private boolean runOnExecutor(Runnable hostCode) {
        try {
            executor.execute(() -> {
                try {
                    hostCode.run();
                } catch (RuntimeException e) {
                    LOG.log(Level.WARNING, "host callback failed", e);
                }
            });
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** An open dispatch: the future that the host holds and the ingress of the engine. */
    private final class PendingDispatch extends CompletableFuture<Outcome<R>> implements Ingress {
        private final Q job;
        private final BiConsumer<Target, Double> progress;
        private Request request;
        private R value;
        private String servedBy;
        private int attempts;

        PendingDispatch(Q job, BiConsumer<Target, Double> progress) {
            this.job = job;
            this.progress = progress;
        }

        /** Returns a plain future for dependent stages: cancelling one of them must not cancel the dispatch. */
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
            request = engine.submit(
                    Long.toString(++lastRequestId), new Job(0, type, budgetNs, 0, 1, 0, true), this, this);
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

        /** Ends the dispatch when the balancer closes: as failed if it may have run, as refused otherwise. */
        void abandon() {
            boolean begun = attempts > 0;
            end(begun ? new Outcome.Failed<>(false, CLOSED) : new Outcome.Refused<>(Optional.empty(), CLOSED));
            engine.clientDisconnected(request);
        }

        private void end(Outcome<R> outcome) {
            if (open.remove(this)) {
                deliver(outcome);
            }
        }

        /**
         * Completes the future off the loop's thread, even if the host's executor rejects it, since dependent stages
         * may block.
         */
        private void deliver(Outcome<R> outcome) {
            if (!Balancer.this.runOnExecutor(() -> complete(outcome))) {
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
            if (attempts == 0) { // the deadline passed between two checks of the dispatcher, before the job ran
                shed(r, retryAfterNs);
                return;
            }
            end(new Outcome.Failed<>(r.deadlineAt - Engine.ANSWER_MARGIN_NS <= engine.now(), why));
        }
    }

    /** The engine's egress, which passes attempts to the host's sender. */
    private final class SenderEgress implements Egress {
        @Override
        @SuppressWarnings("unchecked")
        public void send(Attempt attempt) {
            TargetState state = byNumber.get(attempt.target);
            if (state == null || !engine.routeTable().acceptsNewWork(attempt.target)) {
                engine.attemptEnded(attempt, beechseam.dispatch.Outcome.NOT_SENT, null, null);
                return;
            }
            SenderAttempt sending = new SenderAttempt((PendingDispatch) attempt.request.message, attempt, state);
            attempt.exchange = sending;
            state.inFlight++;
            sending.dispatch.attempts++;
            attempt.begun();
            if (!runOnExecutor(sending::send)) {
                sending.endUnsent();
            }
        }

        @Override
        @SuppressWarnings("unchecked")
        public void cancel(Attempt attempt) {
            if (attempt.exchange != null) {
                ((SenderAttempt) attempt.exchange).cancel();
            }
        }

        @Override
        public void healthCheck(long target) {
            TargetState state = byNumber.get(target);
            engine.healthCheckCompleted(target, state != null, state == null ? null : state.load());
        }
    }

    /** One attempt, as the sender gets it. */
    private final class SenderAttempt implements Sender.Attempt<Q> {
        private final PendingDispatch dispatch;
        private final Attempt attempt;
        private final TargetState state;
        private final Target target;
        private final int number;
        /** Time of the loop's clock from which the job must not be sent any more. */
        private final long latestBeginNs;

        private final List<Runnable> onCancel = new ArrayList<>(1);
        private boolean cancelled;
        private boolean ended;

        SenderAttempt(PendingDispatch dispatch, Attempt attempt, TargetState state) {
            this.dispatch = dispatch;
            this.attempt = attempt;
            this.state = state;
            target = state.target;
            number = attempt.number + 1;
            latestBeginNs = engine.latestBegin(attempt);
        }

        /** Calls the host's sender, unless the attempt waited too long for the executor on which this runs. */
        void send() {
            if (!mayBegin()) {
                loop.post(this::endUnsent);
                return;
            }
            CompletionStage<R> stage;
            try {
                stage = Objects.requireNonNull(sender.send(this), "the sender returned no stage");
            } catch (Exception e) {
                sendCompleted(null, e);
                return;
            }
            stage.whenComplete(this::sendCompleted);
        }

        /** Checks again what the dispatcher checked when it chose the target; runs on the executor. */
        private boolean mayBegin() {
            return !cancelled() && !dispatch.isDone() && state.acceptsNewWork && loop.now() < latestBeginNs;
        }

        /** Ends an attempt that the sender has not been given, on the loop's thread. */
        void endUnsent() {
            dispatch.attempts--;
            end(beechseam.dispatch.Outcome.NOT_SENT, null);
        }

        private void sendCompleted(R value, Throwable failure) {
            Throwable cause =
                    failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
            loop.post(() -> {
                if (cause == null && dispatch.servedBy == null && !attempt.hasEnded()) {
                    dispatch.value = value;
                    dispatch.servedBy = target.id();
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

        /**
         * Ends the attempt once, on the loop's thread. A cancelled attempt ends here too, since its slot at the
         * target is free only now.
         */
        void end(beechseam.dispatch.Outcome outcome, Throwable cause) {
            if (ended) {
                return;
            }
            ended = true;
            state.inFlight--;
            if (cause != null && !(cause instanceof NeverRanException)) {
                LOG.log(Level.DEBUG, "attempt at target " + target.id() + " failed", cause);
            }
            engine.attemptEnded(attempt, outcome, null, state.load());
            if (state.inFlight == 0 && byId.get(target.id()) != state) {
                byNumber.remove(state.number);
            }
        }

        void cancel() {
            List<Runnable> actions;
            synchronized (onCancel) {
                cancelled = true;
                actions = List.copyOf(onCancel);
                onCancel.clear();
            }
            actions.forEach(Balancer.this::runOnExecutor);
        }

        @Override
        public Q job() {
            return dispatch.job;
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
                if (dispatch.progress != null && !attempt.hasEnded() && !dispatch.isDone()) {
                    runOnExecutor(() -> dispatch.progress.accept(target, share));
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
            runOnExecutor(action);
        }
    }
}
