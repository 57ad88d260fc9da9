package beechseam.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The listed workers in the order in which discovery named them first, and views of them that are renewed from time to
 * time, as each walks the whole table: those that are ready, with the running sum of their capacities, and those that
 * are warming up.
 */
final class WorkerTable {
    /** A worker of another zone is sampled the less by this, times what crossing costs a job of mean weight. */
    private static final double CROSS_ZONE_SAMPLING = 100;
    /** The first use of a worker is drawn from so many places: ties among unused workers fall to chance. */
    private static final int FIRST_USE_PLACES = 1 << 20;

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

    /** All workers; one that was removed stays until its attempts have ended. */
    Collection<WorkerState> all() {
        return workers.values();
    }

    /** The worker of this number, or null. */
    WorkerState get(long id) {
        return workers.get(id);
    }

    int size() {
        return workers.size();
    }

    /** The index of each kind of worker by its name. */
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

    /** The index of the fastest ready worker: the scale of speed factors. */
    double minPerformanceIndex() {
        return minPerformanceIndex;
    }

    /** The sum of the capacities of {@link #ready}. */
    double totalCapacity() {
        return totalCapacity;
    }

    /** The ready worker at this place in the running sum of capacities; O(log n). */
    WorkerState readyAtCapacity(double place) {
        int low = 0;
        int high = ready.size() - 1;
        while (low < high) {
            int middle = (low + high) / 2;
            if (ready.get(middle).cumulativeCapacity < place) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return ready.get(low);
    }

    /** The list of discovery, or what changed in it. */
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
            worker.lastUsed = -random.nextInt(FIRST_USE_PLACES);
            workers.put(entry.id(), worker);
        } else if (entry.startedNs() != worker.endpoint.startedNs()) { // a new process: what was known is void
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

    /** Renews indices, sums and views, unless they are younger than so many nanoseconds; O(n). */
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
