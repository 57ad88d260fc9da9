package beechseam.gearman;

import beechseam.config.GearmanConfig;
import beechseam.core.Counters;
import beechseam.core.Timer;
import beechseam.gearman.queue.Admission;
import beechseam.gearman.queue.ByteBudget;
import beechseam.gearman.queue.FunctionArbiter;
import beechseam.gearman.queue.WorkerGroups.Location;
import beechseam.net.EventLoop;
import beechseam.net.Listener;
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

/** A Gearman job server: joins connections, functions and jobs, and bounds what is held of each. */
public final class GearmanServer {
    private static final Logger LOG = System.getLogger(GearmanServer.class.getName());
    private static final long SWEEP_INTERVAL_NS = 1_000_000_000L;
    /**
     * A function that nobody has asked for so long costs nothing any more; one with no worker either is
     * forgotten.
     */
    private static final long IDLE_TIMEOUT_NS = 10_000_000_000L;

    final EventLoop loop;
    final GearmanConfig config;
    final long seed;
    final Jobs jobs;
    final ByteBudget budget;
    final Admission admission;
    final Admin admin = new Admin(this);
    long badInput;
    private final Counters retired = new Counters();
    private final Listener listener;
    private final Set<GearmanConnection> connections = new LinkedHashSet<>();
    private final Set<GearmanConnection> awaitingMemory = new LinkedHashSet<>();
    private final Map<String, GearmanFunction> functions = new LinkedHashMap<>();
    /** Functions with waiting jobs. */
    private final Set<GearmanFunction> backlogged = new LinkedHashSet<>();

    private final FunctionArbiter<GearmanFunction> arbiter;
    private final Set<String> drained = new HashSet<>();
    private final Timer sweep = new Timer() {
        @Override
        protected void fire() {
            sweep();
        }
    };
    private long lastWorker;
    private final Shutdown shutdown = new Shutdown(this);

    /**
     * Listens at once.
     *
     * @param seed of the random draws of its dispatchers
     * @throws IOException where the address cannot be bound
     */
    public GearmanServer(EventLoop loop, GearmanConfig config, long seed) throws IOException {
        this.loop = loop;
        this.config = config;
        this.seed = seed;
        budget = new ByteBudget(config.bounds().memory());
        jobs = new Jobs(config.name(), budget);
        admission = new Admission(
                new Admission.Limits(config.bounds().jobs(), config.bounds().jobsPerClient()));
        arbiter = new FunctionArbiter<>(
                config.turns().ageingTurn(), config.turns().ageingNs());
        config.functions().keySet().stream()
                .filter(name -> !name.equals(GearmanConfig.ANY))
                .forEach(name -> make(name).pinned = true);
        listener = new Listener(loop, config.listen(), this::accept);
        loop.timers.set(sweep, loop.now() + SWEEP_INTERVAL_NS);
        LOG.log(Level.INFO, "job server listening name=" + config.name() + " address=" + listener.address());
    }

    /** Where it listens. */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** What the modules of all functions have been told and have decided, those that are gone included. */
    public Counters counters() {
        Counters all = new Counters();
        all.add(retired);
        functions.values().forEach(function -> all.add(function.counters()));
        all.badInput += badInput;
        return all;
    }

