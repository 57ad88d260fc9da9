package beechseam.dispatch;

/**
 * Estimates the raw load of each worker, in slots, in O(1) per worker. Raw load is the sum of this dispatcher's
 * attempts in flight, which are known exactly, and those of all other dispatchers, which are estimated from load
 * reports. A report is assumed to be half a report interval old on arrival, and what this dispatcher had in flight at
 * that time is subtracted from it. As the report ages, the remainder decays towards the mean load from other
 * dispatchers.
 */
final class LoadEstimator {
    /** Share of this dispatcher's sends since a worker's report that each other one is assumed to have sent too. */
    private static final double HERDING_CORRECTION = 0.7;
    /** Age in mean runs past which a report is ignored, as its weight, e^-age, is then negligible. */
    private static final double MAX_REPORT_AGE_RUNS = 30;
    /** Weight of one report in the mean report interval. */
    private static final double INTERVAL_GAIN = 0.05;
    /** Weight of one report in the mean utilization by other dispatchers. */
    private static final double MEAN_LOAD_GAIN = 0.02;
    /** Slots assumed of each worker until one reports its own. */
    private static final double DEFAULT_SLOTS = 2;

    private final DispatchContext context;
    private final RunTimeModel runTimes;
    /** Whether any load report or live weight has arrived; until then all dispatchers are assumed to send alike. */
    boolean everReported;
    /** Mean share of a worker's slots that other dispatchers have in use. */
    double meanUtilizationElsewhere;
    /** Mean time between changes of a worker's report, in nanoseconds. */
    double reportIntervalNs;
    /** Slots of the worker that reported last, assumed for kinds of which no worker has reported. */
    double assumedSlots = DEFAULT_SLOTS;

    LoadEstimator(DispatchContext context, RunTimeModel runTimes) {
        this.context = context;
        this.runTimes = runTimes;
        reportIntervalNs = context.shortestObjectiveNs;
    }

    /** The worker's estimated raw load now, in slots, from this and all other dispatchers. */
    double rawLoad(WorkerState worker) {
        if (!everReported) {
            return worker.inFlightHere * context.settings.dispatcherCount();
        }
        double mean = meanUtilizationElsewhere * worker.slots;
        double age = (context.now - worker.reportedAt + reportIntervalNs / 2) / runTimes.meanRunNs;
        if (age > MAX_REPORT_AGE_RUNS) {
            return worker.inFlightHere + mean; // the usual case in a large fleet: most reports are old
        }
        // Other dispatchers see the same reports and choose alike, so each is assumed to have added a share of what
        // this one has added since the report.
        double herding = HERDING_CORRECTION
                * Math.min(DispatchContext.MOST_VISIBLE_DISPATCHERS, context.settings.dispatcherCount() - 1)
                * Math.max(0, worker.inFlightHere - worker.inFlightHereAtReport);
        // The age includes the delay of the report on arrival; otherwise a delayed report of a low load would make all
        // dispatchers choose that worker at once.
        double decay = Math.exp(-age);
        return worker.inFlightHere + mean + (worker.estimatedElsewhere + herding - mean) * decay;
    }

    /** Replaces the estimate of other dispatchers' load by a report; does nothing if {@code report} is null. */
    void applyLoadReport(WorkerState worker, LoadReport report) {
        if (report == null) {
            return;
        }
        long now = context.now;
        everReported = true;
        if (!report.equals(worker.lastReport)) {
            if (worker.lastReport != null && now - worker.reportedAt < reportIntervalNs) {
                double unchangedNs = Math.min(now - worker.reportChangedAt, DispatchContext.HISTORY_NS);
                reportIntervalNs += INTERVAL_GAIN * (unchangedNs - reportIntervalNs);
            }
            worker.reportChangedAt = now;
        }
        worker.lastReport = report;
        double queued = orElse(report.queued(), 0);
        double running = orElse(report.inFlight(), 0) - queued;
        double unknown = Double.MAX_VALUE;
        double availableSlots = Math.min(orElse(report.freeSlots(), unknown), orElse(report.freeMemory(), unknown));
        if (!Double.isNaN(report.freeSlots())) {
            // Free plus used slots equal the worker's slots except for noise, so their mean is used and not their
            // maximum.
            worker.meanReportedSlots +=
                    (report.freeSlots() + Math.max(0, running) - worker.meanReportedSlots) / ++worker.reports;
            adoptSlots(worker, worker.meanReportedSlots);
        }
        double inUse = running;
        if (availableSlots < unknown) {
            inUse = Math.max(running, worker.slots - availableSlots);
        } else if (Double.isNaN(report.inFlight())) {
            inUse = orElse(report.utilization(), 0) * worker.slots;
        }
        applyRawLoad(worker, inUse + queued * runTimes.meanRequiredSlots);
    }

