package beechseam.gearman;

import beechseam.Dispatching.Effect;
import beechseam.Dispatching.ListForm;
import beechseam.Dispatching.Load;
import beechseam.Dispatching.Outcome;
import beechseam.Dispatching.State;
import beechseam.Dispatching.Worker;
import beechseam.config.GearmanConfig;
import beechseam.config.GearmanConfig.Mode;
import beechseam.core.Counters;
import beechseam.core.Egress;
import beechseam.core.Engine;
import beechseam.core.Hop;
import beechseam.core.Timer;
import beechseam.net.EventLoop;
import beechseam.net.Listener;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A Gearman job server: clients are its ingress, workers its egress, and the core decides between them. */
public final class GearmanServer implements Egress {
    private static final Logger LOG = System.getLogger(GearmanServer.class.getName());
    /**
     * What the module is told of a free worker: one slot for the job, and one that it keeps back for a
     * worthier class. The second is never used, since a worker that holds a job is out of service.
     */
    private static final Load FREE = new Load(0, 0, 2, Double.NaN, 0);
    private static final int FUNCTION_BITS = 16;
    private static final long SWEEP_NS = 1_000_000_000L;
    private static final long LINGER_CHECK_NS = 20_000_000L;

    final EventLoop loop;
    private final GearmanConfig config;
    private final Counters counters = new Counters();
    private final Engine engine;
    private final Listener listener;
    private final Set<GearmanConnection> connections = new LinkedHashSet<>();
    private final Map<Long, GearmanWorker> workers = new LinkedHashMap<>();
    private final Map<String, GearmanJob> jobs = new HashMap<>();
    private final Map<String, GearmanJob> byKey = new HashMap<>();
    private final Timer sweep = new Timer() {
        @Override
        protected void fire() {
            sweep();
        }
    };
    private long lastWorker;
    private long lastJob;
    private boolean stopping;

