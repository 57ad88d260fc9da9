package beechseam.platform;

import beechseam.config.ConfigException;
import beechseam.config.ModuleOptions;
import beechseam.config.NodeConfig;
import beechseam.core.Counters;
import beechseam.core.Engine;
import beechseam.core.Timer;
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

/**
 * A node on the platform's protocol. It wires the parts together (listener and ingress table, engine, egress
 * pool, discovery, admin endpoint, hand-over between processes) and answers for the whole: configuration,
 * health and operators' calls. Standby and the planned end are the {@link DrainController}'s. All methods run
 * on the loop's thread.
 */
public final class PlatformNode implements Operations {
    private static final Logger LOG = System.getLogger(PlatformNode.class.getName());
    private static final long SWEEP_INTERVAL_NS = 250_000_000L;
    /** Descriptors for the runtime's own selector and files. */
    private static final int RUNTIME_DESCRIPTORS = 24;
    /**
     * Descriptors kept back from clients and attempts: one turn's accepts, each of which may close another
     * that the runtime lets go only at the turn's end; discovery's calls; the runtime's.
     */
    private static final int RESERVED_DESCRIPTORS =
            Listener.AT_ONCE + ListWatch.MAX_PENDING_CALLS + RUNTIME_DESCRIPTORS;

    private static final int MIN_SOCKETS = 16;
    private static final int MIN_CONNECTIONS_PER_TARGET = 4;

    /** Reads the configuration as its file has it now. */
    public interface Configuration {
        /**
         * Reads and checks it.
         *
         * @throws ConfigException where the file cannot be read or is not valid
         */
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
    private final IngressTable ingress = new IngressTable(this);
    private final DrainController drain = new DrainController(this);
    /** Null without a console. */
    private final AdminEndpoint admin;
    /** Null without a console or a directory for state: the node has one process then. */
    private final ProcessHandover handover;
    /** Null until this process listens. */
    private Listener listener;

    private NodeConfig config;
    private final Timer sweep = new Timer() {
        @Override
        protected void fire() {
            sweep();
        }
    };

    /**
     * Starts a node; it listens at once, or as soon as it may take over from an older process.
     *
     * @throws IOException where an address of the configuration cannot be bound
     */
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
        boolean keepsState = config.console() != null && config.state() != null;
        maintenance =
                new Maintenance(engine, keepsState ? new MaintenanceFile(config.state(), config.address()) : null);
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
        handover = keepsState ? new ProcessHandover(this, config) : null;
        allocateDescriptors();
        if (handover == null || handover.joined()) {
            maintenance.restore();
            listen();
        }
        admin = config.console() == null ? null : new AdminEndpoint(loop, config.console(), this);
        loop.timers.set(sweep, loop.now() + SWEEP_INTERVAL_NS);
    }

