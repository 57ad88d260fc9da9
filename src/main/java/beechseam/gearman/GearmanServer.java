package beechseam.gearman;

import beechseam.config.GearmanConfig;
import beechseam.core.Counters;
import beechseam.core.Timer;
import beechseam.gearman.queue.Admission;
import beechseam.gearman.queue.Admission.Rejection;
import beechseam.gearman.queue.ByteBudget;
import beechseam.gearman.queue.FunctionArbiter;
import beechseam.gearman.queue.Submitter;
import beechseam.gearman.queue.WorkerGroups.Location;
import beechseam.net.EventLoop;
import beechseam.net.Listener;
import beechseam.net.OutputMemory;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A Gearman job server. It owns the connections, functions and jobs, and enforces the limits on each of them. */
public final class GearmanServer {
    private static final Logger LOG = System.getLogger(GearmanServer.class.getName());
    private static final long SWEEP_INTERVAL_NS = 1_000_000_000L;
    /**
     * A function without jobs for this long is suspended. If it has no workers either, and is not pinned, it is
     * removed.
     */
    private static final long IDLE_TIMEOUT_NS = 10_000_000_000L;

    final EventLoop loop;
    final GearmanConfig config;
    final long seed;
    final Jobs jobs;
    final ByteBudget budget;
    final OutputMemory output = new OutputMemory();
    final OutputLimit outputLimit;
    final Admission admission;
    final Admin admin = new Admin(this);
    long badInput;
    /** Sum of the counters of removed functions. */
    private final Counters removedFunctionCounters = new Counters();

    private final Listener listener;
    private final Set<GearmanConnection> connections = new LinkedHashSet<>();
    private final Set<GearmanConnection> awaitingMemory = new LinkedHashSet<>();
    private final Map<String, GearmanFunction> functions = new LinkedHashMap<>();
    /** Functions with queued jobs. */
    private final Set<GearmanFunction> backlogged = new LinkedHashSet<>();

    private final FunctionArbiter<GearmanFunction> arbiter;
    private final Set<String> drained = new HashSet<>();
    private final Timer sweep = new Timer() {
        @Override
        protected void fire() {
            sweep();
        }
    };
    private long lastWorkerNumber;
    private final Shutdown shutdown = new Shutdown(this);

    /**
     * Creates a server and starts to listen.
     *
     * @param seed seed of the random generators of the dispatchers
     * @throws IOException if the listen address cannot be bound
     */
    public GearmanServer(EventLoop loop, GearmanConfig config, long seed) throws IOException {
        this.loop = loop;
        this.config = config;
        this.seed = seed;
        budget = new ByteBudget(config.bounds().memory());
        outputLimit = new OutputLimit(budget, output);
        jobs = new Jobs(config.name(), budget);
        admission = new Admission(
                new Admission.Limits(config.bounds().jobs(), config.bounds().jobsPerClient()));
        arbiter = new FunctionArbiter<>(
                config.turns().ageingTurn(), config.turns().ageingNs());
        config.functions().keySet().stream()
                .filter(name -> !name.equals(GearmanConfig.ANY))
                .forEach(name -> createFunction(name, null).pinned = true);
        listener = new Listener(loop, config.listen(), this::accept);
        loop.timers.set(sweep, loop.now() + SWEEP_INTERVAL_NS);
        LOG.log(Level.INFO, "job server listening name=" + config.name() + " address=" + listener.address());
    }

    /** The address that the server listens on. */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** Sum of the dispatcher counters of all functions, including functions that have been removed. */
    public Counters counters() {
        Counters all = new Counters();
        all.add(removedFunctionCounters);
        functions.values().forEach(function -> all.add(function.counters()));
        all.badInput += badInput;
        return all;
    }

    /** Counts of jobs, memory and connections, as JSON: accepted jobs are those alive plus all ended ones. */
    public String figures() {
        StringBuilder json = new StringBuilder("{\"accepted\":")
                .append(jobs.accepted())
                .append(",\"alive\":")
                .append(jobs.size());
        for (Jobs.End end : Jobs.End.values()) {
            json.append(",\"")
                    .append(end.name().toLowerCase(java.util.Locale.ROOT))
                    .append("\":")
                    .append(jobs.ended(end));
        }
        return json.append(",\"workload_bytes\":")
                .append(budget.workloadBytes())
                .append(",\"connections\":")
                .append(connections.size())
                .append(",\"functions\":")
                .append(functions.size())
                .append(",\"module\":")
                .append(counters())
                .append('}')
                .toString();
    }

