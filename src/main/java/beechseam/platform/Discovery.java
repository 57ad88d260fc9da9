package beechseam.platform;

import beechseam.config.Json;
import beechseam.config.MemberList;
import beechseam.core.Engine;
import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.WorkerEndpoint;
import beechseam.http.HttpException;
import beechseam.http.HttpParser;
import beechseam.http.HttpWriter;
import beechseam.net.Connection;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the route table up to date from discovery's lists, over HTTP. During an outage of discovery the node
 * serves by the cached list. Discovery's address may change at any time. {@link ListWatch} decides when to
 * poll; this class is its transport and applies the lists.
 */
final class Discovery implements ListWatch.Transport {
    private static final Logger LOG = System.getLogger(Discovery.class.getName());
    /** Wait of a call that is to be answered immediately. */
    private static final long MIN_WAIT_MS = 1;
    /** Shortest interval between reloads of the configuration, well below the time to follow an address change. */
    private static final long MIN_RELOAD_INTERVAL_NS = 1_000_000_000L;

    private static final long NANOS_PER_MS = 1_000_000L;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int STATUS_OK = 200;
    /** Causes of {@link #warnOnce}. */
    private static final String CAUSE_ENTRIES = "entries";

    private static final String CAUSE_CONTENT = "content";
    /** Limit of a list in bytes: some 20,000 entries as discovery writes them, 10,000 if indented. */
    static final int MAX_LIST_BYTES = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final Engine engine;
    private final EgressPool pool;
    private final Maintenance maintenance;
    private final ListWatch watch;
    private final ServerStartTimes startTimes;
    private InetSocketAddress address;
    private String host;
    private PlatformNode.Configuration configuration;
    private long reloadedAt;
    private boolean reloading;
    /** Causes already reported since the last usable list. */
    private final Set<String> reportedCauses = new HashSet<>();

    /**
     * @param address where discovery listens
     * @param host the same as text, for the Host header
     * @param drainGraceNs see {@link ListWatch}
     */
    Discovery(
            EventLoop loop,
            InetSocketAddress address,
            String host,
            Engine engine,
            EgressPool pool,
            Maintenance maintenance,
            long drainGraceNs) {
        this.maintenance = maintenance;
        this.loop = loop;
        this.address = address;
        this.host = host;
        this.engine = engine;
        this.pool = pool;
        watch = new ListWatch(loop::now, loop.timers, drainGraceNs, this);
        startTimes = new ServerStartTimes(loop::now, System::currentTimeMillis);
    }

    /** Starts from a cached list, which may be stale: the full list is requested nevertheless. */
    void start(MemberList known) {
        if (!known.servers().isEmpty()) {
            apply(known, EndpointUpdate.CACHED);
        }
        watch.start(known);
    }

    /** Whether a list of discovery has been applied since the start. */
    boolean isSynced() {
        return watch.isSynced();
    }

    /** Whether the route table is current enough to send by. */
    RouteTableFreshness freshness() {
        return watch.freshness();
    }

    /**
     * Changes discovery's address; no effect if it is the same. The route table stays in effect until the full
     * list has been received from there: versions of another address may be counted differently, and entries
     * that its list lacks must be removed.
     */
    void changeAddress(InetSocketAddress to, String toHost) {
        if (to.equals(address)) {
            return;
        }
        LOG.log(Level.INFO, "discovery address changed from=" + host + " to=" + toHost);
        address = to;
        host = toHost;
        watch.addressChanged();
    }

    /** Cancels all calls; none is made any more. */
    void stop() {
        watch.stop();
    }

    /** Sets the configuration from which the address is reloaded when a connection to it fails. */
    void configuration(PlatformNode.Configuration source) {
        configuration = source;
    }

    /**
     * Reloads the address after a connection failure: discovery may have moved without this node noticing.
     * The reload signal may reach a process that has read its file and is not up yet, or find a file half
     * written; polls would then go to the old address forever.
     */
    private void reloadAddress() {
        if (configuration == null || reloading || loop.now() - reloadedAt < MIN_RELOAD_INTERVAL_NS) {
            return;
        }
        reloading = true;
        loop.callAside(
                configuration::read,
                latest -> {
                    reloadFinished();
                    changeAddress(latest.discovery(), latest.discoveryHost());
                },
                error -> {
                    reloadFinished();
                    LOG.log(
                            Level.WARNING,
                            "discovery address reload failed address=" + host + " reason=" + error.getMessage());
                });
    }

    private void reloadFinished() {
        reloading = false;
        reloadedAt = loop.now();
    }

    @Override
    public void poll(ListWatch.Call call, ListWatch.Call predecessor) {
        AgentConnection reusable = predecessor == null ? null : (AgentConnection) predecessor.connection;
        try {
            AgentConnection connection = reusable != null && !reusable.closed() ? reusable : new AgentConnection();
            call.connection = connection;
            connection.poll(call);
        } catch (IOException e) { // out of descriptors
            watch.onFailure(call, e.getMessage());
        }
    }

    @Override
    public void cancel(ListWatch.Call call) {
        if (call.connection instanceof AgentConnection connection) {
            connection.close();
        }
    }

    @Override
    public void onPollFailure(String reason, boolean first) {
        LOG.log(first ? Level.INFO : Level.DEBUG, "discovery poll failed reason=" + reason);
    }

