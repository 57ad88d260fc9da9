package beechseam.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * State that a dispatcher has learned, for the dispatcher of the successor process, which may run another version. It
 * is transferred as named rows of numbers, which the typed accessors encode and decode. An accessor returns null for a
 * row that is absent or has another length than this version writes, and the importer then keeps its own values. The
 * names of rows and the order of their numbers must not change.
 *
 * @param entries rows of numbers by name, as transferred between processes
 */
public record LearnedState(Map<String, double[]> entries) {
    /** Name of the row for all workers and classes together. */
    static final String FLEET = "";
    /** Prefix of the name of a job class's row, before the name of the class. */
    static final String CLASS_PREFIX = "class ";
    /** Prefix of the name of a worker kind's row, before the name of the kind. */
    static final String KIND_PREFIX = "kind ";
    /** Prefix of the name of a worker's row, before its id. */
    static final String WORKER_PREFIX = "worker ";
    /** Prefix of the name of the row of sends to a worker that was warming up, before the worker's id. */
    static final String WARMING_PREFIX = "cold ";

    private static final int FLEET_LENGTH = 6;
    private static final int CLASS_LENGTH = 5;
    private static final int KIND_LENGTH = 2;
    private static final int WORKER_LENGTH = 6;

    /** Values for the whole fleet; see {@link RunTimeModel}, {@link LoadEstimator} and {@link OutlierDetector}. */
    record Fleet(
            double meanRunNs,
            double runs,
            double meanUtilizationElsewhere,
            double reportIntervalNs,
            double startLagNs,
            boolean everReported) {}

    /** Values of a class of jobs; see {@link ClassRunTimes}. */
    record ClassEntry(
            double meanLogRun, double meanRunNs, double runs, double meanRequiredSlots, double longestBudgetNs) {}

    /** Values of a kind of worker; see {@link PerformanceIndex}. */
    record KindEntry(double meanLog, double runs) {}

    /**
     * Values of a worker; see {@link WorkerState}. {@code estimatedElsewhere} includes what the exporting dispatcher
     * itself has in flight, which is load of another dispatcher to the importing one.
     */
    record WorkerEntry(
            double meanLog,
            double runs,
            double meanReportedSlots,
            double reports,
            double estimatedElsewhere,
            double suspicion) {}

    /** A mutable state without rows. */
    static LearnedState empty() {
        return new LearnedState(new LinkedHashMap<>());
    }

    void putFleet(Fleet fleet) {
        entries.put(FLEET, new double[] {
            fleet.meanRunNs,
            fleet.runs,
            fleet.meanUtilizationElsewhere,
            fleet.reportIntervalNs,
            fleet.startLagNs,
            fleet.everReported ? 1 : 0
        });
    }

    /** The values for the whole fleet, or null. */
    Fleet fleet() {
        double[] row = row(FLEET, FLEET_LENGTH);
        return row == null ? null : new Fleet(row[0], row[1], row[2], row[3], row[4], row[5] > 0);
    }

    void putClass(String name, ClassEntry entry) {
        entries.put(CLASS_PREFIX + name, new double[] {
            entry.meanLogRun, entry.meanRunNs, entry.runs, entry.meanRequiredSlots, entry.longestBudgetNs
        });
    }

    /** The values of a class of jobs, or null. */
    ClassEntry jobClass(String name) {
        double[] row = row(CLASS_PREFIX + name, CLASS_LENGTH);
        return row == null ? null : new ClassEntry(row[0], row[1], row[2], row[3], row[4]);
    }

    void putKind(String name, KindEntry entry) {
        entries.put(KIND_PREFIX + name, new double[] {entry.meanLog, entry.runs});
    }

    /** The values of a kind of worker, or null. */
    KindEntry kind(String name) {
        double[] row = row(KIND_PREFIX + name, KIND_LENGTH);
        return row == null ? null : new KindEntry(row[0], row[1]);
    }

    void putWorker(long id, WorkerEntry entry) {
        entries.put(WORKER_PREFIX + id, new double[] {
            entry.meanLog, entry.runs, entry.meanReportedSlots, entry.reports, entry.estimatedElsewhere, entry.suspicion
        });
    }

    /** The values of a worker, or null. */
    WorkerEntry worker(long id) {
        double[] row = row(WORKER_PREFIX + id, WORKER_LENGTH);
        return row == null ? null : new WorkerEntry(row[0], row[1], row[2], row[3], row[4], row[5]);
    }

    /** Encodes each send as its age and its work in nanoseconds, because the clocks of two processes may differ. */
    void putSentWhileWarming(long id, long now, Collection<TimedWork> sent) {
        double[] row = new double[2 * sent.size()];
        int index = 0;
        for (TimedWork work : sent) {
            row[index++] = now - work.sentAtNs();
            row[index++] = work.workNs();
        }
        entries.put(WARMING_PREFIX + id, row);
    }

    /**
     * Sends to the worker while it was warming up, with times converted to the clock that shows {@code now}; empty if
     * there is no such row.
     */
    List<TimedWork> sentWhileWarming(long id, long now) {
        List<TimedWork> sent = new ArrayList<>();
        double[] row = entries.get(WARMING_PREFIX + id);
        for (int i = 1; row != null && i < row.length; i += 2) {
            sent.add(new TimedWork(now - row[i - 1], row[i]));
        }
        return sent;
    }

    private double[] row(String name, int length) {
        double[] row = entries.get(name);
        return row == null || row.length != length ? null : row;
    }
}
