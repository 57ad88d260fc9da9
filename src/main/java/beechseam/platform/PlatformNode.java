package beechseam.platform;

import beechseam.config.ConfigException;
import beechseam.config.ModuleOptions;
import beechseam.config.NodeConfig;
import beechseam.core.Counters;
import beechseam.core.Engine;
import beechseam.core.Timer;
import beechseam.dispatch.JobClass;
import beechseam.http.Slice;
import beechseam.net.EventLoop;
import beechseam.net.Listener;
import beechseam.ops.AdminEndpoint;
import beechseam.ops.MaintenanceFile;
import beechseam.ops.Operations;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Objects;

/** A node on the platform's protocol: one listener, one core, the way to the executors, and discovery. */
public final class PlatformNode implements Operations {
    private static final Logger LOG = System.getLogger(PlatformNode.class.getName());
    private static final long SWEEP_NS = 250_000_000L;
    /**
     * The platform kills a node so long after SIGTERM and the longest deadline, which counts as
     * {@link #MOST_COUNTED_NS} at most. The last answers leave {@link #KILL_MARGIN_NS} before, and clients
     * are sent away {@link #LAST_REQUEST_NS} before these.
     */
    private static final long KILL_NS = 700_000_000L;
    /** So long after SIGTERM new connections come, and clients that are sent away could come back here. */
    private static final long NEW_CONNECTIONS_NS = 400_000_000L;

    private static final long MOST_COUNTED_NS = 3_000_000_000L;
    private static final long KILL_MARGIN_NS = 300_000_000L;
    private static final long LAST_REQUEST_NS = 1_000_000_000L;
    private static final long DRAIN_CHECK_NS = 20_000_000L;
    /**
     * Descriptors kept back from clients and attempts: one turn's accepts, each of which may close another
     * that the runtime lets go only at the turn's end; discovery's calls; the runtime's selector and files.
     */
    private static final int RUNTIME_FILES = 24;

    private static final int SPARE_SOCKETS = Listener.AT_ONCE + ListWatch.MAX_PENDING_CALLS + RUNTIME_FILES;

    /** The configuration as its file has it now, checked. */
    public interface Configuration {
        NodeConfig read() throws ConfigException;
    }

    final EventLoop loop;
    final Counters counters = new Counters();
    final ModuleOptions options;
    final Engine engine;
    final Callbacks callbacks;
    final Maintenance maintenance;
    private final StatsReport statsReport;
    private final EgressPool pool;
    private final Discovery discovery;
    private final AdminEndpoint admin;
    private final ProcessHandover handover;
    private Listener listener;
    private final IngressTable ingress = new IngressTable(this);
    private NodeConfig config;
    private final Timer sweep = new Timer() {
        @Override
        protected void fire() {
            sweep();
        }
    };
    private final Timer drain = new Timer() {
        @Override
        protected void fire() {
            drained();
        }
    };
    private boolean stopping;
    private Runnable stopped;
    private DrainSchedule drainSchedule = DrainSchedule.NONE;

    public PlatformNode(EventLoop loop, NodeConfig config) throws IOException {
        this.loop = loop;
        this.config = config;
        options = config.options();
        pool = new EgressPool(
                loop, config.connectTimeoutNs(), options.settings.limits().idleTimeoutNs());
        PlatformEgress egress = new PlatformEgress(pool, options);
        engine = new Engine(options.settings, config.seed(), loop::now, loop.timers, egress, counters);
        egress.attach(engine);
        statsReport = new StatsReport(engine, options.settings.classes());
        counters.confLoaded++;
        callbacks = new Callbacks(engine, options, this::forwardToPeer);
        boolean keeps = config.console() != null && config.state() != null;
        maintenance = new Maintenance(engine, keeps ? new MaintenanceFile(config.state(), config.address()) : null);
        discovery = new Discovery(
                loop,
                config.discovery(),
                config.discoveryHost(),
                engine,
                pool,
                maintenance,
                options.settings.rules().drainGraceNs());
        discovery.freshness().onOpen(() -> loop.atTurnEnd(engine::resumeDeferred));
        engine.useSendGate(discovery.freshness());
        discovery.start(config.known());
        handover = keeps ? new ProcessHandover(this, config) : null;
        allocateDescriptors();
        if (handover == null || handover.joined()) {
            maintenance.restore();
            listen();
        }
        admin = config.console() == null ? null : new AdminEndpoint(loop, config.console(), this);
        loop.timers.set(sweep, loop.now() + SWEEP_NS);
    }