    public GearmanServer(EventLoop loop, GearmanConfig config, long seed) throws IOException {
        this.loop = loop;
        this.config = config;
        engine = new Engine(config.settings(), seed, loop::now, loop.timers, this, counters);
        listener = new Listener(loop, config.listen(), this::accept);
        loop.timers.set(sweep, loop.now() + SWEEP_NS);
        LOG.log(Level.INFO, config.name() + " listens for Gearman on " + listener.address());
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    public Counters counters() {
        return counters;
    }

    private void accept(SocketChannel channel) throws IOException {
        if (connections.size() >= config.maxConnections()) {
            listener.accepting(false);
        }
        connections.add(new GearmanConnection(this, channel, config.maxPacket()));
    }

    private void sweep() {
        long now = loop.now();
        List.copyOf(connections).forEach(each -> each.sweep(now));
        loop.timers.set(sweep, now + SWEEP_NS);
    }

    /** Answers what clients wait for, then calls back; new jobs are turned away, unawaited ones dropped. */
    public void stop(Runnable done) {
        if (!stopping) {
            stopping = true;
            for (GearmanJob job : List.copyOf(jobs.values())) {
                if (job.clients.isEmpty() && !job.running) {
                    LOG.log(Level.WARNING, "stopping: the background job " + job.handle + " was not run");
                    abandon(job);
                }
            }
        }
        if (engine.open() == 0) {
            listener.close();
            loop.timers.cancel(sweep);
            List.copyOf(connections).forEach(GearmanConnection::close);
            done.run();
            return;
        }
        loop.timers.set(new Timer() {
            @Override
            protected void fire() {
                stop(done);
            }
        }, loop.now() + LINGER_CHECK_NS);
    }

    private void abandon(GearmanJob job) {
        finished(job);
        engine.left(job.request);
    }

    // ---- Clients

    void submit(GearmanConnection client, byte[][] args, Mode mode, boolean background) {
        String function = GearmanConnection.text(args[0]);
        Integer index = config.functions().get(function);
        String unique = GearmanConnection.text(args[1]);
        if (index == null) {
            client.error("UNKNOWN_FUNCTION", "no function of this name is served here");
            return;
        }
        if (config.jobClass(index, mode).effect() == Effect.KEYED && unique.isEmpty()) {
            client.error("NO_KEY", "jobs of this function need a unique key");
            return;
        }
        // By the protocol "-" stands for the workload itself as the key.
        String key = unique.isEmpty() ? "" : function + "\0" + (unique.equals("-")
            ? new String(args[2], java.nio.charset.StandardCharsets.ISO_8859_1) : unique);
        GearmanJob job = byKey.get(key); // none has the empty key
        boolean fresh = job == null;
        if (fresh) {
            if (stopping || jobs.size() >= config.maxJobs()) {
                client.error("QUEUE_FULL", stopping ? "the server is stopping" : "too many jobs");
                return;
            }
            job = new GearmanJob(this, "H:" + config.name() + ":" + ++lastJob, function, unique, key,
                args[2], mode);
            jobs.put(job.handle, job);
            if (!key.isEmpty()) {
                byKey.put(key, job);
            }
        }
        job.background |= background;
        client.write(Packet.JOB_CREATED.response(job.handle));
        if (!background) {
            job.clients.add(client);
            client.waitsFor.add(job);
        }
        if (fresh) {
            long budget = config.jobClass(index, mode).deadlineNs();
            job.request = engine.take(job.handle, config.classOf(index, mode), budget, 1, 0, job, job);
        }
    }

    /** The job has its final answer. */
    void finished(GearmanJob job) {
        jobs.remove(job.handle);
        byKey.remove(job.key, job);
        job.clients.forEach(each -> each.waitsFor.remove(job));
        job.clients.clear();
    }

    void status(GearmanConnection client, String name, boolean unique) {
        GearmanJob job = unique ? jobs.values().stream().filter(each -> each.unique.equals(name)).findFirst()
            .orElse(null) : jobs.get(name);
        String known = job == null ? "0" : "1";
        String running = job != null && job.running ? "1" : "0";
        String numerator = job == null ? "0" : job.numerator;
        String denominator = job == null ? "0" : job.denominator;
        client.write(unique ? Packet.STATUS_RES_UNIQUE.response(name, known, running, numerator, denominator,
                job == null ? 0 : job.clients.size())
            : Packet.STATUS_RES.response(name, known, running, numerator, denominator));
    }

    /** A connection is gone: its jobs lose a client, its worker is lost. */
    void gone(GearmanConnection connection) {
        connections.remove(connection);
        if (connections.size() < config.maxConnections() && !stopping) {
            listener.accepting(true);
        }
        for (GearmanJob job : List.copyOf(connection.waitsFor)) {
            job.clients.remove(connection);
            if (job.clients.isEmpty() && !job.background && job.request != null) {
                abandon(job);
            }
        }
        if (connection.worker() != null) {
            lost(connection.worker());
        }
    }

    // ---- Workers

    GearmanWorker newWorker(GearmanConnection connection) {
        GearmanWorker w = new GearmanWorker(++lastWorker, connection, config.place(connection.clientId()));
        workers.put(w.number, w);
        return w;
    }

    private long target(GearmanWorker w, String function) {
        return w.number << FUNCTION_BITS | config.functions().get(function);
    }

    /** Tells the module of the worker's rows when they have changed, or {@code anyway}. */
    private void show(GearmanWorker w, boolean anyway) {
        boolean free = w.free();
        if (free == w.shownFree && !anyway) {
            return;
        }
        w.shownFree = free;
        List<Worker> lines = new ArrayList<>();
        for (String function : w.abilities.keySet()) {
            lines.add(row(w, function, free ? State.READY : State.DRAINING));
        }
        if (!lines.isEmpty()) {
            engine.routes(ListForm.CHANGES, lines);
        }
    }

    private Worker row(GearmanWorker w, String function, State state) {
        return new Worker(target(w, function), w.place.cell(), w.place.zone(), function, 0, state);
    }

    void renamed(GearmanWorker w) {
        w.place = config.place(w.connection.clientId());
        show(w, true);
    }

    void canDo(GearmanWorker w, String function, int seconds) {
        if (!config.functions().containsKey(function)) {
            LOG.log(Level.INFO, "a worker offers a function that the operator's file does not name");
            return;
        }
        if (w.abilities.put(function, seconds) == null) {
            engine.routes(ListForm.CHANGES, List.of(row(w, function, State.DRAINING)));
            engine.probed(target(w, function), true, FREE);
            show(w, true);
        }
    }

    /** Withdrawn: what waits for it goes elsewhere, and nothing new comes. */
    void cantDo(GearmanWorker w, String function) {
        if (w.abilities.remove(function) == null) {
            return;
        }
        engine.routes(ListForm.CHANGES, List.of(row(w, function, State.GONE)));
        for (Hop hop : List.copyOf(w.parked)) {
            if (job(hop).function.equals(function)) {
                w.parked.remove(hop);
                withhold(hop);
            }
        }
        show(w, false);
    }

    void reset(GearmanWorker w) {
        List.copyOf(w.abilities.keySet()).forEach(each -> cantDo(w, each));
    }

    void preSleep(GearmanWorker w) {
        w.asleep = true;
        w.asked = true;
        if (w.parked.isEmpty()) {
            offer(w);
        }
        wake(w);
    }

    private void wake(GearmanWorker w) {
        if (w.asleep && !w.parked.isEmpty() && w.running == null) {
            w.asleep = false;
            w.connection.write(Packet.NOOP.response());
        }
    }

    /** It is free: the module may place a job there, or one that waits for a busy worker is handed back. */
    private void offer(GearmanWorker w) {
        show(w, false);
        if (!w.free()) {
            return;
        }
        for (GearmanWorker other : workers.values()) {
            for (Hop hop : other.parked) {
                if (other.running != null && w.abilities.containsKey(job(hop).function)) {
                    other.parked.remove(hop);
                    engine.ended(hop, Outcome.NOT_SENT, null, null);
                    return;
                }
            }
        }
    }

    void grab(GearmanWorker w, Packet how) {
        w.asleep = false;
        if (w.running == null) {
            w.asked = true;
            if (w.parked.isEmpty()) {
                offer(w);
            }
            Hop hop = next(w);
            if (hop != null) {
                assign(w, hop, how);
                return;
            }
            show(w, false);
        }
        w.connection.write(Packet.NO_JOB.response());
    }

    /** The next that waits here, checked again at the last moment. */
    private Hop next(GearmanWorker w) {
        for (Hop hop = w.parked.poll(); hop != null; hop = w.parked.poll()) {
            if (!hop.over() && w.abilities.containsKey(job(hop).function)) {
                return hop;
            }
            withhold(hop);
        }
        return null;
    }

    private void withhold(Hop hop) {
        if (!hop.over()) {
            counters.withheld++;
            engine.ended(hop, Outcome.NOT_SENT, null, null);
        }
    }

    private void assign(GearmanWorker w, Hop hop, Packet how) {
        GearmanJob job = job(hop);
        w.running = hop;
        w.asked = false;
        hop.begun();
        disarm(w);
        job.running = true;
        w.connection.write(switch (how) {
            case GRAB_JOB_UNIQ -> Packet.JOB_ASSIGN_UNIQ.response(job.handle, job.function, job.unique,
                job.workload);
            case GRAB_JOB_ALL -> Packet.JOB_ASSIGN_ALL.response(job.handle, job.function, job.unique, "",
                job.workload);
            default -> Packet.JOB_ASSIGN.response(job.handle, job.function, job.workload);
        });
        show(w, false);
        int seconds = w.abilities.get(job.function);
        if (seconds > 0) {
            w.limit = new Timer() {
                @Override
                protected void fire() { // the worker's own limit: it may still run there
                    engine.ended(hop, Outcome.TIMEOUT, null, null);
                }
            };
            loop.timers.set(w.limit, loop.now() + seconds * 1_000_000_000L);
        }
        engine.started(hop);
    }

    private void disarm(GearmanWorker w) {
        if (w.limit != null) {
            loop.timers.cancel(w.limit);
            w.limit = null;
        }
        if (w.grab != null) {
            loop.timers.cancel(w.grab);
            w.grab = null;
        }
    }

    void work(GearmanWorker w, Packet kind, byte[][] args) {
        Hop hop = w.running;
        if (hop == null || !GearmanConnection.same(args[0], job(hop).handle)) {
            w.connection.error("JOB_NOT_FOUND", "this worker holds no such job");
            return;
        }
        GearmanJob job = job(hop);
        boolean live = !hop.over() && !hop.request.finished();
        switch (kind) {
            case WORK_COMPLETE -> end(w, hop, Outcome.SERVED, args[1]);
            case WORK_FAIL -> end(w, hop, Outcome.ERROR, null);
            case WORK_STATUS -> {
                if (live && job.speaks(hop)) {
                    job.numerator = GearmanConnection.text(args[1]);
                    job.denominator = GearmanConnection.text(args[2]);
                    job.forward(kind, job.handle, args[1], args[2]);
                    progress(hop, job);
                }
            }
            default -> {
                if (live && job.speaks(hop)) {
                    job.forward(kind, job.handle, args[1]);
                }
            }
        }
    }

    private void progress(Hop hop, GearmanJob job) {
        try {
            double share = Double.parseDouble(job.numerator) / Double.parseDouble(job.denominator);
            if (share >= 0 && share <= 1) {
                engine.progress(hop, share);
            }
        } catch (NumberFormatException e) {
            LOG.log(Level.DEBUG, "a status that is no share");
        }
    }

    /** The worker has ended what it held; it is free once it asks again. */
    private void end(GearmanWorker w, Hop hop, Outcome outcome, byte[] result) {
        disarm(w);
        w.running = null;
        job(hop).running = false;
        engine.ended(hop, outcome, result, FREE);
    }

    private void lost(GearmanWorker w) {
        workers.remove(w.number);
        disarm(w);
        List<Worker> lines = new ArrayList<>();
        w.abilities.keySet().forEach(each -> lines.add(row(w, each, State.GONE)));
        if (!lines.isEmpty()) {
            engine.routes(ListForm.CHANGES, lines);
        }
        w.abilities.clear();
        if (w.running != null) { // it may have run to any point: the class decides whether it may again
            job(w.running).running = false;
            engine.ended(w.running, Outcome.LOST, null, null);
        }
        List<Hop> waiting = List.copyOf(w.parked);
        w.parked.clear();
        waiting.forEach(this::withhold);
    }

    // ---- Egress

    private static GearmanJob job(Hop hop) {
        return (GearmanJob) hop.request.message;
    }

    @Override
    public void send(Hop hop) {
        GearmanWorker w = workers.get(hop.target >> FUNCTION_BITS);
        if (w == null || !w.abilities.containsKey(job(hop).function)) {
            engine.ended(hop, Outcome.NOT_SENT, null, null);
            return;
        }
        w.parked.add(hop);
        show(w, false);
        wake(w);
        if (w.running == null && w.grab == null) {
            w.grab = new Timer() {
                @Override
                protected void fire() {
                    unanswered(w);
                }
            };
            loop.timers.set(w.grab, loop.now() + config.grabTimeoutNs());
        }
    }

    /** Called and not come: what waits for it never ran. */
    private void unanswered(GearmanWorker w) {
        w.grab = null;
        w.asked = false;
        List<Hop> waiting = List.copyOf(w.parked);
        w.parked.clear();
        waiting.forEach(each -> engine.ended(each, Outcome.UNREACHABLE, null, null));
    }

    @Override
    public void cancel(Hop hop) {
        GearmanWorker w = workers.get(hop.target >> FUNCTION_BITS);
        if (w != null && w.parked.remove(hop) && w.parked.isEmpty()) {
            show(w, false);
        }
    }

    @Override
    public void probe(long target) {
        engine.probed(target, workers.containsKey(target >> FUNCTION_BITS), null);
    }

    // ---- Admin

    String admin(String line) {
        return switch (line) {
            case "status" -> statusLines();
            case "workers" -> workerLines();
            case "version" -> "OK " + version() + "\n";
            case "counters" -> counters + "\n";
            default -> "ERR UNKNOWN_COMMAND Unknown+server+command\n";
        };
    }

    private static String version() {
        String version = GearmanServer.class.getPackage().getImplementationVersion();
        return version == null ? "0" : version;
    }

    private String statusLines() {
        StringBuilder s = new StringBuilder();
        for (String function : config.functions().keySet().stream().sorted().toList()) {
            long total = jobs.values().stream().filter(each -> each.function.equals(function)).count();
            long running = workers.values().stream()
                .filter(each -> each.running != null && job(each.running).function.equals(function)).count();
            long able = workers.values().stream()
                .filter(each -> each.abilities.containsKey(function)).count();
            s.append(String.join("\t", function, "" + total, "" + running, "" + able)).append('\n');
        }
        return s.append(".\n").toString();
    }

    private String workerLines() {
        StringBuilder s = new StringBuilder();
        for (GearmanConnection each : connections) {
            GearmanWorker w = each.worker();
            s.append(w == null ? 0 : w.number).append(' ').append(each.peer()).append(' ')
                .append(each.clientId()).append(" :");
            if (w != null) {
                w.abilities.keySet().forEach(function -> s.append(' ').append(function));
            }
            s.append('\n');
        }
        return s.append(".\n").toString();
    }
}