    private void accept(SocketChannel channel) throws IOException {
        int maxConnections = config.bounds().connections();
        connections.add(new GearmanConnection(this, channel));
        if (connections.size() >= maxConnections && !evictSilent()) {
            listener.accepting(false);
        }
    }

    /** Closes the oldest connection that has sent no data, so that silent ones cannot lock out active ones. */
    private boolean evictSilent() {
        for (GearmanConnection each : connections) {
            if (!each.hasReceived()) {
                each.close();
                return true;
            }
        }
        return false;
    }

    Collection<GearmanConnection> connections() {
        return connections;
    }

    void awaitMemory(GearmanConnection connection) {
        awaitingMemory.add(connection);
    }

    private void retryAwaitingMemory() {
        if (!awaitingMemory.isEmpty()) {
            List<GearmanConnection> all = new ArrayList<>(awaitingMemory);
            awaitingMemory.clear();
            all.forEach(GearmanConnection::retry);
        }
    }

    /** Logs that a connection is closed for malformed input. Its jobs are updated when it is released. */
    void connectionRejected(GearmanConnection connection) {
        LOG.log(Level.DEBUG, "connection closed reason=bad_input peer=" + connection.peer());
    }

    void connectionReleased(GearmanConnection connection) {
        connections.remove(connection);
        awaitingMemory.remove(connection);
        if (connections.size() < config.bounds().connections() && !stopping()) {
            listener.accepting(true);
        }
        retryAwaitingMemory();
    }

    private void sweep() {
        long now = loop.now();
        List.copyOf(connections).forEach(each -> each.sweep(now, config.turns().stallNs()));
        retryAwaitingMemory();
        outputLimit.reportChanges();
        for (GearmanFunction function : new ArrayList<>(functions.values())) {
            function.suspendIfIdle(IDLE_TIMEOUT_NS);
            if (!function.awake() && function.unused() && !function.pinned) {
                removeFunction(function);
            }
        }
        loop.timers.set(sweep, now + SWEEP_INTERVAL_NS);
    }

    Collection<GearmanFunction> functions() {
        return functions.values();
    }

    GearmanFunction find(String name) {
        return functions.get(name);
    }

    /**
     * The function of a name, created if it does not exist. Returns null if it may not be created, after
     * sending the error to {@code requester} unless that is null.
     *
     * @param submitter the client that submits a job to it; null for a worker or an operator
     */
    GearmanFunction function(String name, GearmanConnection requester, Submitter submitter) {
        GearmanFunction function = functions.get(name);
        if (function != null) {
            return function;
        }
        Rejection rejection = name.equals(GearmanConfig.ANY) || config.function(name) == null
                ? new Rejection("UNKNOWN_FUNCTION", "no function of this name is served here")
                : Admission.checkFunction(functions.size(), config.bounds().functions(), submitter);
        if (rejection == null) {
            return createFunction(name, submitter);
        }
        if (requester != null) {
            requester.error(rejection.code(), rejection.reason());
        }
        return null;
    }

    private GearmanFunction createFunction(String name, Submitter creator) {
        GearmanFunction function = new GearmanFunction(this, name, config.function(name), creator);
        functions.put(name, function);
        if (creator != null) {
            creator.functionCreated();
        }
        return function;
    }

    /** Removes a function that has neither jobs nor workers, and keeps its counters. */
    void removeFunction(GearmanFunction function) {
        function.close();
        functions.remove(function.name);
        if (function.creator != null) {
            function.creator.functionRemoved();
        }
        removedFunctionCounters.add(function.counters());
    }

    void setBacklogged(GearmanFunction function, boolean backloggedNow) {
        if (backloggedNow) {
            backlogged.add(function);
        } else {
            backlogged.remove(function);
        }
    }

    WorkerSession newWorker(GearmanConnection connection) {
        return new WorkerSession(this, ++lastWorkerNumber, connection);
    }

    Location location(String clientId) {
        GearmanConfig.Place place = config.place(clientId);
        return new Location(place.zone(), place.cell());
    }