    /** Sets the slots of the worker, and the slots assumed of workers that have not reported, from this mean. */
    void adoptSlots(WorkerState worker, double meanReportedSlots) {
        worker.slots = Math.max(1, Math.rint(meanReportedSlots));
        worker.slotsKnown = true;
        worker.kind.slots = worker.slots;
        assumedSlots = worker.slots;
    }

    /**
     * Derives the worker's raw load from its live weight, which is its size divided by 1 plus its load per slot. The
     * largest weight seen of a worker of its kind is taken as its size.
     */
    void applyLiveWeight(WorkerState worker, double weight) {
        worker.kind.largestWeight = Math.max(worker.kind.largestWeight, weight);
        applyRawLoad(worker, worker.slots * (worker.kind.largestWeight / weight - 1));
        everReported = true;
    }

    /** Applies a raw load, in slots, that the worker had half a report interval ago. */
    private void applyRawLoad(WorkerState worker, double rawLoad) {
        worker.reportedAt = context.now;
        double inFlightAtReport = worker.inFlightHere;
        double reportDate = context.now - reportIntervalNs / 2;
        for (LoadChange change : worker.recentChanges) {
            inFlightAtReport -= change.atNs() > reportDate ? change.slots() : 0;
        }
        // No smoothing (the dampening d of eLL, see WorkerSelector, is 0): reports are delayed, but not noisy.
        worker.estimatedElsewhere = Math.max(0, rawLoad - inFlightAtReport);
        worker.inFlightHereAtReport = inFlightAtReport;
        // One report counts as full utilization at most. Without this limit, repeated reports of a long queue at one
        // worker raised the mean until the dispatcher sent nothing, and so received no newer reports.
        meanUtilizationElsewhere +=
                MEAN_LOAD_GAIN * (Math.min(1, worker.estimatedElsewhere / worker.slots) - meanUtilizationElsewhere);
    }

    private static double orElse(double value, double otherwise) {
        return Double.isNaN(value) ? otherwise : value;
    }

    /**
     * Limits the estimate of other dispatchers' load at the worker to a range, in slots. A changed estimate is dated
     * now, so that it does not decay by the age of the earlier report.
     */
    void clampEstimate(WorkerState worker, double min, double max) {
        double elsewhere = rawLoad(worker) - worker.inFlightHere;
        if (elsewhere < min || elsewhere > max) {
            worker.estimatedElsewhere = Math.max(min, Math.min(max, elsewhere));
            worker.inFlightHereAtReport = worker.inFlightHere;
            worker.reportedAt = context.now + (long) (reportIntervalNs / 2);
        }
    }

    /**
     * Lowers the estimate when an attempt has started: other dispatchers have at most the slots that this one's running
     * jobs leave free, plus the jobs that are expected to have queued behind the attempt while it waited.
     */
    void recordStart(Attempt attempt) {
        WorkerState worker = attempt.worker;
        double queuedBehind = meanUtilizationElsewhere
                * worker.slots
                * Math.min(1, (context.now - attempt.sentAt) / runTimes.meanRunNs);
        clampEstimate(worker, 0, slotsAvailableToOthers(worker) + queuedBehind);
    }

    /** Raises the estimate after a rejection: the worker's slots are taken and at least one mean job is queued. */
    void recordRejection(WorkerState worker) {
        worker.estimatedElsewhere = Math.max(worker.estimatedElsewhere, worker.slots + runTimes.meanRequiredSlots);
    }

    /** Slots of the worker that are not used by running jobs of this dispatcher. */
    double slotsAvailableToOthers(WorkerState worker) {
        double available = worker.slots;
        for (Attempt attempt : worker.inFlight) {
            available -= attempt.hasStarted() ? attempt.job.requiredSlots : 0;
        }
        return Math.max(0, available);
    }

    /** Records that this dispatcher has sent an attempt (positive slots) or that one has ended (negative slots). */
    void recordInFlight(WorkerState worker, double slots) {
        worker.inFlightHere = Math.max(0, worker.inFlightHere + slots);
        worker.recentChanges.addLast(new LoadChange(context.now, slots));
        while (worker.recentChanges.size() > 1
                && worker.recentChanges.peekFirst().atNs() < context.now - DispatchContext.HISTORY_NS) {
            worker.recentChanges.removeFirst();
        }
    }

    /** Age of the latest information about the worker's load, in nanoseconds. */
    long reportAge(WorkerState worker) {
        return context.now - worker.reportedAt;
    }
}
