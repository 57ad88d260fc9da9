package beechseam.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The listed workers, in the order in which discovery first listed them, and two views of the ready ones: warm workers
 * with the running sum of their capacities, and workers that are warming up. The views are refreshed only from time to
 * time, because a refresh walks the whole table.
 */
final class WorkerTable {
    /**
     * Factor on the cross-zone cost of a job of mean weight: a worker of another zone is sampled with a probability
     * that is divided by 1 plus this product.
     */
    private static final double CROSS_ZONE_SAMPLING = 100;
    /** Range of the random order of unused workers, by which ties among them are broken. */
    private static final int UNUSED_ORDER_RANGE = 1 << 20;

    private final DispatchContext context;
    private final RunTimeModel runTimes;
    private final LoadEstimator loads;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final Random random;
    private final Map<Long, WorkerState> workers = new LinkedHashMap<>();
    private final Map<String, PerformanceIndex> kinds = new LinkedHashMap<>();
    private final List<WorkerState> ready = new ArrayList<>();
    private final List<WorkerState> warmingWorkers = new ArrayList<>();
    private double minPerformanceIndex = 1;
    private double totalCapacity;
    private long refreshedAt;

    WorkerTable(
            DispatchContext context,
            RunTimeModel runTimes,
            LoadEstimator loads,
            OutlierDetector outliers,
            SlowStart slowStart,
            Random random) {
        this.context = context;
        this.runTimes = runTimes;
        this.loads = loads;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.random = random;
    }

    /** All workers; a removed worker stays in the table until its attempts have ended. */
    Collection<WorkerState> all() {
        return workers.values();
    }

    /** The worker with this id, or null. */
    WorkerState get(long id) {
        return workers.get(id);
    }

    int size() {
        return workers.size();
    }

    /** The performance index of each kind of worker, by the name of the kind. */
    Map<String, PerformanceIndex> kinds() {
        return kinds;
    }

    /** Warm workers that were ready at the latest {@link #refresh}. */
    List<WorkerState> ready() {
        return ready;
    }

    /** Workers that were ready and warming up at the latest {@link #refresh}. */
    List<WorkerState> warmingWorkers() {
        return warmingWorkers;
    }

    /** The lowest performance index of a ready worker, to which speed factors are relative. */
    double minPerformanceIndex() {
        return minPerformanceIndex;
    }

    /** The sum of the capacities of {@link #ready}. */
    double totalCapacity() {
        return totalCapacity;
    }

    /** The ready worker whose interval of the running sum of capacities contains the position; O(log n). */
    WorkerState readyAtCapacity(double position) {
        int low = 0;
        int high = ready.size() - 1;
        while (low < high) {
            int middle = (low + high) / 2;
            if (ready.get(middle).cumulativeCapacity < position) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return ready.get(low);
    }

    /** Applies a full endpoint list or a change of it, and refreshes the views. */
    void applyEndpointUpdate(EndpointUpdate update, List<WorkerEndpoint> entries) {
        if (update == EndpointUpdate.SNAPSHOT) {
            for (WorkerState worker : workers.values()) {
                worker.endpoint = removed(worker.endpoint);
            }
        }
        for (WorkerEndpoint entry : entries) {
            applyEntry(entry);
        }
        workers.values()
                .removeIf(worker -> worker.endpoint.state() == EndpointState.REMOVED && worker.inFlight.isEmpty());
        refresh(0);
    }

    private void applyEntry(WorkerEndpoint entry) {
        WorkerState worker = workers.get(entry.id());
        if (worker == null) {
            worker = new WorkerState(entry, kinds.computeIfAbsent(entry.kind(), name -> new PerformanceIndex()));
            worker.slots = worker.kind.slots > 0 ? worker.kind.slots : loads.assumedSlots; // until it reports
            worker.lastUsed = -random.nextInt(UNUSED_ORDER_RANGE);
            workers.put(entry.id(), worker);
        } else if (entry.startedNs() != worker.endpoint.startedNs()) { // a new process: drop the state of the old one
            worker.estimatedElsewhere = 0;
            worker.suspicion = 1;
            worker.sentWhileWarming.clear();
        }
        worker.endpoint = entry;
        if (context.settings.liveWeights() && entry.weight() > 0) {
            loads.applyLiveWeight(worker, entry.weight());
        }
    }

    private static WorkerEndpoint removed(WorkerEndpoint entry) {
        return new WorkerEndpoint(
                entry.id(),
                entry.cell(),
                entry.zone(),
                entry.kind(),
                entry.startedNs(),
                EndpointState.REMOVED,
                entry.weight());
    }

    /** Recomputes indices, sums and views unless they are less than {@code minAgeNs} nanoseconds old; O(n). */
    void refresh(long minAgeNs) {
        if (context.now - refreshedAt < minAgeNs) {
            return;
        }
        refreshedAt = context.now;
        minPerformanceIndex = Double.MAX_VALUE;
        totalCapacity = 0;
        warmingWorkers.clear();
        ready.clear();
        for (WorkerState worker : workers.values()) {
            worker.slots = worker.slotsKnown || worker.kind.slots == 0 ? worker.slots : worker.kind.slots;
            runTimes.refreshPerformanceIndex(worker);
            if (worker.isReady()) {
                addReady(worker);
            }
        }
    }

    private void addReady(WorkerState worker) {
        minPerformanceIndex = Math.min(minPerformanceIndex, worker.performanceIndex);
        boolean warmingUp = slowStart.isWarmingUp(worker);
        (warmingUp ? warmingWorkers : ready).add(worker);
        double crossZone = context.isLocal(worker) ? 0 : CROSS_ZONE_SAMPLING * context.settings.crossZoneCost();
        totalCapacity += warmingUp ? 0 : 1 / (1 + crossZone) / worker.performanceIndex / outliers.suspicion(worker);
        worker.cumulativeCapacity = totalCapacity;
    }
}
