package beechseam.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a dispatcher has learned, for the dispatcher of the next process, which may be of another version. It travels as
 * rows of figures by name; the typed accessors are the codec. A row that is absent, or of another length than this
 * version writes, reads as null, and the reader keeps what it has. Names and order of figures must not change.
 *
 * @param entries rows of figures by name, as they are handed from process to process
 */
public record LearnedState(Map<String, double[]> entries) {
    /** Name of the row of all workers and classes together. */
    static final String FLEET = "";
    /** How the name of a class's row begins; the name of the class follows. */
    static final String CLASS_PREFIX = "class ";
    /** How the name of the row of a kind of worker begins; the name of the kind follows. */
    static final String KIND_PREFIX = "kind ";
    /** How the name of a worker's row begins; its number follows. */
    static final String WORKER_PREFIX = "worker ";
    /** How the name of a row of what a worker was sent while it warmed up begins; its number follows. */
    static final String WARMING_PREFIX = "cold ";

    private static final int FLEET_LENGTH = 6;
    private static final int CLASS_LENGTH = 5;
    private static final int KIND_LENGTH = 2;
    private static final int WORKER_LENGTH = 6;

    /** See {@link RunTimeModel}, {@link LoadEstimator} and {@link OutlierDetector}. */
    record Fleet(
            double meanRunNs,
            double runs,
            double meanUtilizationElsewhere,
            double reportIntervalNs,
            double startLagNs,
            boolean everReported) {}

    /** See {@link ClassRunTimes}. */
    record ClassEntry(
            double meanLogRun, double meanRunNs, double runs, double meanRequiredSlots, double longestBudgetNs) {}

    /** See {@link PerformanceIndex}. */
    record KindEntry(double meanLog, double runs) {}

    /** See {@link WorkerState}; to another dispatcher what the writer has in flight is load of others. */
    record WorkerEntry(
            double meanLog,
            double runs,
            double meanReportedSlots,
            double reports,
            double estimatedElsewhere,
            double suspicion) {}

    /** A state with no rows, to be filled. */
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

    /** The row of the fleet, or null. */
    Fleet fleet() {
        double[] row = row(FLEET, FLEET_LENGTH);
        return row == null ? null : new Fleet(row[0], row[1], row[2], row[3], row[4], row[5] > 0);
    }

    void putClass(String name, ClassEntry entry) {
        entries.put(CLASS_PREFIX + name, new double[] {
            entry.meanLogRun, entry.meanRunNs, entry.runs, entry.meanRequiredSlots, entry.longestBudgetNs
        });
    }

    /** The row of a class of jobs, or null. */
    ClassEntry jobClass(String name) {
        double[] row = row(CLASS_PREFIX + name, CLASS_LENGTH);
        return row == null ? null : new ClassEntry(row[0], row[1], row[2], row[3], row[4]);
    }

    void putKind(String name, KindEntry entry) {
        entries.put(KIND_PREFIX + name, new double[] {entry.meanLog, entry.runs});
    }

    /** The row of a kind of worker, or null. */
    KindEntry kind(String name) {
        double[] row = row(KIND_PREFIX + name, KIND_LENGTH);
        return row == null ? null : new KindEntry(row[0], row[1]);
    }

    void putWorker(long id, WorkerEntry entry) {
        entries.put(WORKER_PREFIX + id, new double[] {
            entry.meanLog, entry.runs, entry.meanReportedSlots, entry.reports, entry.estimatedElsewhere, entry.suspicion
        });
    }

    /** The row of a worker, or null. */
    WorkerEntry worker(long id) {
        double[] row = row(WORKER_PREFIX + id, WORKER_LENGTH);
        return row == null ? null : new WorkerEntry(row[0], row[1], row[2], row[3], row[4], row[5]);
    }

    /** Each send travels as its age and its work in nanoseconds: the clocks of two processes may differ. */
    void putSentWhileWarming(long id, long now, Collection<TimedWork> sent) {
        double[] row = new double[2 * sent.size()];
        int place = 0;
        for (TimedWork work : sent) {
            row[place++] = now - work.sentAtNs();
            row[place++] = work.workNs();
        }
        entries.put(WARMING_PREFIX + id, row);
    }

    /** What a worker was sent while it warmed up, dated by the clock that shows {@code now}; empty when not known. */
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
