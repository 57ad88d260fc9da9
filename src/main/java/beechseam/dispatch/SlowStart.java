package beechseam.dispatch;

/**
 * Slow start. A worker that has just started has only a share of its warm capacity and fails when it is sent more. The
 * share grows linearly from its initial value to 1. Until the worker is warm, the work that all dispatchers together
 * send it within any overload window stays under a budget. The dispatchers divide the budget without communication: the
 * right to send rotates among them on a fixed schedule.
 */
final class SlowStart {
    /** Share of the budget that is used, because speeds and job sizes are only estimates. */
    private static final double BUDGET_SAFETY = 0.5;
    /** Factor on the estimated work of a job that is charged to the budget: a job may take longer than estimated. */
    private static final double ESTIMATE_MARGIN = 1.25;

    private final DispatchContext context;
    private final RunTimeModel runTimes;
    /**
     * Time since which all sends with this dispatcher's index are known, in nanoseconds; an earlier process may have
     * sent others before.
     */
    private long sendsKnownSince;

    SlowStart(DispatchContext context, RunTimeModel runTimes) {
        this.context = context;
        this.runTimes = runTimes;
        sendsKnownSince = context.now;
    }

    /** Share of its warm capacity that the worker has at the time {@code at}, by the host's clock in nanoseconds. */
    double slowStartCapacity(WorkerState worker, double at) {
        double initial = context.rules.initialCapacity();
        long durationNs = context.rules.slowStartNs();
        long startedNs = worker.endpoint.startedNs();
        if (startedNs <= 0 || durationNs <= 0) {
            return 1;
        }
        return Math.max(initial, Math.min(1, initial + (1 - initial) * (at - startedNs) / durationNs));
    }

    /** Share of its warm capacity that the worker has now. */
    double slowStartCapacity(WorkerState worker) {
        return slowStartCapacity(worker, context.now);
    }

    /** Whether the budget applies to the worker: until one overload window after it has become warm. */
    boolean isWarmingUp(WorkerState worker) {
        long startedNs = worker.endpoint.startedNs();
        long age = context.now - startedNs;
        return startedNs > 0 && age < context.rules.slowStartNs() + context.rules.overloadWindowNs();
    }

    /** Whether this dispatcher's share of the worker's budget allows the job; always true once the worker is warm. */
    boolean slowStartBudgetAllows(WorkerState worker, PendingJob job) {
        long window = context.rules.overloadWindowNs();
        if (!isWarmingUp(worker)) {
            return true;
        }
        if (context.now - sendsKnownSince < window) {
            return false;
        }
        double sent = 0;
        for (TimedWork work : worker.sentWhileWarming) {
            sent += work.sentAtNs() > context.now - window ? work.workNs() : 0;
        }
        double budget = context.rules.overloadFactor()
                * BUDGET_SAFETY
                * slowStartCapacity(worker, context.now - window)
                / worker.performanceIndex
                * window;
        // A turn lasts one window and gives as many dispatchers the right to send as the budget allows one mean job
        // each. Any window can overlap two turns, so where the right rotates, each turn gets half of the budget.
        int dispatchers = Math.max(1, context.settings.dispatcherCount());
        int holders = (int) Math.max(1, Math.min(dispatchers, budget / 2 / ESTIMATE_MARGIN / runTimes.meanRunNs));
        long turn = (context.now - worker.endpoint.startedNs()) / window * holders
                + worker.endpoint.id()
                + context.settings.dispatcherIndex();
        return turn % dispatchers < holders
                && sent + chargedWork(job) <= budget / holders / (holders < dispatchers ? 2 : 1);
    }

    /** Charges a job that is sent now to the worker's budget if the worker is warming up. */
    void recordSend(WorkerState worker, PendingJob job) {
        if (!isWarmingUp(worker)) {
            return;
        }
        while (!worker.sentWhileWarming.isEmpty()
                && worker.sentWhileWarming.peekFirst().sentAtNs() <= context.now - context.rules.overloadWindowNs()) {
            worker.sentWhileWarming.removeFirst();
        }
        worker.sentWhileWarming.addLast(new TimedWork(context.now, chargedWork(job)));
    }

    /**
     * Hands over the record of sends: from now on another process may send in this dispatcher's place, so this one must
     * not send to warming workers for one window.
     */
    void releaseSends() {
        sendsKnownSince = context.now;
    }

    /** Adopts the record of sends of an earlier process, after which no earlier sends are unknown. */
    void adoptSends() {
        sendsKnownSince = context.now - context.rules.overloadWindowNs();
    }

    /**
     * Work that a job is charged as, in nanoseconds of one slot. A job whose hint is below the mean is charged as a
     * mean one: selecting jobs with small hints also selects those whose hints are too low.
     */
    private static double chargedWork(PendingJob job) {
        return ESTIMATE_MARGIN * job.requiredSlots * Math.max(job.expectedRunNs, job.runTimes.meanRunNs);
    }
}
