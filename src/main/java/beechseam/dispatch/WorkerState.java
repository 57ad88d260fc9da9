package beechseam.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What is known of one listed worker. It only holds: each group of fields is written by the part of the module that
 * the group names. Times are by the host's clock, in nanoseconds; load is counted in slots.
 */
final class WorkerState {
    /** {@link WorkerTable}: the entry of discovery, and the index that all workers of its kind share. */
    WorkerEndpoint endpoint;

    final PerformanceIndex kind;
    /** The sum of capacities up to and with this worker, in the order of the ready workers. */
    double cumulativeCapacity;
    /** Number of the latest send in the order of all sends; a negative random number before the first. */
    long lastUsed;

    /** {@link RunTimeModel}: its own index, and its run time for one slot's work relative to the mean. */
    final PerformanceIndex speed = new PerformanceIndex();

    double performanceIndex = 1;

    /** {@link LoadEstimator}: its slots, assumed until it reports them, and their mean over its reports. */
    double slots;

    boolean slotsKnown;
    double meanReportedSlots;
    double reports;
    /** What this dispatcher has in flight there, now and as of the latest report, and how it changed lately. */
    double inFlightHere;

    double inFlightHereAtReport;
    final ArrayDeque<LoadChange> recentChanges = new ArrayDeque<>();
    /** What all others were estimated to have in flight there at {@link #reportedAt}. */
    double estimatedElsewhere;

    long reportedAt;
    LoadReport lastReport;
    long reportChangedAt;

    /** {@link OutlierDetector}: suspicion, 1 for none, as of {@link #suspectedAt}. */
    double suspicion = 1;

    long suspectedAt;

    /** {@link SlowStart}: what this dispatcher sent it while it warmed up. */
    final ArrayDeque<TimedWork> sentWhileWarming = new ArrayDeque<>();

    /** {@link TransferCost}: connections that should stand idle, and since when; {@link WorkerSelector} lists it. */
    long idleConnections;

    long connectionIdleSince;
    boolean listedAsConnected;

    /** {@link HealthChecker}: the latest check, and whether its answer is outstanding. */
    long healthCheckedAt;

    boolean healthCheckPending;

    /** Attempts in flight, in the order of their sends. */
    final List<Attempt> inFlight = new ArrayList<>();

    WorkerState(WorkerEndpoint endpoint, PerformanceIndex kind) {
        this.endpoint = endpoint;
        this.kind = kind;
    }

    boolean isReady() {
        return endpoint.state() == EndpointState.READY;
    }
}