    boolean drained(String clientId) {
        return drained.contains(clientId);
    }

    /**
     * Starts or ends draining for a client id. A drained worker gets no new jobs; this includes workers that
     * connect later under the same id.
     */
    void drain(String clientId, boolean drain) {
        if (drain) {
            drained.add(clientId);
        } else {
            drained.remove(clientId);
        }
        for (GearmanConnection each : List.copyOf(connections)) {
            if (each.worker() != null && each.clientId().equals(clientId)) {
                each.worker().drain(drain);
            }
        }
        LOG.log(Level.INFO, (drain ? "workers drained" : "workers undrained") + " client_id=" + clientId);
    }

    /** Passes queued jobs to their dispatchers while the worker is available; the arbiter selects each function. */
    void feed(WorkerSession worker) {
        while (worker.isAvailable() && !backlogged.isEmpty()) {
            arbiter.beginSelection(loop.now());
            if (worker.functionCount() < backlogged.size()) {
                for (String name : worker.functions()) {
                    offer(functions.get(name));
                }
            } else {
                for (GearmanFunction function : backlogged) {
                    if (worker.can(function)) {
                        offer(function);
                    }
                }
            }
            GearmanFunction function = arbiter.select();
            if (function == null) {
                return;
            }
            function.admit();
        }
    }

    private void offer(GearmanFunction function) {
        if (function.awake() && function.canAdmit()) {
            arbiter.offer(function);
        }
    }

    /** Records the end of a job whose final answer has been sent, or that needs none. */
    void finished(GearmanJob job, Jobs.End how) {
        if (job.hasEnded()) {
            return;
        }
        job.function.ended(job);
        jobs.end(job, how);
        job.submitter.jobEnded();
        for (GearmanConnection each : job.clients()) {
            each.session().jobEnded(job);
        }
        job.finish();
        retryAwaitingMemory();
    }

    /** Ends a job that no client waits for, without an answer. */
    void abandon(GearmanJob job, Jobs.End how) {
        withdrawAndEnd(job, () -> finished(job, how));
    }

    /** Ends a job, without an answer, if no client waits for it, no worker runs it, and it is no background job. */
    void abandonIfUnwanted(GearmanJob job) {
        if (!job.hasEnded() && !job.isWanted() && !job.running()) {
            abandon(job, Jobs.End.LEFT);
        }
    }

    /** Cancels a job on an operator's request before a worker has started it; its clients receive a failure. */
    void cancel(GearmanJob job) {
        withdrawAndEnd(job, () -> job.fail(Jobs.End.CANCELLED));
    }

    /** Removes a job from its queue and then runs {@code answer}; from the dispatcher in the reverse order. */
    static void withdrawAndEnd(GearmanJob job, Runnable answer) {
        if (job.stage == GearmanJob.Stage.DISPATCHED) {
            answer.run();
            if (job.request != null) { // null while the job is being submitted to the dispatcher
                job.function.engine().clientDisconnected(job.request);
            }
        } else {
            job.function.withdraw(job);
            answer.run();
        }
    }

    boolean stopping() {
        return shutdown.stopping();
    }

    /** Sets the action that runs when an operator sends the admin command {@code shutdown}. */
    public void onShutDown(Runnable action) {
        shutdown.onRequest(action);
    }

    /** Handles the admin command {@code shutdown}; without {@code graceful} the server does not wait for jobs. */
    void shutDown(boolean graceful) {
        shutdown.request(graceful);
    }

    /**
     * Stops the server. Jobs that clients wait for are answered within {@code stop_within_ms}; new jobs are
     * rejected, and queued background jobs are dropped and counted.
     *
     * @param done called once on the event loop when all connections are closed
     */
    public void stop(Runnable done) {
        shutdown.stop(done);
    }

    /** Stops accepting connections, and closes each open one once its pending output is written. */
    void closeWhenWritten() {
        listener.close();
        loop.timers.cancel(sweep);
        List.copyOf(connections).forEach(GearmanConnection::closeWhenWritten);
    }

    /** Closes the connections and functions that are still open. */
    void closeNow() {
        List.copyOf(connections).forEach(GearmanConnection::close);
        functions.values().forEach(GearmanFunction::close);
    }
}
