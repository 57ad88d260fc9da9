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
 * Keeps the route table up to date from discovery's lists. While discovery is silent the node serves by what
 * it holds. The address may change meanwhile. When to ask what is {@link ListWatch}'s to decide.
 */
final class Discovery implements ListWatch.Transport {
    private static final Logger LOG = System.getLogger(Discovery.class.getName());
    /** A call that may not wait says so: news is there, or there is none. */
    private static final long LEAST_WAIT_MS = 1;
    /** So often at most the configuration is looked at again; far less than what a moved address is given. */
    private static final long REREAD_INTERVAL_NS = 1_000_000_000L;

    private static final String ENTRIES = "entries";
    /** The longest list in bytes: some 20,000 entries as discovery writes them, 10,000 of them indented. */
    static final int MAX_LIST = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final Engine engine;
    private final EgressPool pool;
    private final Maintenance maintenance;
    private final ListWatch watch;
    private final ServerStartTimes startTimes;
    private InetSocketAddress address;
    private String host;
    private PlatformNode.Configuration configuration;
    private long rereadAt;
    private boolean rereading;
    /** Complaints of lists that have been logged since the last one that could be used. */
    private final Set<String> complaints = new HashSet<>();

    /** {@code drainGraceNs}: see {@link ListWatch}. */
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

    /** The list as held before the start: it may be old, so the whole list is asked for all the same. */
    void start(MemberList known) {
        if (!known.servers().isEmpty()) {
            take(known, EndpointUpdate.CACHED);
        }
        watch.start(known);
    }

    /** Whether discovery has answered since the start. */
    boolean isSynced() {
        return watch.isSynced();
    }

    /** Whether the route table may be acted on. */
    RouteTableFreshness freshness() {
        return watch.freshness();
    }

    /**
     * Discovery is elsewhere from now on. The route table stays as it is until the whole list has come from
     * there: another address may count its versions otherwise, and what its list lacks must go.
     */
    void move(InetSocketAddress to, String toHost) {
        if (to.equals(address)) {
            return;
        }
        LOG.log(Level.INFO, "discovery: moves from " + host + " to " + toHost);
        address = to;
        host = toHost;
        watch.moved();
    }

    void stop() {
        watch.stop();
    }

    /** Where the address may be looked up again, when nobody is at the one that this node was told of. */
    void configuration(PlatformNode.Configuration theConfiguration) {
        configuration = theConfiguration;
    }

    /**
     * Its address refuses or resets: discovery may have moved, and word of that may not have come. A signal
     * finds a process that has read its file and is not up yet, or a file that is only half written; asking
     * at the old address would then go on for good.
     */
    private void rereadAddress() {
        if (configuration == null || rereading || loop.now() - rereadAt < REREAD_INTERVAL_NS) {
            return;
        }
        rereading = true;
        loop.callAside(
                configuration::read,
                now -> {
                    reread();
                    move(now.discovery(), now.discoveryHost());
                },
                why -> {
                    reread();
                    LOG.log(Level.WARNING, "discovery is not at " + host + ", and " + why.getMessage());
                });
    }

    private void reread() {
        rereading = false;
        rereadAt = loop.now();
    }

    @Override
    public void ask(ListWatch.Call call, ListWatch.Call before) {
        AgentConnection open = before == null ? null : (AgentConnection) before.connection;
        try {
            AgentConnection connection = open != null && !open.closed() ? open : new AgentConnection();
            call.connection = connection;
            connection.ask(call);
        } catch (IOException e) { // out of descriptors
            watch.failed(call, e.getMessage());
        }
    }

    @Override
    public void cancel(ListWatch.Call call) {
        if (call.connection instanceof AgentConnection connection) {
            connection.close();
        }
    }

    @Override
    public void failed(String why, boolean first) {
        LOG.log(first ? Level.INFO : Level.DEBUG, "discovery: " + why + "; asking again");
    }

    /** Logs a list that cannot be used, or not all of it, once for each {@code cause}. */
    private void complain(String cause, String what) {
        LOG.log(complaints.add(cause) ? Level.WARNING : Level.DEBUG, "discovery: " + what);
    }

    @Override
    public boolean readUnread(ListWatch.Call call) {
        boolean any = false;
        if (call.connection instanceof AgentConnection connection) {
            while (connection.call == call && connection.catchUp()) {
                any = true;
            }
        }
        return any;
    }

