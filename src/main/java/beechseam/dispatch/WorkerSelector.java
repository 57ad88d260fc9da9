package beechseam.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Chooses the worker for a job: the eligible worker under the reject threshold that has the lowest effective load. An
 * idle connection, then least recent use break ties. This is speed-scaled least-loaded dispatch (eLL). In the symbols
 * of its paper, with a parallel batch size of pbl = 1 and a dampening of d = 0 (see {@link LoadEstimator}),
 *
 * <pre>el = floor((sf / tol) * (nrl + pbl * need))</pre>
 *
 * where el is {@link #effectiveLoad}, sf {@link #speedFactor}, tol {@link #TOLERANCE_SLOTS}, nrl the raw load and need
 * the job's required slots; sf is derived from PI, the performance index.
 *
 * <p>If few dispatchers share the workers, each considers all of them, in O(n). If many do, each considers a random
 * sample; see Mitzenmacher, "The power of two choices in randomized load balancing" (2001) and, for stale reports, "How
 * useful is old information?" (2000).
 */
final class WorkerSelector {
    /** Effective loads are rounded down to multiples of this many slots, so smaller differences count as ties. */
    private static final double TOLERANCE_SLOTS = 0.25;
    /** If many dispatchers share the workers, each samples its visible fraction of them, but at least this many. */
    private static final int MIN_SAMPLED = 2;
    /** Random draws allowed for a sample, regardless of its size. */
    private static final int MIN_DRAWS = 24;
    /** Further draws allowed for each worker wanted in the sample. */
    private static final int DRAWS_PER_WANTED = 2;
    /** One send in this many breaks ties by least recent use alone. */
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
    /** Workers at which an attempt has ended; their connections may have closed since. */
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

    /** Returns the worker for the job or for a hedge of it, or null if no eligible one is under the threshold. */
    WorkerState select(PendingJob job, boolean hedge) {
        WorkerState best = null;
        double bestLoad = 0;
        for (WorkerState worker : candidates(job)) {
            double load = effectiveLoad(worker, job);
            // Most workers do not beat the best one so far, so the costlier checks come last.
            boolean better = best == null || load < bestLoad || load == bestLoad && precedes(worker, best);
            if (better && isEligible(job, worker) && admission.isUnderThreshold(job, worker, hedge)) {
                best = worker;
                bestLoad = load;
            }
        }
        return best;
    }

    /** The worker's effective load including this job, plus the transfer cost, in units of the tolerance. */
    private double effectiveLoad(WorkerState worker, PendingJob job) {
        double load = Math.floor(speedFactor(worker) / TOLERANCE_SLOTS * (loads.rawLoad(worker) + job.requiredSlots));
        return load + Math.floor(transferCost.transferCost(job, worker) / TOLERANCE_SLOTS);
    }

    /** How many times longer a run takes at this worker than at the fastest, given suspicion and slow start. */
    private double speedFactor(WorkerState worker) {
        // A worker that has just started is rated as warm until it gets a job: it warms up by running jobs, and a run
        // is better evidence of its speed than the slow-start estimate.
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
     * Breaks the tie between two workers of equal load: an idle connection comes first, because it needs no handshake,
     * then the least recent use. Occasionally only the least recent use counts, since a worker that is never used could
     * not show that it is faster.
     */
    private boolean precedes(WorkerState worker, WorkerState other) {
        boolean explores = sends % JOBS_PER_EXPLORATION == 0;
        boolean connected = transferCost.hasIdleConnection(worker);
        return explores || connected == transferCost.hasIdleConnection(other)
                ? worker.lastUsed < other.lastUsed
                : connected;
    }

    /**
     * The workers considered for a job: all of them if this dispatcher can account for all sends. Otherwise many
     * dispatchers with the same delayed reports would all choose the same worker, so each considers a sample that is
     * weighted by capacity and includes a worker with an idle connection.
     */
    private Iterable<WorkerState> candidates(PendingJob job) {
        if (context.seesAllSends()) {
            return table.all();
        }
        List<WorkerState> ready = table.ready();
        int warming = table.warmingWorkers().size();
        List<WorkerState> sampled = new ArrayList<>(table.warmingWorkers()); // so that no slow-start turn is missed
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

    /** A random worker with an idle connection, or null; among very many workers a plain draw rarely finds one. */
    private WorkerState sampleConnected() {
        while (!connectedWorkers.isEmpty()) {
            int index = random.nextInt(connectedWorkers.size());
            WorkerState worker = connectedWorkers.get(index);
            if (worker.isReady() && transferCost.hasIdleConnection(worker)) {
                return worker;
            }
            connectedWorkers.set(index, connectedWorkers.get(connectedWorkers.size() - 1));
            connectedWorkers.remove(connectedWorkers.size() - 1);
            worker.listedAsConnected = false;
        }
        return null;
    }

    /** Records that an attempt is sent to the worker. */
    void recordSend(WorkerState worker) {
        worker.lastUsed = ++sends;
    }

    /** Records that an attempt has ended at the worker, which may leave an idle connection. */
    void recordEnd(WorkerState worker) {
        if (!worker.listedAsConnected && !context.seesAllSends()) {
            worker.listedAsConnected = connectedWorkers.add(worker);
        }
    }
}
