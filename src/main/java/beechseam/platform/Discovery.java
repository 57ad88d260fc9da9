package beechseam.platform;

import beechseam.Dispatching.ListForm;
import beechseam.Dispatching.State;
import beechseam.Dispatching.Worker;
import beechseam.config.Json;
import beechseam.config.MemberList;
import beechseam.core.Engine;
import beechseam.core.Timer;
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
 * Keeps the route table up to date: the whole list once, then one watch after the other without a gap. While
 * discovery is silent the node serves by what it holds, and asks again. The address may change meanwhile.
 */
final class Discovery {
    private static final Logger LOG = System.getLogger(Discovery.class.getName());
    /** Short, so that a call lost without a word is made again before its news counts as told. */
    private static final long WAIT_MS = 4_000;
    private static final long SILENCE_NS = 1_000_000_000L;
    private static final long RETRY_NS = 100_000_000L;
    private static final long MOST_RETRY_NS = 1_000_000_000L;

    private final EventLoop loop;
    private final Engine engine;
    private final EgressPool pool;
    private final Maintenance maintenance;
    private final Timer silence = new Timer() {
        @Override
        protected void fire() {
            askAgain("silent");
        }
    };
    private final Timer retry = new Timer() {
        @Override
        protected void fire() {
            ask();
        }
    };
    private InetSocketAddress address;
    private String host;
    private Line line;
    private boolean held;
    /** The whole list has come from this address: only then do its versions and ours mean the same. */
    private boolean whole;
    private boolean stopped;
    private long version;
    private long retryNs = RETRY_NS;

    Discovery(EventLoop loop, InetSocketAddress address, String host, Engine engine, EgressPool pool,
              Maintenance maintenance) {
        this.maintenance = maintenance;
        this.loop = loop;
        this.address = address;
        this.host = host;
        this.engine = engine;
        this.pool = pool;
    }

    /** The list as held before the start: it may be old, so the whole list is asked for all the same. */
    void start(MemberList known) {
        if (!known.servers().isEmpty()) {
            apply(known, ListForm.CACHED);
        }
        ask();
    }

    /** Whether discovery has answered since the start. */
    boolean held() {
        return held;
    }

    /**
     * Discovery is elsewhere from now on. The route table stays as it is until the whole list has come from
     * there: another address may count its versions otherwise, and what its list lacks must go.
     */
    void move(InetSocketAddress to, String toHost) {
        if (stopped || to.equals(address)) {
            return;
        }
        LOG.log(Level.INFO, "discovery: moves from " + host + " to " + toHost);
        hangUp();
        address = to;
        host = toHost;
        whole = false;
        retryNs = RETRY_NS;
        ask();
    }

    void stop() {
        stopped = true;
        hangUp();
    }

    private void hangUp() {
        loop.timers.cancel(silence);
        loop.timers.cancel(retry);
        if (line != null) {
            line.close();
            line = null;
        }
    }

    private void ask() {
        if (stopped) {
            return;
        }
        try {
            if (line == null || line.closed()) {
                line = new Line();
                line.ask();
                line.open();
            } else {
                line.ask();
            }
        } catch (IOException e) {
            askAgain(e.getMessage());
        }
    }

    private void askAgain(String why) {
        if (stopped) {
            return;
        }
        LOG.log(Level.INFO, "discovery: " + why + "; asking again");
        hangUp();
        loop.timers.set(retry, loop.now() + retryNs);
        retryNs = Math.min(MOST_RETRY_NS, 2 * retryNs);
    }

    private void answered(HttpParser answer) {
        loop.timers.cancel(silence);
        if (answer.status() != 200) {
            askAgain("status " + answer.status());
            return;
        }
        try {
            Object tree = Json.parse(answer.body().bytes(), answer.body().from(), answer.body().length());
            if (!(tree instanceof Map<?, ?> map)) {
                throw new IOException("not an object");
            }
            MemberList list = MemberList.of(map, why -> LOG.log(Level.WARNING, "discovery: " + why));
            apply(list, list.full() ? ListForm.FULL : ListForm.CHANGES);
        } catch (IOException e) {
            askAgain("an answer that is no list: " + e.getMessage());
            return;
        }
        held = true;
        whole = true;
        retryNs = RETRY_NS;
        ask();
    }

    private void apply(MemberList list, ListForm form) {
        version = list.version();
        List<Worker> lines = new ArrayList<>();
        Set<Long> named = new HashSet<>();
        for (MemberList.Server s : list.servers()) {
            long id = Wire.target(s.id());
            if (id < 0) {
                LOG.log(Level.WARNING, "a server without a proper id: " + s.id());
                continue;
            }
            maintenance.listed(s.id(), id);
            lines.add(new Worker(id, s.cell(), s.zone(), s.kind(), s.startedMs() * 1_000_000L, s.state(),
                s.weight()));
            if (s.state() != State.GONE) {
                named.add(id);
                pool.put(id, s.addr(), s.address());
            }
        }
        engine.routes(form, lines);
        if (form != ListForm.CHANGES) {
            pool.retain(named);
        } else {
            lines.stream().filter(each -> each.state() == State.GONE).forEach(each -> pool.remove(each.id()));
        }
    }

    private final class Line extends Connection {
        private final HttpParser parser = new HttpParser(false);

        Line() throws IOException {
            super(Discovery.this.loop, null, HttpParser.MAX_MESSAGE);
        }

        void open() {
            connect(address);
        }

        void ask() {
            String target = whole ? "/catalog/members?after=" + version + "&wait_ms=" + WAIT_MS
                : "/catalog/members";
            loop.timers.set(silence, loop.now() + SILENCE_NS + (whole ? WAIT_MS * 1_000_000L : 0));
            write(HttpWriter.request("GET", target, host, "", Wire.NOTHING));
        }

        @Override
        protected void received(ByteBuffer in) {
            try {
                while (in.hasRemaining() && !closed() && parser.parse(in)) {
                    if (parser.status() >= 200) {
                        if (!parser.keepAlive()) {
                            close();
                        }
                        answered(parser);
                    }
                }
            } catch (HttpException e) {
                askAgain(e.getMessage());
            }
        }

        @Override
        protected void lost(IOException why) {
            if (line == this) {
                askAgain(why.getMessage());
            }
        }
    }
}
