package beechseam.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * State of one listed worker, without logic of its own: a comment that begins with the name of a class says that this
 * class writes the field and those after it. Times are by the host's clock, in nanoseconds; load is in slots.
 */
final class WorkerState {
    /** {@link WorkerTable}: the worker's entry in the endpoint list. */
    WorkerEndpoint endpoint;
    /** Performance index shared by all workers of the same kind. */
    final PerformanceIndex kind;
    /** Sum of the capacities of the ready workers up to and including this one. */
    double cumulativeCapacity;
    /** {@link WorkerSelector}: sequence number of the latest send; before the first, a random number up to 0. */
    long lastUsed;

    /** {@link RunTimeModel}: performance index of this worker alone. */
    final PerformanceIndex speed = new PerformanceIndex();
    /** Run time of one slot's work relative to the mean, from the indices of the worker and its kind. */
    double performanceIndex = 1;

    /** {@link LoadEstimator}: the worker's slots, an assumption unless {@link #slotsKnown}. */
    double slots;
    /** Whether the worker has reported its slots. */
    boolean slotsKnown;
    /** Mean of the reported slots, over {@link #reports} reports. */
    double meanReportedSlots;

    double reports;
    /** Load that this dispatcher has in flight at the worker. */
    double inFlightHere;
    /** Load that this dispatcher had in flight at the worker as of the latest report. */
    double inFlightHereAtReport;
    /** Recent changes of {@link #inFlightHere}, oldest first. */
    final ArrayDeque<LoadChange> recentChanges = new ArrayDeque<>();
    /** Estimated load that all other dispatchers had in flight at the worker at {@link #reportedAt}. */
    double estimatedElsewhere;

    long reportedAt;
    LoadReport lastReport;
    /** When a report last differed from the one before it. */
    long reportChangedAt;

    /** {@link OutlierDetector}: suspicion as of {@link #suspectedAt}; 1 means none. */
    double suspicion = 1;

    long suspectedAt;

    /** {@link SlowStart}: work that this dispatcher has sent to the worker while it was warming up, oldest first. */
    final ArrayDeque<TimedWork> sentWhileWarming = new ArrayDeque<>();

    /** {@link TransferCost}: estimated number of idle connections to the worker. */
    long idleConnections;
    /** When an attempt last ended and may have left its connection idle. */
    long connectionIdleSince;
    /** {@link WorkerSelector}: whether the worker is in its list of connected workers. */
    boolean listedAsConnected;

    /** {@link HealthChecker}: when the latest health check was sent. */
    long healthCheckedAt;
    /** Whether the latest health check is not yet answered. */
    boolean healthCheckPending;

    /** {@link JobLifecycle} and {@link Dispatcher}: attempts in flight, in the order in which they were sent. */
    final List<Attempt> inFlight = new ArrayList<>();

    WorkerState(WorkerEndpoint endpoint, PerformanceIndex kind) {
        this.endpoint = endpoint;
        this.kind = kind;
    }

    boolean isReady() {
        return endpoint.state() == EndpointState.READY;
    }
}
