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
import java.util.TreeMap;

/** A Gearman job server: joins connections, functions and jobs, and bounds what is held of each. */
public final class GearmanServer {
    private static final Logger LOG = System.getLogger(GearmanServer.class.getName());
    private static final long SWEEP_NS = 1_000_000_000L;
    private static final long LINGER_CHECK_NS = 20_000_000L;
    /** Time for the last answers to be read. */
    private static final long FAREWELL_NS = 1_000_000_000L;
    /**
     * A function that nobody has asked for so long costs nothing any more; one with no worker either is
     * forgotten.
     */
    private static final long IDLE_NS = 10_000_000_000L;

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
    private final Set<GearmanConnection> starved = new LinkedHashSet<>();
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
    private boolean stopping;
    private long stopBy;
    private boolean farewell;
    private Runnable onStop = () -> {};

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
        loop.timers.set(sweep, loop.now() + SWEEP_NS);
        LOG.log(Level.INFO, config.name() + " listens for Gearman on " + listener.address());
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** What the modules of all functions have been told and have decided, those that are gone included. */
    public Counters counters() {
        Counters all = new Counters();
        all.add(retired);
        functions.values().forEach(f -> all.add(f.counters()));
        all.badInput += badInput;
        return all;
    }

    /** How a job was taken and ended, for operators: accepted is alive plus all that ended. */
    public String figures() {
        StringBuilder s = new StringBuilder("{\"accepted\":")
                .append(jobs.accepted())
                .append(",\"alive\":")
                .append(jobs.size());
        for (Jobs.End end : Jobs.End.values()) {
            s.append(",\"")
                    .append(end.name().toLowerCase(java.util.Locale.ROOT))
                    .append("\":")
                    .append(jobs.ended(end));
        }
        return s.append(",\"workload_bytes\":")
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

    static String version() {
        String version = GearmanServer.class.getPackage().getImplementationVersion();
        return version == null ? "0" : version;
    }

    String verbosity() {
        for (Level level : new Level[] {Level.TRACE, Level.DEBUG, Level.INFO, Level.WARNING}) {
            if (LOG.isLoggable(level)) {
                return level.name();
            }
        }
        return Level.ERROR.name();
    }

    // ---- Connections

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
            if (!each.spoken()) {
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

    void starved(GearmanConnection c) {
        starved.add(c);
    }

    private void retryStarved() {
        if (!starved.isEmpty()) {
            List<GearmanConnection> all = new ArrayList<>(starved);
            starved.clear();
            all.forEach(GearmanConnection::retry);
        }
    }

    /** A worker has sent data of a job: it waits for clients that are far behind in reading. */
    void pressure(GearmanConnection writer, GearmanJob job) {
        if (job.clientCount() > 0) {
            for (GearmanConnection each : job.clients()) {
                each.holdUp(writer);
            }
        }
    }

    /** It is being cut off; what it waits for goes on without it. */
    void dropping(GearmanConnection c) {
        LOG.log(Level.DEBUG, "cut off for what it sent: " + c.peer());
    }

    void gone(GearmanConnection connection) {
        connections.remove(connection);
        starved.remove(connection);
        if (connections.size() < config.bounds().connections() && !stopping) {
            listener.accepting(true);
        }
        retryStarved();
    }

    private void sweep() {
        long now = loop.now();
        List.copyOf(connections).forEach(each -> each.sweep(now, config.turns().stallNs()));
        retryStarved();
        for (GearmanFunction f : new ArrayList<>(functions.values())) {
            f.suspendIfIdle(IDLE_NS);
            if (!f.awake() && f.unused() && !f.pinned) {
                forget(f);
            }
        }
        loop.timers.set(sweep, now + SWEEP_NS);
    }

    // ---- Functions

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
        GearmanFunction f = functions.get(name);
        if (f != null) {
            return f;
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
        GearmanFunction f = new GearmanFunction(this, name, config.function(name));
        functions.put(name, f);
        return f;
    }

    /** It stands empty with no worker. */
    void forget(GearmanFunction f) {
        f.close();
        functions.remove(f.name);
        retired.add(f.counters());
    }

    void setBacklogged(GearmanFunction f, boolean on) {
        if (on) {
            backlogged.add(f);
        } else {
            backlogged.remove(f);
        }
    }

    // ---- Workers

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
    void drain(String clientId, boolean on) {
        if (on) {
            drained.add(clientId);
        } else {
            drained.remove(clientId);
        }
        for (GearmanConnection each : List.copyOf(connections)) {
            if (each.worker() != null && each.clientId().equals(clientId)) {
                each.worker().drain(on);
            }
        }
        LOG.log(Level.INFO, "workers of client id " + clientId + (on ? " get nothing new" : " may serve again"));
    }

    /** A worker may have become free: jobs of functions that it can do go before their modules, in turns. */
    void feed(WorkerSession w) {
        while (w.isAvailable() && !backlogged.isEmpty()) {
            arbiter.beginSelection(loop.now());
            if (w.functionCount() < backlogged.size()) {
                for (String name : w.functions()) {
                    offer(functions.get(name));
                }
            } else {
                for (GearmanFunction f : backlogged) {
                    if (w.can(f)) {
                        offer(f);
                    }
                }
            }
            GearmanFunction f = arbiter.select();
            if (f == null) {
                return;
            }
            f.admit();
        }
    }

    private void offer(GearmanFunction f) {
        if (f.awake() && f.canAdmit()) {
            arbiter.offer(f);
        }
    }

    // ---- Jobs

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
        retryStarved();
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
    private static void giveUp(GearmanJob job, Runnable tell) {
        if (job.stage == GearmanJob.Stage.DISPATCHED) {
            tell.run();
            if (job.request != null) { // null while the module is just being told of it
                job.function.engine().clientDisconnected(job.request);
            }
        } else {
            job.function.withdraw(job);
            tell.run();
        }
    }

    // ---- The end

    boolean stopping() {
        return stopping;
    }

    /** What an operator's {@code shutdown} brings about once all has ended. */
    public void onShutDown(Runnable action) {
        onStop = action;
    }

    /** By an admin line; without {@code graceful} nothing is waited for. */
    void shutDown(boolean graceful) {
        LOG.log(Level.INFO, "shutdown by an admin line" + (graceful ? ", graceful" : ""));
        if (!graceful) {
            stopBy = loop.now() + LINGER_CHECK_NS;
        }
        loop.post(onStop);
    }

    /**
     * Answers what clients wait for, at the latest by {@code stop_within_ms}, then calls back. New jobs are
     * turned away, and what waits in the background is dropped and counted.
     */
    public void stop(Runnable done) {
        if (!stopping) {
            stopping = true;
            stopBy = stopBy > 0 ? stopBy : loop.now() + config.turns().stopWithinNs();
            drop(false);
        }
        long now = loop.now();
        boolean late = now >= stopBy;
        if (late && jobs.size() > 0) {
            drop(true);
        }
        if (jobs.size() == 0 && !farewell) {
            farewell = true;
            stopBy = now + FAREWELL_NS;
            listener.close();
            loop.timers.cancel(sweep);
            List.copyOf(connections).forEach(GearmanConnection::closeWhenWritten);
        }
        if (farewell && (connections.isEmpty() || now >= stopBy)) {
            List.copyOf(connections).forEach(GearmanConnection::close);
            functions.values().forEach(GearmanFunction::close);
            done.run();
            return;
        }
        loop.timers.set(
                new Timer() {
                    @Override
                    protected void fire() {
                        stop(done);
                    }
                },
                now + LINGER_CHECK_NS);
    }

    /** Jobs that nobody waits for and that have not begun; with {@code all}, whatever is left, answered. */
    private void drop(boolean all) {
        Map<String, Integer> dropped = new TreeMap<>();
        for (GearmanJob job : new ArrayList<>(jobs.all())) {
            boolean waited = job.clientCount() > 0;
            if (job.hasEnded() || !all && (waited || job.running())) {
                continue;
            }
            if (!waited) {
                dropped.merge(job.function.name, 1, Integer::sum);
                abandon(job, Jobs.End.LOST);
            } else if (job.placed) { // it may have run
                giveUp(job, () -> job.failed(job.request, "the server is stopping"));
            } else {
                giveUp(job, () -> job.shed(job.request, config.limits().maxRetryAfterNs()));
            }
        }
        dropped.forEach((name, count) -> LOG.log(
                Level.WARNING,
                "stopping: " + count + " background jobs of " + name + (all ? " had not ended" : " were not run")));
    }
}
