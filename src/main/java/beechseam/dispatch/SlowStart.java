package beechseam.dispatch;

/**
 * Slow start: a worker that has just started can do only part of what it can do when warm, and falls over when it is
 * sent more. Capacity grows linearly from the initial share to 1; until it is warm, what all dispatchers together
 * send within any window stays under a budget that they divide without talking to each other, by turns.
 */
final class SlowStart {
    /** Part of the budget that is used: speeds and sizes are estimates. */
    private static final double BUDGET_SAFETY = 0.5;
    /** A job's work may be this multiple of its estimate when it is booked. */
    private static final double BOOKING_MARGIN = 1.25;

    private final DispatchContext context;
    private final RunTimeModel runTimes;
    /** Since when it is known what this dispatcher has sent, in nanoseconds: an earlier process may have sent more. */
    private long sendsKnownSince;

    SlowStart(DispatchContext context, RunTimeModel runTimes) {
        this.context = context;
        this.runTimes = runTimes;
        sendsKnownSince = context.now;
    }

    /** Share of its warm capacity that a worker has at this time, by the host's clock in nanoseconds. */
    double slowStartCapacity(WorkerState worker, double at) {
        double initial = context.rules.initialCapacity();
        long durationNs = context.rules.slowStartNs();
        long startedNs = worker.endpoint.startedNs();
        if (startedNs <= 0 || durationNs <= 0) {
            return 1;
        }
        return Math.max(initial, Math.min(1, initial + (1 - initial) * (at - startedNs) / durationNs));
    }

    /** The same, now. */
    double slowStartCapacity(WorkerState worker) {
        return slowStartCapacity(worker, context.now);
    }

    /** Whether the budget applies: until a whole window has passed since the worker was warm. */
    boolean isWarmingUp(WorkerState worker) {
        long startedNs = worker.endpoint.startedNs();
        long age = context.now - startedNs;
        return startedNs > 0 && age < context.rules.slowStartNs() + context.rules.overloadWindowNs();
    }

    /** Whether this dispatcher's part of the worker's budget has room for the job; always, once it is warm. */
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
        // As many as can send it a mean job hold the right, in turns of a window: the sends of one turn have half of
        // it.
        int dispatchers = Math.max(1, context.settings.dispatcherCount());
        int holders = (int) Math.max(1, Math.min(dispatchers, budget / 2 / BOOKING_MARGIN / runTimes.meanRunNs));
        long turn = (context.now - worker.endpoint.startedNs()) / window * holders
                + worker.endpoint.id()
                + context.settings.dispatcherIndex();
        return turn % dispatchers < holders
                && sent + bookedWork(job) <= budget / holders / (holders < dispatchers ? 2 : 1);
    }

    /** The job is sent to the worker now: books it where the worker is warming up. */
    void recordSend(WorkerState worker, PendingJob job) {
        if (!isWarmingUp(worker)) {
            return;
        }
        while (!worker.sentWhileWarming.isEmpty()
                && worker.sentWhileWarming.peekFirst().sentAtNs() <= context.now - context.rules.overloadWindowNs()) {
            worker.sentWhileWarming.removeFirst();
        }
        worker.sentWhileWarming.addLast(new TimedWork(context.now, bookedWork(job)));
    }

    /** The record of sends is handed over: from now on others may send, and this one must not for a window. */
    void releaseSends() {
        sendsKnownSince = context.now;
    }

    /** Another process has handed over its record of sends: nothing is unknown. */
    void adoptSends() {
        sendsKnownSince = context.now - context.rules.overloadWindowNs();
    }

    /** A job of small hint is booked as a mean one: choosing small jobs chooses those whose hints are too low. */
    private static double bookedWork(PendingJob job) {
        return BOOKING_MARGIN * job.requiredSlots * Math.max(job.expectedRunNs, job.runTimes.meanRunNs);
    }
}