    /** Takes clients, on an address that a successor may share later. */
    void listen() throws IOException {
        listener = new Listener(loop, config.listen(), ingress::accept, handover != null);
        ingress.listener(listener);
        LOG.log(Level.INFO, config.name() + " listens on " + listener.address());
    }

    boolean listening() {
        return listener != null;
    }

    /** Whether discovery has answered. */
    boolean isSynced() {
        return discovery.isSynced();
    }

    private boolean forwardToPeer(Slice event) {
        return handover != null && handover.forwardToPeer(event);
    }

    /** Deals out the descriptors that the configuration grants, among the processes of the node. */
    void allocateDescriptors() {
        int granted = config.sockets() / (handover == null ? 1 : handover.processCount());
        int sockets = Math.max(16, granted - SPARE_SOCKETS);
        int mostEgress = sockets * 3 / 8;
        ingress.bound(sockets - mostEgress - 1);
        pool.bound(mostEgress, Math.max(4, mostEgress / 4));
    }

    /**
     * A new configuration, already checked. Discovery's address and the bound on descriptors change at once,
     * also while the node stops, since drains go on being told. The module and the listener live as long as
     * the process does: what they were built from counts at the next start.
     */
    public void reload(NodeConfig next) {
        discovery.move(next.discovery(), next.discoveryHost());
        if (!next.listen().equals(config.listen())
                || !next.name().equals(config.name())
                || !next.options().settings.equals(config.options().settings)
                || !Objects.equals(next.console(), config.console())
                || next.connectTimeoutNs() != config.connectTimeoutNs()) {
            LOG.log(Level.WARNING, "reload: a new name, listen, console or settings counts from the next start");
        }
        config = next;
        counters.confLoaded++;
        allocateDescriptors();
        LOG.log(Level.INFO, "reload: done");
    }

    /** Where the configuration may be read again, should discovery not be where this node was told. */
    public void reloadsFrom(Configuration configuration) {
        discovery.configuration(configuration);
    }

    /** A new configuration that cannot be used: the old one stays. */
    public void rejectReload(String why) {
        counters.confInvalid++;
        LOG.log(Level.ERROR, "reload: the old configuration stays: " + why);
    }

    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /** The operators' address, or null. */
    public InetSocketAddress console() throws IOException {
        return admin == null ? null : admin.address();
    }

    public Counters counters() {
        return counters;
    }

    /** What the node says of its health; whose clients another process takes must not speak against it. */
    boolean ready() {
        return handedOver() || notServing(discovery.freshness().hasOpened()) == null;
    }

    /** Whether the route table may be acted on, for who asks for the node's health. */
    RouteTableFreshness.State routeTable() {
        return discovery.freshness().state();
    }

    /** The connections that this node has accepted. */
    IngressTable ingress() {
        return ingress;
    }

    boolean handedOver() {
        return handover != null && handover.handedOver();
    }

    @Override
    public String status() {
        return notServing(discovery.freshness().open());
    }

    /** Why clients are not served, or null; {@code mayGo}: attempts may begin. */
    private String notServing(boolean mayGo) {
        return stopping
                ? "stopping"
                : standby()
                        ? "standby"
                        : handover != null && !handover.joined()
                                ? "starting"
                                : !mayGo
                                        ? "waiting for discovery's list"
                                        : discovery.isSynced()
                                                        || engine.routeTable().size() > 0
                                                ? null
                                                : "no route table yet";
    }

    boolean standby() {
        return !stopping && drainSchedule != DrainSchedule.NONE;
    }

    @Override
    public String stats() {
        return statsReport.lines();
    }

    @Override
    public String maintenance(String id, boolean out) {
        boolean told = handover != null && handover.isHandlingPeerCall();
        boolean before = maintenance.isOut(id);
        String why = maintenance.set(id, out, !told);
        if (before != maintenance.isOut(id)) {
            LOG.log(Level.INFO, id + (out ? " is left out" : " may serve again"));
            tell((out ? "maint-on " : "maint-off ") + id);
        }
        return why;
    }

