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

/**
 * A node on the platform's protocol. It wires the parts together (listener and ingress table, engine, egress
 * pool, discovery, admin endpoint, handover between processes) and handles configuration reloads, health and
 * operators' calls. {@link DrainController} implements standby and shutdown. All methods run on the event
 * loop's thread.
 */
public final class PlatformNode implements Operations {
    private static final Logger LOG = System.getLogger(PlatformNode.class.getName());
    private static final long SWEEP_INTERVAL_NS = 250_000_000L;
    /** File descriptors that the runtime needs for its selector and its own files. */
    private static final int RUNTIME_DESCRIPTORS = 24;
    /**
     * File descriptors that neither clients nor attempts may use. They cover the accepts of one turn of the event
     * loop, each of which may close another connection whose descriptor the runtime releases only at the end of
     * the turn; the calls to discovery; and the runtime's own descriptors.
     */
    private static final int RESERVED_DESCRIPTORS =
            Listener.AT_ONCE + ListWatch.MAX_PENDING_CALLS + RUNTIME_DESCRIPTORS;

    private static final int MIN_SOCKETS = 16;
    private static final int MIN_CONNECTIONS_PER_TARGET = 4;

    /** Reads the current content of the configuration file. */
    public interface Configuration {
        /**
         * Reads and validates the file.
         *
         * @throws ConfigException if the file cannot be read or is not valid
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
    /** Null if no console address is configured. */
    private final AdminEndpoint admin;
    /** Null if no console address or no state directory is configured: the node then has only one process. */
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
     * Starts a node. It listens at once or, if an older process of the node is running, as soon as it can take over
     * from that process.
     *
     * @throws IOException if an address of the configuration cannot be bound
     */
    public PlatformNode(EventLoop loop, NodeConfig config) throws IOException {
        this.loop = loop;
        this.config = config;
        options = config.options();
        pool = new EgressPool(
                loop, config.connectTimeoutNs(), options.settings.limits().idleTimeoutNs());
        PlatformEgress egress = new PlatformEgress(pool, options, this::announceBegun);
        engine = new Engine(options.settings, config.seed(), loop::now, loop.timers, egress, counters);
        egress.attach(engine);
        engine.holdCorrelations(longestDeadlineNs());
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

    /** Starts to accept clients. If the node supports handover, a successor process may later share the address. */
    void listen() throws IOException {
        listener = new Listener(loop, config.listen(), ingress::accept, handover != null);
        ingress.attach(listener);
        LOG.log(Level.INFO, "node listening name=" + config.name() + " address=" + listener.address());
    }

    /** Whether this process has begun to listen for clients. */
    boolean listening() {
        return listener != null;
    }

    /** Whether an endpoint list of discovery has been applied since the start. */
    boolean isSynced() {
        return discovery.isSynced();
    }

    /** The longest deadline of all classes, in nanoseconds. */
    long longestDeadlineNs() {
        return options.settings.classes().stream()
                .mapToLong(JobClass::deadlineNs)
                .max()
                .orElse(0);
    }

    /** Tells the node's other processes the id of a request that has begun here. */
    private void announceBegun(String correlation) {
        if (handover != null) {
            handover.announceBegun(correlation);
        }
    }

    private boolean forwardToPeer(Slice event) {
        return handover != null && handover.forwardToPeer(event);
    }

    /**
     * Divides the configured number of file descriptors evenly among the node's processes, and the share of this
     * process between ingress and egress.
     */
    void allocateDescriptors() {
        int granted = config.sockets() / (handover == null ? 1 : handover.processCount());
        int sockets = Math.max(MIN_SOCKETS, granted - RESERVED_DESCRIPTORS);
        int egressSockets = sockets * 3 / 8;
        ingress.setMaxConnections(sockets - egressSockets - 1);
        pool.setLimits(egressSockets, Math.max(MIN_CONNECTIONS_PER_TARGET, egressSockets / 4));
    }

    /**
     * Applies a new configuration that has been validated. Discovery's address and the limit on file descriptors
     * change at once, also during shutdown, because discovery still announces draining executors. The engine and
     * the listener live as long as the process, so changes to the settings they were built from take effect only at
     * the next start.
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

    /** Sets the source from which the configuration is read again if discovery cannot be reached at its address. */
    public void reloadsFrom(Configuration configuration) {
        discovery.configuration(configuration);
    }

    /** Records that a new configuration cannot be used; the old one stays in force. */
    public void rejectReload(String reason) {
        counters.confInvalid++;
        LOG.log(Level.ERROR, "reload rejected reason=" + reason);
    }

    /**
     * Returns the address that clients and executors connect to.
     *
     * @throws IOException if it cannot be determined
     */
    public InetSocketAddress address() throws IOException {
        return listener.address();
    }

    /**
     * Returns the address of the admin endpoint, or null if the node has none.
     *
     * @throws IOException if it cannot be determined
     */
    public InetSocketAddress console() throws IOException {
        return admin == null ? null : admin.address();
    }

    /** Returns the live counters, which may be read only on the event loop's thread. */
    public Counters counters() {
        return counters;
    }

    /**
     * Whether health checks of the node succeed. A process that has handed its clients over always reports success,
     * because the successor process keeps the node in service.
     */
    boolean ready() {
        return handedOver() || notReadyReason(discovery.freshness().hasOpened()) == null;
    }

    /** The freshness of the route table, which the node reports with its health. */
    RouteTableFreshness.State routeTable() {
        return discovery.freshness().state();
    }

    /** The connections accepted by this process. */
    IngressTable ingress() {
        return ingress;
    }

    /** Whether a successor process serves the clients of this process. */
    boolean handedOver() {
        return handover != null && handover.handedOver();
    }

    @Override
    public String status() {
        return notReadyReason(discovery.freshness().open());
    }

    /** Why clients are not served, or null if they are; {@code maySend} tells whether attempts may be sent. */
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
    public String maintenance(String id, boolean outOfService) {
        boolean calledByPeer = handover != null && handover.isHandlingPeerCall();
        boolean wasOutOfService = maintenance.isOutOfService(id);
        String failure = maintenance.set(id, outOfService, !calledByPeer);
        if (wasOutOfService != maintenance.isOutOfService(id)) {
            LOG.log(Level.INFO, (outOfService ? "maintenance set worker=" : "maintenance cleared worker=") + id);
            notifyPeer((outOfService ? "maint-on " : "maint-off ") + id);
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

    /** Whether the node is on standby. */
    boolean standby() {
        return drain.standby();
    }

    /** Whether responses to clients close their connections. */
    boolean isDraining() {
        return drain.isDraining();
    }

    /** Whether responses to executors' callbacks close their connections as well. */
    boolean isDrainingCallbacks() {
        return drain.isDrainingCallbacks();
    }

    /** Whether new jobs are shed. */
    boolean shedsNewJobs() {
        return drain.shedsNewJobs();
    }

    /** Applies the timeouts of all connections, and schedules itself again. */
    private void sweep() {
        long now = loop.now();
        ingress.sweep(now);
        pool.sweep(now);
        loop.timers.set(sweep, now + SWEEP_INTERVAL_NS);
    }

    /**
     * Begins the shutdown. The platform routes no new clients to the node, but connected clients go on sending
     * requests: they are served until shortly before the platform kills the process, and then disconnected. Every
     * accepted request is answered.
     *
     * @param done run once the node has closed
     */
    public void stop(Runnable done) {
        drain.stop(done);
    }

    /** Whether the shutdown has begun. */
    boolean stopping() {
        return drain.stopping();
    }

    /** Updates the drain schedule after a successor process has appeared or ended during the shutdown. */
    void updateDrainSchedule() {
        drain.update();
    }

    /**
     * Stops accepting connections if a successor process accepts them, and listens again if that process has ended.
     *
     * @return whether a successor process serves the clients
     */
    boolean handOverClients() {
        boolean before = handedOver();
        boolean handsOver = handover != null && handover.handOverToSuccessor();
        if (handsOver && !before) {
            LOG.log(Level.INFO, "handover started");
            listener.closeWhenEmpty();
        } else if (before && !handsOver) {
            LOG.log(Level.WARNING, "handover cancelled reason=the successor process has disconnected");
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
        // Without a successor process the listener stays open until now, because executors send callbacks to it.
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