    /** How a job was taken and ended, for operators: accepted is alive plus all that ended. */
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
        int most = config.bounds().connections();
        connections.add(new GearmanConnection(this, channel));
        if (connections.size() >= most && !evictSilent()) {
            listener.accepting(false);
        }
    }

    /**
     * The oldest that has never said a word makes room: a crowd that opens and says nothing keeps nobody out.
     */
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

    /** Bytes that peers have been sent and have not read; O(connections), asked for long packets only. */
    long unread() {
        long sum = 0;
        for (GearmanConnection each : connections) {
            sum += each.unwritten();
        }
        return sum;
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

    /** A worker has sent data of a job: it waits for clients that are far behind in reading. */
    void throttleForClients(GearmanConnection writer, GearmanJob job) {
        if (job.clientCount() > 0) {
            for (GearmanConnection each : job.clients()) {
                each.throttle(writer);
            }
        }
    }

    /** It is being cut off; what it waits for goes on without it. */
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
        for (GearmanFunction function : new ArrayList<>(functions.values())) {
            function.suspendIfIdle(IDLE_TIMEOUT_NS);
            if (!function.awake() && function.unused() && !function.pinned) {
                forget(function);
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
     * The function of a name, made if need be; null where it cannot be, and {@code asker} (if any) is told
     * why.
     */
    GearmanFunction function(String name, GearmanConnection asker) {
        GearmanFunction function = functions.get(name);
        if (function != null) {
            return function;
        }
        String code;
        String why;
        if (name.equals(GearmanConfig.ANY) || config.function(name) == null) {
            code = "UNKNOWN_FUNCTION";
            why = "no function of this name is served here";
        } else if (functions.size() >= config.bounds().functions()) {
            code = "FUNCTION_LIMIT";
            why = "max_functions: " + functions.size() + " functions are alive, the most that may";
        } else {
            return make(name);
        }
        if (asker != null) {
            asker.error(code, why);
        }
        return null;
    }

    private GearmanFunction make(String name) {
        GearmanFunction function = new GearmanFunction(this, name, config.function(name));
        functions.put(name, function);
        return function;
    }

    /** It stands empty with no worker. */
    void forget(GearmanFunction function) {
        function.close();
        functions.remove(function.name);
        retired.add(function.counters());
    }

    void setBacklogged(GearmanFunction function, boolean backloggedNow) {
        if (backloggedNow) {
            backlogged.add(function);
        } else {
            backlogged.remove(function);
        }
    }

    WorkerSession newWorker(GearmanConnection connection) {
        return new WorkerSession(this, ++lastWorker, connection);
    }

    Location location(String clientId) {
        GearmanConfig.Place place = config.place(clientId);
        return new Location(place.zone(), place.cell());
    }

    boolean drained(String clientId) {
        return drained.contains(clientId);
    }

    /**
     * Workers of a client id get nothing new from now on, those that connect later included; or may again.
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

    /** A worker may have become free: jobs of functions that it can do go before their modules, in turns. */
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

    /** The job has its final answer, or needs none. */
    void finished(GearmanJob job, Jobs.End how) {
        if (job.hasEnded()) {
            return;
        }
        job.function.ended(job);
        jobs.end(job, how);
        job.submitter.open--;
        for (GearmanConnection each : job.clients()) {
            each.session().ended(job);
        }
        job.finish();
        retryAwaitingMemory();
    }

    /** Nobody needs it any more. */
    void abandon(GearmanJob job, Jobs.End how) {
        giveUp(job, () -> finished(job, how));
    }

    /** An operator gives it up before it has begun; its clients are told that it failed. */
    void cancel(GearmanJob job) {
        giveUp(job, () -> job.fail(Jobs.End.CANCELLED));
    }

    /** Takes it out of line, or from the module once its clients have been told. */
    static void giveUp(GearmanJob job, Runnable answer) {
        if (job.stage == GearmanJob.Stage.DISPATCHED) {
            answer.run();
            if (job.request != null) { // null while the module is just being told of it
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

    /** What an operator's {@code shutdown} brings about once all has ended. */
    public void onShutDown(Runnable action) {
        shutdown.onRequest(action);
    }

    /** By an admin line; without {@code graceful} nothing is waited for. */
    void shutDown(boolean graceful) {
        shutdown.request(graceful);
    }

    /**
     * Answers what clients wait for, at the latest by {@code stop_within_ms}, then calls back. New jobs are
     * rejected, and queued background jobs are dropped and counted.
     *
     * @param done called once on the loop when all is closed
     */
    public void stop(Runnable done) {
        shutdown.stop(done);
    }

    /** No connection is accepted any more, and those open close once all is written. */
    void closeWhenWritten() {
        listener.close();
        loop.timers.cancel(sweep);
        List.copyOf(connections).forEach(GearmanConnection::closeWhenWritten);
    }

    /** Closes what is still open. */
    void closeNow() {
        List.copyOf(connections).forEach(GearmanConnection::close);
        functions.values().forEach(GearmanFunction::close);
    }
}