    private void tell(String call) {
        if (handover != null) {
            handover.notifyPeer(call);
        }
    }

    @Override
    public String standby(boolean on) {
        if (stopping) {
            return "stopping";
        }
        if (on != (drainSchedule != DrainSchedule.NONE)) {
            drainSchedule = on ? DrainSchedule.standby(loop.now()) : DrainSchedule.NONE;
            LOG.log(Level.INFO, on ? "standby: clients are sent away" : "active: clients are served");
            drained();
            tell(on ? "standby" : "active");
        }
        return null;
    }

    /** Whether clients are sent away: not yet at SIGTERM, for the other nodes may be restarting as well. */
    boolean leaving() {
        return loop.now() >= drainSchedule.leavesAt();
    }

    /** The same for a connection that has carried call-backs. */
    boolean leavingCallbacks() {
        return leaving() && !drainSchedule.sparesCallbacks();
    }

    /** Whether further jobs are turned away. */
    boolean shedding() {
        return loop.now() >= drainSchedule.shedsAt();
    }

    private void sweep() {
        long now = loop.now();
        ingress.sweep(now);
        pool.sweep(now);
        loop.timers.set(sweep, now + SWEEP_NS);
    }

    /**
     * A planned end. New clients stop coming, but those connected go on asking: they are served as ever until
     * shortly before the platform's patience ends, then sent away. All taken is answered, then it calls back.
     */
    public void stop(Runnable done) {
        if (!stopping) {
            stopping = true;
            stopped = done;
            long longest = options.settings.classes().stream()
                    .mapToLong(JobClass::deadlineNs)
                    .max()
                    .orElse(0);
            long last = KILL_NS + Math.min(MOST_COUNTED_NS, longest) - KILL_MARGIN_NS;
            engine.answerAllBy(loop.now() + last);
            // On standby clients have found other nodes: nothing is waited for.
            long late = drainSchedule != DrainSchedule.NONE
                    ? loop.now()
                    : loop.now() + Math.max(NEW_CONNECTIONS_NS, last - LAST_REQUEST_NS);
            LOG.log(Level.INFO, "stopping with " + engine.openRequests() + " open requests");
            depart(late);
            loop.timers.set(drain, loop.now() + DRAIN_CHECK_NS); // the last who wait are accepted by then
        }
    }

    boolean stopping() {
        return stopping;
    }

    /** The way of the end: clients go to another process of the node, or, where none takes them, stay on. */
    void depart(long late) {
        boolean before = handedOver();
        boolean handsOver = handover != null && handover.begin();
        drainSchedule = handsOver ? DrainSchedule.handOver(loop.now(), late) : DrainSchedule.stop(late);
        if (handsOver && !before) {
            LOG.log(Level.INFO, "clients go to the other process of this node");
            listener.closeWhenEmpty();
        } else if (before && !handsOver) {
            LOG.log(Level.WARNING, "the other process is gone: listening again");
            try {
                listen();
            } catch (IOException e) {
                LOG.log(Level.ERROR, "cannot listen again: " + e.getMessage());
            }
        }
    }

    /** A successor has come or gone while this process ends. */
    void updateDrainSchedule() {
        depart(drainSchedule.clearsAt());
    }

    private void drained() {
        long now = loop.now();
        if (now >= drainSchedule.clearsAt()) {
            ingress.closeIdle(now, drainSchedule.sparesCallbacks());
        }
        // The listener stays to the last where it is the only one: call-backs come to it.
        if (stopping && leaving() && engine.openRequests() == 0 && ingress.drained(drainSchedule.sparesCallbacks())) {
            if (listener != null) {
                listener.close();
            }
            ingress.closeAll();
            if (admin != null) {
                admin.close();
            }
            if (handover != null) {
                handover.close();
            }
            discovery.stop();
            pool.close();
            loop.timers.cancel(sweep);
            stopped.run();
        } else if (drainSchedule != DrainSchedule.NONE) {
            loop.timers.set(drain, now + DRAIN_CHECK_NS);
        }
    }
}