    @Override
    public void take(MemberList list, EndpointUpdate form) {
        List<WorkerEndpoint> lines = new ArrayList<>();
        Set<Long> named = new HashSet<>();
        Set<String> ids = new HashSet<>(list.unusable());
        startTimes.begin(form == EndpointUpdate.CACHED);
        for (MemberList.Server s : list.servers()) {
            long id = Wire.target(s.id());
            if (id < 0) {
                LOG.log(Level.WARNING, "a server without a proper id: " + s.id());
                continue;
            }
            maintenance.listed(s.id(), id);
            lines.add(s.worker(id, startTimes.of(s)));
            ids.add(s.id());
            if (s.state() != EndpointState.REMOVED) {
                named.add(id);
                pool.put(id, s.addr(), s.address());
            }
        }
        for (String each : list.unusable()) { // what is held of it stays
            WorkerEndpoint held = engine.routeTable().listed(Wire.target(each));
            if (held != null && named.add(held.id())) {
                lines.add(held);
            }
        }
        engine.updateEndpoints(form, lines);
        if (form != EndpointUpdate.DELTA) {
            pool.retain(named);
            startTimes.retain(ids);
        } else {
            lines.stream()
                    .filter(each -> each.state() == EndpointState.REMOVED)
                    .forEach(each -> pool.remove(each.id()));
        }
    }

    /** A connection to discovery, with one call out or none. */
    private final class AgentConnection extends Connection {
        private final HttpParser parser = new HttpParser(false, MAX_LIST);
        private ListWatch.Call call;
        /** Some entries of the list read last made no sense. */
        private boolean partly;

        AgentConnection() throws IOException {
            super(Discovery.this.loop, null, HttpParser.maxMessage(MAX_LIST));
        }

        void ask(ListWatch.Call next) {
            call = next;
            long waitMs = Math.max(LEAST_WAIT_MS, next.waitNs / 1_000_000L);
            String target =
                    next.after < 0 ? "/catalog/members" : "/catalog/members?after=" + next.after + "&wait_ms=" + waitMs;
            write(HttpWriter.request("GET", target, host, "", Wire.NOTHING));
            if (connecting()) {
                connect(address);
            }
        }

        @Override
        protected void connected() {
            if (call != null) {
                watch.sent(call);
            }
        }

        @Override
        protected void received(ByteBuffer in) {
            if (call != null) {
                watch.heard(call);
            }
            try {
                while (in.hasRemaining() && !closed()) {
                    if (call == null) { // an answer to nothing: its frame is lost
                        close();
                    } else if (!parser.parse(in)) {
                        return;
                    } else if (parser.status() >= 200) {
                        answered(in.hasRemaining());
                    }
                }
            } catch (HttpException e) {
                unusable("status " + e.status, e.getMessage());
            }
        }

        /** A list that cannot be used changes nothing, and counts as a failed call. */
        private void answered(boolean more) {
            if (!parser.keepAlive() || parser.untilClose() || more) {
                close();
            }
            if (parser.status() != 200) {
                unusable("answer " + parser.status(), "status " + parser.status());
                return;
            }
            MemberList list;
            try {
                list = read();
            } catch (IOException e) {
                unusable(
                        "content",
                        "an answer of " + parser.body().length() + " bytes that is no list: "
                                + e.getMessage().lines().findFirst().orElse(""));
                return;
            }
            complaints.retainAll(partly ? Set.of(ENTRIES) : Set.of());
            ListWatch.Call done = call;
            call = null;
            watch.answered(done, list);
        }

        private MemberList read() throws IOException {
            Object tree = Json.parse(
                    parser.body().bytes(), parser.body().from(), parser.body().length());
            if (!(tree instanceof Map<?, ?> map)) {
                throw new IOException("not an object");
            }
            partly = false;
            return MemberList.of(map, what -> {
                partly = true;
                complain(ENTRIES, what);
            });
        }

        private void unusable(String cause, String why) {
            complain(cause, why + "; the list as held stays");
            callFailed(why);
        }

        private void callFailed(String why) {
            ListWatch.Call failed = call;
            call = null;
            close();
            if (failed != null) {
                watch.failed(failed, why);
            }
        }

        @Override
        protected void lost(IOException why) {
            callFailed(why.getMessage());
            rereadAddress();
        }
    }
}
