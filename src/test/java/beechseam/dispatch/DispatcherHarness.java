package beechseam.dispatch;

import java.util.ArrayList;
import java.util.List;

/** A module under test with the actions it has taken, and short ways to build what it is told. */
final class DispatcherHarness implements DispatchActions {
    static final long MS = 1_000_000L;
    static final long S = 1_000_000_000L;

    static final WorkerRules RULES = new WorkerRules(S / 4, 8 * S, 0.25, 8 * S, 3, S, false);

    final List<String> done = new ArrayList<>();
    final Dispatcher module;
    long now = 100 * S;

    DispatcherHarness(DispatchSettings settings) {
        this(settings, 7);
    }

    DispatcherHarness(DispatchSettings settings, long seed) {
        module = new Dispatcher(now, settings, seed, this);
    }

    static JobClass of(Idempotency idempotency, DeduplicationScope scope) {
        return new JobClass("c", 400 * MS, 4 * S, 2, 1, 0, idempotency, scope, 2 * S, null);
    }

    static DispatchSettings settings(
            LoadReportSource reports, boolean pollsEndpoints, int dispatcherCount, JobClass... classes) {
        return new DispatchSettings(
                List.of(classes),
                new DispatchLimits(3, S, true, true, reports == LoadReportSource.HEALTH_CHECKS, true, 10 * S),
                RULES,
                reports,
                pollsEndpoints,
                dispatcherCount,
                0,
                "z1",
                true,
                S,
                0.05,
                0,
                0.01,
                false);
    }

    /** Workers that may answer "full" for work that they had begun. */
    static DispatchSettings fullIsNoProof(JobClass... classes) {
        DispatchSettings s = settings(classes);
        WorkerRules rules = new WorkerRules(S / 4, 8 * S, 0.25, 8 * S, 3, S, true);
        return new DispatchSettings(
                s.classes(),
                s.limits(),
                rules,
                s.loadReportSource(),
                false,
                1,
                0,
                s.zone(),
                true,
                S,
                0.05,
                0,
                0.01,
                false);
    }

    static DispatchSettings settings(JobClass... classes) {
        return settings(LoadReportSource.ANSWERS, false, 1, classes);
    }

    static WorkerEndpoint worker(long id, String zone, long startedNs, EndpointState state) {
        return new WorkerEndpoint(id, 0, zone, "k", startedNs, state);
    }

    DispatcherHarness workers(int count) {
        List<WorkerEndpoint> entries = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            entries.add(worker(i, "z1", 0, EndpointState.READY));
        }
        module.endpointsUpdated(now, EndpointUpdate.CACHED, entries);
        return this;
    }

    /** Hands over a job of class 0 that needs one slot; returns the worker it went to, or 0. */
    long job(long id) {
        return job(id, 0, 1, 4 * S);
    }

    long job(long id, int jobClass, double slots, long budget) {
        module.jobArrived(now, new Job(id, jobClass, budget, 0, slots, 0));
        return workerOf(id);
    }

    long workerOf(long id) {
        long at = 0;
        for (String line : done) {
            String[] words = line.split(" ");
            at = words[0].equals("send") && words[1].equals("" + id) ? Long.parseLong(words[2]) : at;
        }
        return at;
    }

    void end(long id, int attempt, Outcome outcome, LoadReport load) {
        module.attemptEnded(now, id, attempt, outcome, outcome == Outcome.SERVED, load);
    }

    /** Runs a job from start to end in the given time on whatever worker takes it. */
    void run(long id, long time, LoadReport load) {
        module.attemptStarted(now, id, 0);
        now += time;
        end(id, 0, Outcome.SERVED, load);
    }

    void tick(long ns) {
        now += ns;
        module.timerFired(now, 1);
    }

    static LoadReport load(double held, double waiting, double free) {
        return new LoadReport(held, waiting, free, Double.NaN, Double.NaN);
    }

    boolean did(String action) {
        return done.contains(action);
    }

    long count(String prefix) {
        return done.stream().filter(line -> line.startsWith(prefix)).count();
    }

    @Override
    public void send(long job, long worker, long timeoutNs) {
        done.add("send " + job + " " + worker);
    }

    @Override
    public void cancel(long job, int attempt) {
        done.add("cancel " + job + " " + attempt);
    }

    @Override
    public void shed(long job, long retryAfterNs) {
        done.add("refuse " + job);
    }

    @Override
    public void fail(long job) {
        done.add("fail " + job);
    }

    @Override
    public void healthCheck(long worker) {
        done.add("probe " + worker);
    }

    @Override
    public void scheduleTimer(long delayNs, long tag) {
        done.add("wake " + tag);
    }

    @Override
    public void watchEndpoints() {
        done.add("watch");
    }

    @Override
    public void log(String text) {
        done.add("log " + text);
    }
}