    /** Logs an unusable list or entry as a warning, but only once for each {@code cause} until a usable list. */
    private void warnOnce(String cause, String message) {
        LOG.log(reportedCauses.add(cause) ? Level.WARNING : Level.DEBUG, message);
    }

    @Override
    public boolean readUnread(ListWatch.Call call) {
        boolean hadUnread = false;
        if (call.connection instanceof AgentConnection connection) {
            while (connection.call == call && connection.catchUp()) {
                hadUnread = true;
            }
        }
        return hadUnread;
    }

    @Override
    public void apply(MemberList list, EndpointUpdate update) {
        List<WorkerEndpoint> entries = new ArrayList<>();
        Set<Long> targets = new HashSet<>();
        Set<String> ids = new HashSet<>(list.unusable());
        startTimes.beginUpdate(update == EndpointUpdate.CACHED);
        for (MemberList.Server server : list.servers()) {
            long id = Wire.target(server.id());
            if (id < 0) {
                LOG.log(Level.WARNING, "discovery entry ignored reason=invalid_id id=" + server.id());
                continue;
            }
            maintenance.listed(server.id(), id);
            entries.add(server.worker(id, startTimes.startedAtNs(server)));
            ids.add(server.id());
            if (server.state() != EndpointState.REMOVED) {
                targets.add(id);
                pool.put(id, server.addr(), server.address());
            }
        }
        for (String each : list.unusable()) { // the current entry stays in effect
            WorkerEndpoint current = engine.routeTable().listed(Wire.target(each));
            if (current != null && targets.add(current.id())) {
                entries.add(current);
            }
        }
        engine.updateEndpoints(update, entries);
        if (update != EndpointUpdate.DELTA) {
            pool.retain(targets);
            startTimes.retain(ids);
        } else {
            entries.stream()
                    .filter(each -> each.state() == EndpointState.REMOVED)
                    .forEach(each -> pool.remove(each.id()));
        }
    }

    /** A connection to discovery with at most one pending call. */
    private final class AgentConnection extends Connection {
        private final HttpParser parser = new HttpParser(false, MAX_LIST_BYTES);
        private ListWatch.Call call;
        /** Some entries of the last list were invalid. */
        private boolean partiallyUsable;

        AgentConnection() throws IOException {
            super(Discovery.this.loop, null, HttpParser.maxMessage(MAX_LIST_BYTES));
        }

        void poll(ListWatch.Call next) {
            call = next;
            long waitMs = Math.max(MIN_WAIT_MS, next.waitNs / NANOS_PER_MS);
            String target = next.sinceVersion < 0
                    ? "/catalog/members"
                    : "/catalog/members?after=" + next.sinceVersion + "&wait_ms=" + waitMs;
            write(HttpWriter.request("GET", target, host, "", Wire.EMPTY_BODY));
            if (connecting()) {
                connect(address);
            }
        }

        @Override
        protected void connected() {
            if (call != null) {
                watch.onSent(call);
            }
        }

        @Override
        protected void received(ByteBuffer in) {
            if (call != null) {
                watch.recordProgress(call);
            }
            try {
                while (in.hasRemaining() && !closed()) {
                    if (call == null) { // an unsolicited response: the framing is lost
                        close();
                    } else if (!parser.parse(in)) {
                        return;
                    } else if (parser.status() >= FIRST_FINAL_STATUS) {
                        onResponse(in.hasRemaining());
                    }
                }
            } catch (HttpException e) {
                rejectResponse("status " + e.status, "malformed_response detail=" + e.getMessage());
            }
        }

        /** An unusable list has no effect and counts as a failed call. */
        private void onResponse(boolean trailingBytes) {
            if (!parser.keepAlive() || parser.untilClose() || trailingBytes) {
                close();
            }
            if (parser.status() != STATUS_OK) {
                rejectResponse("answer " + parser.status(), "http_status status=" + parser.status());
                return;
            }
            MemberList list;
            try {
                list = parseList();
            } catch (IOException e) {
                rejectResponse(
                        CAUSE_CONTENT,
                        "invalid_list bytes=" + parser.body().length() + " detail="
                                + e.getMessage().lines().findFirst().orElse(""));
                return;
            }
            reportedCauses.retainAll(partiallyUsable ? Set.of(CAUSE_ENTRIES) : Set.of());
            ListWatch.Call completed = call;
            call = null;
            watch.onResponse(completed, list);
        }

        private MemberList parseList() throws IOException {
            Object document = Json.parse(
                    parser.body().bytes(), parser.body().from(), parser.body().length());
            if (!(document instanceof Map<?, ?> map)) {
                throw new IOException("not an object");
            }
            partiallyUsable = false;
            return MemberList.of(map, detail -> {
                partiallyUsable = true;
                warnOnce(CAUSE_ENTRIES, "discovery entries ignored detail=" + detail);
            });
        }

        private void rejectResponse(String cause, String reason) {
            warnOnce(cause, "discovery list rejected reason=" + reason);
            failCall(reason);
        }

        private void failCall(String reason) {
            ListWatch.Call failed = call;
            call = null;
            close();
            if (failed != null) {
                watch.onFailure(failed, reason);
            }
        }

        @Override
        protected void lost(IOException cause) {
            failCall(cause.getMessage());
            reloadAddress();
        }
    }
}
