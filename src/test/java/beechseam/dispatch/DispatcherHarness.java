package beechseam.dispatch;

import java.util.ArrayList;
import java.util.List;

/** A dispatcher under test that records its actions, with helpers that build its settings and events. */
final class DispatcherHarness implements DispatchActions {
    static final long MS = 1_000_000L;
    static final long S = 1_000_000_000L;

    static final WorkerRules RULES = new WorkerRules(S / 4, 8 * S, 0.25, 8 * S, 3, S, false);

    final List<String> actions = new ArrayList<>();
    final Dispatcher dispatcher;
    long now = 100 * S;

    DispatcherHarness(DispatchSettings settings) {
        this(settings, 7);
    }

    DispatcherHarness(DispatchSettings settings, long seed) {
        dispatcher = new Dispatcher(now, settings, seed, this);
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

    /** Settings under which a worker may reject a job that it has begun. */
    static DispatchSettings settingsWhereRejectionMayHaveRun(JobClass... classes) {
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
        dispatcher.endpointsUpdated(now, EndpointUpdate.CACHED, entries);
        return this;
    }

    /** Submits a job of class 0 that requires one slot; returns the worker it is sent to, or 0 if it is not sent. */
    long job(long id) {
        return job(id, 0, 1, 4 * S);
    }

    long job(long id, int jobClass, double slots, long budget) {
        dispatcher.jobArrived(now, new Job(id, jobClass, budget, 0, slots, 0));
        return workerOf(id);
    }

    long workerOf(long id) {
        long worker = 0;
        for (String line : actions) {
            String[] words = line.split(" ");
            worker = words[0].equals("send") && words[1].equals("" + id) ? Long.parseLong(words[2]) : worker;
        }
        return worker;
    }

    void end(long id, int attempt, Outcome outcome, LoadReport load) {
        dispatcher.attemptEnded(now, id, attempt, outcome, outcome == Outcome.SERVED, load);
    }

    /** Reports the start of the job's first attempt and, after the given time, its successful end. */
    void run(long id, long time, LoadReport load) {
        dispatcher.attemptStarted(now, id, 0);
        now += time;
        end(id, 0, Outcome.SERVED, load);
    }

    void tick(long ns) {
        now += ns;
        dispatcher.timerFired(now, 1);
    }

    static LoadReport load(double inFlight, double queued, double free) {
        return new LoadReport(inFlight, queued, free, Double.NaN, Double.NaN);
    }

    boolean hasAction(String action) {
        return actions.contains(action);
    }

    long count(String prefix) {
        return actions.stream().filter(line -> line.startsWith(prefix)).count();
    }

    @Override
    public void send(long job, long worker, long timeoutNs) {
        actions.add("send " + job + " " + worker);
    }

    @Override
    public void cancel(long job, int attempt) {
        actions.add("cancel " + job + " " + attempt);
    }

    @Override
    public void shed(long job, long retryAfterNs) {
        actions.add("shed " + job);
    }

    @Override
    public void fail(long job) {
        actions.add("fail " + job);
    }

    @Override
    public void healthCheck(long worker) {
        actions.add("healthCheck " + worker);
    }

    @Override
    public void scheduleTimer(long delayNs, long tag) {
        actions.add("scheduleTimer " + tag);
    }

    @Override
    public void watchEndpoints() {
        actions.add("watchEndpoints");
    }

    @Override
    public void log(String text) {
        actions.add("log " + text);
    }
}