    /** Accepts clients, on an address that a successor may share later. */
    void listen() throws IOException {
        listener = new Listener(loop, config.listen(), ingress::accept, handover != null);
        ingress.attach(listener);
        LOG.log(Level.INFO, "node listening name=" + config.name() + " address=" + listener.address());
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

    /** Divides the descriptors that the configuration grants among the processes of the node and their uses. */
    void allocateDescriptors() {
        int granted = config.sockets() / (handover == null ? 1 : handover.processCount());
        int sockets = Math.max(MIN_SOCKETS, granted - RESERVED_DESCRIPTORS);
        int egressSockets = sockets * 3 / 8;
        ingress.setMaxConnections(sockets - egressSockets - 1);
        pool.setLimits(egressSockets, Math.max(MIN_CONNECTIONS_PER_TARGET, egressSockets / 4));
    }

    /**
     * Applies a new configuration, already checked. Discovery's address and the bound on descriptors change at
     * once, also while the node stops, since drains go on being told. The module and the listener live as long
     * as the process does: what they were built from counts at the next start.
     */
    public void reload(NodeConfig next) {
        discovery.changeAddress(next.discovery(), next.discoveryHost());
        if (needsRestart(next)) {
            LOG.log(
                    Level.WARNING,
                    "reload incomplete reason=new name, listen, console, connect timeout or settings need a restart");
        }
        config = next;
        counters.confLoaded++;
        allocateDescriptors();
        LOG.log(Level.INFO, "reload applied");
    }

    private boolean needsRestart(NodeConfig next) {
        return !next.listen().equals(config.listen())
                || !next.name().equals(config.name())
                || !next.options().settings.equals(config.options().settings)
                || !Objects.equals(next.console(), config.console())
                || next.connectTimeoutNs() != config.connectTimeoutNs();
    }

    /** Sets where the configuration is read again when discovery is not found at its address. */
    public void reloadsFrom(Configuration configuration) {
        discovery.configuration(configuration);
    }

    /** A new configuration cannot be used: the old one stays in force. */
    public void rejectReload(String reason) {
        counters.confInvalid++;
        LOG.log(Level.ERROR, "reload rejected reason=" + reason);
    }

    /**
     * Returns the address that clients and executors connect to.
     *
     * @throws IOException where it cannot be determined
     */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /**
     * Returns the operators' address, or null where the node has none.
     *
     * @throws IOException where it cannot be determined
     */
    public InetSocketAddress console() throws IOException {
        return admin == null ? null : admin.address();
    }

    /** Returns the live counters; read them on the loop's thread. */
    public Counters counters() {
        return counters;
    }

    /** What the node says of its health; whose clients another process takes must not speak against it. */
    boolean ready() {
        return handedOver() || notReadyReason(discovery.freshness().hasOpened()) == null;
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
        return notReadyReason(discovery.freshness().open());
    }

    /** Why clients are not served, or null; {@code maySend}: attempts may begin. */
    private String notReadyReason(boolean maySend) {
        if (stopping()) {
            return "stopping";
        }
        if (standby()) {
            return "standby";
        }
        if (handover != null && !handover.joined()) {
            return "starting";
        }
        if (!maySend) {
            return "waiting for discovery's list";
        }
        boolean hasRouteTable = discovery.isSynced() || engine.routeTable().size() > 0;
        return hasRouteTable ? null : "no route table yet";
    }

    @Override
    public String stats() {
        return statsReport.lines();
    }

    @Override
    public String maintenance(String id, boolean out) {
        boolean calledByPeer = handover != null && handover.isHandlingPeerCall();
        boolean before = maintenance.isOut(id);
        String failure = maintenance.set(id, out, !calledByPeer);
        if (before != maintenance.isOut(id)) {
            LOG.log(Level.INFO, (out ? "maintenance set worker=" : "maintenance cleared worker=") + id);
            notifyPeer((out ? "maint-on " : "maint-off ") + id);
        }
        return failure;
    }

    private void notifyPeer(String call) {
        if (handover != null) {
            handover.notifyPeer(call);
        }
    }

    @Override
    public String standby(boolean on) {
        if (stopping()) {
            return "stopping";
        }
        if (drain.setStandby(on)) {
            notifyPeer(on ? "standby" : "active");
        }
        return null;
    }

    boolean standby() {
        return drain.standby();
    }

    /** Whether clients are sent away. */
    boolean isDraining() {
        return drain.isDraining();
    }

    /** Whether executors that call back are sent away as well. */
    boolean isDrainingCallbacks() {
        return drain.isDrainingCallbacks();
    }

    /** Whether further jobs are shed. */
    boolean shedsNewJobs() {
        return drain.shedsNewJobs();
    }

    private void sweep() {
        long now = loop.now();
        ingress.sweep(now);
        pool.sweep(now);
        loop.timers.set(sweep, now + SWEEP_INTERVAL_NS);
    }

    /**
     * Begins the planned end. New clients stop coming, but those connected go on asking: they are served until
     * shortly before the platform kills the process, then sent away. All that was taken is answered.
     *
     * @param done run once the node has closed
     */
    public void stop(Runnable done) {
        drain.stop(done);
    }

    boolean stopping() {
        return drain.stopping();
    }

    /** A successor has come or gone while this process ends. */
    void updateDrainSchedule() {
        drain.update();
    }

    /**
     * Leaves new connections to a successor process, if there is one; listens again if it has gone.
     *
     * @return whether a successor takes the clients
     */
    boolean handOverClients() {
        boolean before = handedOver();
        boolean handsOver = handover != null && handover.begin();
        if (handsOver && !before) {
            LOG.log(Level.INFO, "handover started");
            listener.closeWhenEmpty();
        } else if (before && !handsOver) {
            LOG.log(Level.WARNING, "handover cancelled reason=the other process is gone");
            try {
                listen();
            } catch (IOException e) {
                LOG.log(Level.ERROR, "listen failed reason=" + e.getMessage());
            }
        }
        return handsOver;
    }

    /** Closes everything; the node cannot be started again. */
    void close() {
        // The listener stays to the last where it is the only one: call-backs come to it.
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
    }
}
