package beechseam.dispatch;

/**
 * Raw load of each worker now, in slots: this dispatcher's own attempts, which it knows, and those of all others,
 * which reports tell late. A report is dated half a report interval back and this dispatcher's own part as of then is
 * taken off; with its age the rest fades towards the mean that others have anywhere. O(1) a worker.
 */
final class LoadEstimator {
    /** Of what this dispatcher has sent a worker since its report, each other is taken to have sent this. */
    private static final double HERDING_CORRECTION = 0.7;
    /** A report of so many mean runs ago tells nothing any more: it counts by e to the minus that. */
    private static final double MAX_REPORT_AGE_RUNS = 30;
    /** Weight of one report in the mean interval of reports, and in the mean load of others. */
    private static final double INTERVAL_GAIN = 0.05;

    private static final double MEAN_LOAD_GAIN = 0.02;
    private static final double DEFAULT_SLOTS = 2;

    private final DispatchContext context;
    private final RunTimeModel runTimes;
    /** Whether any report or live weight has come in; until then all dispatchers are taken to send alike. */
    boolean everReported;
    /** Mean share of a worker's slots that others have in use. */
    double meanUtilizationElsewhere;

    double reportIntervalNs;
    /** Slots of the worker that reported last: what is assumed of a kind that has not reported. */
    double assumedSlots = DEFAULT_SLOTS;

    LoadEstimator(DispatchContext context, RunTimeModel runTimes) {
        this.context = context;
        this.runTimes = runTimes;
        reportIntervalNs = context.shortestObjectiveNs;
    }

    /** Raw load now, own and others'; what others were seen to have fades towards their mean as jobs end. */
    double rawLoad(WorkerState worker) {
        if (!everReported) {
            return worker.inFlightHere * context.settings.dispatcherCount();
        }
        double mean = meanUtilizationElsewhere * worker.slots;
        double age = (context.now - worker.reportedAt + reportIntervalNs / 2) / runTimes.meanRunNs;
        if (age > MAX_REPORT_AGE_RUNS) {
            return worker.inFlightHere + mean; // as it is for most of very many workers
        }
        // Others see what we see and choose alike: what we have added since the report, they have in part.
        double herding = HERDING_CORRECTION
                * Math.min(DispatchContext.MOST_VISIBLE_DISPATCHERS, context.settings.dispatcherCount() - 1)
                * Math.max(0, worker.inFlightHere - worker.inFlightHereAtReport);
        // By the age of what it tells: a report that was late already must not draw a crowd.
        double fade = Math.exp(-age);
        return worker.inFlightHere + mean + (worker.estimatedElsewhere + herding - mean) * fade;
    }

    /** A report replaces what was estimated of others' load; {@code report} may be null. */
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
            // Free and taken slots add up to all except for noise: their mean tells, the highest sum does not.
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

    /** The worker has so many slots, on the mean of its reports. */
    void adoptSlots(WorkerState worker, double meanReportedSlots) {
        worker.slots = Math.max(1, Math.rint(meanReportedSlots));
        worker.slotsKnown = true;
        worker.kind.slots = worker.slots;
        assumedSlots = worker.slots;
    }

    /** A live weight is its size, the most that one of its kind had, over 1 + what it holds for each slot. */
    void applyLiveWeight(WorkerState worker, double weight) {
        worker.kind.largestWeight = Math.max(worker.kind.largestWeight, weight);
        applyRawLoad(worker, worker.slots * (worker.kind.largestWeight / weight - 1));
        everReported = true;
    }

    /** The worker held so much in all, half a report interval ago. */
    private void applyRawLoad(WorkerState worker, double rawLoad) {
        worker.reportedAt = context.now;
        double inFlightThen = worker.inFlightHere;
        double reportDate = context.now - reportIntervalNs / 2;
        for (LoadChange change : worker.recentChanges) {
            inFlightThen -= change.atNs() > reportDate ? change.slots() : 0;
        }
        // The paper's dampening d is 0: reports are late, not jumpy.
        worker.estimatedElsewhere = Math.max(0, rawLoad - inFlightThen);
        worker.inFlightHereAtReport = inFlightThen;
        // Full is as much as one report may say of all the others: a long queue at one worker, reported again and
        // again, has stopped a dispatcher that then sent nothing and so got no better report.
        meanUtilizationElsewhere +=
                MEAN_LOAD_GAIN * (Math.min(1, worker.estimatedElsewhere / worker.slots) - meanUtilizationElsewhere);
    }

    private static double orElse(double value, double otherwise) {
        return Double.isNaN(value) ? otherwise : value;
    }

    /** Others hold between so many slots there: as of now, and not as an earlier report would have it. */
    void clampEstimate(WorkerState worker, double least, double most) {
        double elsewhere = rawLoad(worker) - worker.inFlightHere;
        if (elsewhere < least || elsewhere > most) {
            worker.estimatedElsewhere = Math.max(least, Math.min(most, elsewhere));
            worker.inFlightHereAtReport = worker.inFlightHere;
            worker.reportedAt = context.now + (long) (reportIntervalNs / 2);
        }
    }

    /** The attempt has begun: others hold what own runs leave free, and what came in behind it while it waited. */
    void recordStart(Attempt attempt) {
        WorkerState worker = attempt.worker;
        double behind = meanUtilizationElsewhere
                * worker.slots
                * Math.min(1, (context.now - attempt.sentAt) / runTimes.meanRunNs);
        clampEstimate(worker, 0, slotsAvailableToOthers(worker) + behind);
    }

    /** The worker turned an attempt away: its queue is full whatever was estimated. */
    void recordRejection(WorkerState worker) {
        worker.estimatedElsewhere = Math.max(worker.estimatedElsewhere, worker.slots + runTimes.meanRequiredSlots);
    }

    /** Slots of a worker that this dispatcher's running jobs leave to others. */
    double slotsAvailableToOthers(WorkerState worker) {
        double available = worker.slots;
        for (Attempt attempt : worker.inFlight) {
            available -= attempt.hasStarted() ? attempt.job.requiredSlots : 0;
        }
        return Math.max(0, available);
    }

    /** An own attempt was sent (positive slots) or has ended (negative). */
    void recordInFlight(WorkerState worker, double slots) {
        worker.inFlightHere = Math.max(0, worker.inFlightHere + slots);
        worker.recentChanges.addLast(new LoadChange(context.now, slots));
        while (worker.recentChanges.size() > 1
                && worker.recentChanges.peekFirst().atNs() < context.now - DispatchContext.HISTORY_NS) {
            worker.recentChanges.removeFirst();
        }
    }

    /** How long ago the worker was last heard of, in nanoseconds. */
    long reportAge(WorkerState worker) {
        return context.now - worker.reportedAt;
    }
}
