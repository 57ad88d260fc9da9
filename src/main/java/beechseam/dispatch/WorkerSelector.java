package beechseam.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Chooses the worker for a job: of the eligible ones under the reject threshold that of lowest effective load, least
 * recently used on ties. This is speed-scaled least-loaded dispatch, eLL; in the paper's symbols, with parallel batch
 * size pbl = 1 and its dampening d = 0 (see {@link LoadEstimator}),
 *
 * <pre>el = floor((sf / tol) * (nrl + pbl * need))</pre>
 *
 * where el is {@link #effectiveLoad}, sf {@link #speedFactor}, tol {@link #TOLERANCE_SLOTS}, nrl the raw load, need the
 * job's required slots, and PI, of which sf is made, the performance index.
 *
 * <p>A few dispatchers choose among all workers, O(n). Of many, each samples some: "The power of two choices in
 * randomized load balancing" (Mitzenmacher, 2001), and for stale reports his "How useful is old information?" (2000).
 */
final class WorkerSelector {
    /** Among loads this close, in slots, the least recently used decides. */
    private static final double TOLERANCE_SLOTS = 0.25;
    /** Of many dispatchers each samples so many ready workers for a job, or its visible share of them. */
    private static final int MIN_SAMPLED = 2;
    /** Draws for a sample: so many, and more for each worker wanted. */
    private static final int MIN_DRAWS = 24;

    private static final int DRAWS_PER_WANTED = 2;
    /** Of so many jobs one goes by the least recent use where loads are equal. */
    private static final int JOBS_PER_EXPLORATION = 8;

    private final DispatchContext context;
    private final WorkerTable table;
    private final LoadEstimator loads;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final RetryPolicy retries;
    private final TransferCost transferCost;
    private final AdmissionPolicy admission;
    private final Random random;
    /** Workers that have ended an attempt; some may have no open connection any more. */
    private final List<WorkerState> connectedWorkers = new ArrayList<>();

    private long sends;

    WorkerSelector(FleetModel fleet, RetryPolicy retries, AdmissionPolicy admission, Random random) {
        context = fleet.context();
        table = fleet.table();
        loads = fleet.loads();
        outliers = fleet.outliers();
        slowStart = fleet.slowStart();
        transferCost = fleet.transferCost();
        this.retries = retries;
        this.admission = admission;
        this.random = random;
    }

    /** The worker for the job, or for a hedge of it, or null when all exceed the threshold. */
    WorkerState select(PendingJob job, boolean hedge) {
        WorkerState best = null;
        double bestLoad = 0;
        for (WorkerState worker : candidates(job)) {
            double load = effectiveLoad(worker, job);
            // Most are no better than the best so far: what costs more to evaluate comes after.
            boolean better = best == null || load < bestLoad || load == bestLoad && precedes(worker, best);
            if (better && isEligible(job, worker) && admission.isUnderThreshold(job, worker, hedge)) {
                best = worker;
                bestLoad = load;
            }
        }
        return best;
    }

    /** Effective load with the job on it, and what sending it there costs, in units of the tolerance. */
    private double effectiveLoad(WorkerState worker, PendingJob job) {
        double load = Math.floor(speedFactor(worker) / TOLERANCE_SLOTS * (loads.rawLoad(worker) + job.requiredSlots));
        return load + Math.floor(transferCost.transferCost(job, worker) / TOLERANCE_SLOTS);
    }

    /** How many times longer the worker takes than the fastest. */
    private double speedFactor(WorkerState worker) {
        // One that has just started gets a job at once: it warms by use, and its run tells more than a guess.
        boolean untried = context.seesAllSends() && worker.sentWhileWarming.isEmpty();
        return worker.performanceIndex
                / table.minPerformanceIndex()
                * outliers.suspicion(worker)
                / (untried ? 1 : slowStart.slowStartCapacity(worker));
    }

    private boolean isEligible(PendingJob job, WorkerState worker) {
        String requiredKind = job.jobClass.kind();
        return worker.isReady()
                && (requiredKind == null || requiredKind.equals(worker.endpoint.kind()))
                && !retries.attemptedRecently(job, worker)
                && !(worker.slotsKnown && job.requiredSlots > worker.slots)
                && retries.deduplicationScopeAllows(job, worker)
                && slowStart.slowStartBudgetAllows(worker, job);
    }

    /**
     * Of equal loads an open connection decides, which costs no handshake, then the least recent use; now and then that
     * alone, or a worker that is never used could never show that it is faster.
     */
    private boolean precedes(WorkerState worker, WorkerState other) {
        boolean explores = sends % JOBS_PER_EXPLORATION == 0;
        boolean connected = transferCost.hasIdleConnection(worker);
        return explores || connected == transferCost.hasIdleConnection(other)
                ? worker.lastUsed < other.lastUsed
                : connected;
    }

    /**
     * The workers that a job may go to: all, where this dispatcher can account for all sends. Many dispatchers with the
     * same late reports would all choose alike; there each samples by capacity, with one worker of an open connection.
     */
    private Iterable<WorkerState> candidates(PendingJob job) {
        if (context.seesAllSends()) {
            return table.all();
        }
        List<WorkerState> ready = table.ready();
        int warming = table.warmingWorkers().size();
        List<WorkerState> sampled = new ArrayList<>(table.warmingWorkers()); // their turns are not left to chance
        WorkerState connected = sampleConnected();
        if (connected != null && !sampled.contains(connected) && isEligible(job, connected)) {
            sampled.add(connected);
        }
        int wanted = warming + (int) Math.max(MIN_SAMPLED, context.visibleFraction * ready.size());
        int maxDraws = MIN_DRAWS + DRAWS_PER_WANTED * wanted;
        for (int i = 0; i < maxDraws && sampled.size() < wanted && !ready.isEmpty(); i++) {
            WorkerState worker = table.readyAtCapacity(random.nextDouble() * table.totalCapacity());
            if (!sampled.contains(worker) && isEligible(job, worker)) {
                sampled.add(worker);
            }
        }
        return sampled;
    }

    /** Any worker with an open connection, or null: of very many workers one drawn at random has none. */
    private WorkerState sampleConnected() {
        while (!connectedWorkers.isEmpty()) {
            int place = random.nextInt(connectedWorkers.size());
            WorkerState worker = connectedWorkers.get(place);
            if (worker.isReady() && transferCost.hasIdleConnection(worker)) {
                return worker;
            }
            connectedWorkers.set(place, connectedWorkers.get(connectedWorkers.size() - 1));
            connectedWorkers.remove(connectedWorkers.size() - 1);
            worker.listedAsConnected = false;
        }
        return null;
    }

    /** An attempt is sent to the worker. */
    void recordSend(WorkerState worker) {
        worker.lastUsed = ++sends;
    }

    /** An attempt has ended at the worker, which may leave a connection open. */
    void recordEnd(WorkerState worker) {
        if (!worker.listedAsConnected && !context.seesAllSends()) {
            worker.listedAsConnected = connectedWorkers.add(worker);
        }
    }
}
