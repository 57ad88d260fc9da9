package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import beechseam.config.ConfigException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Lists of discovery in every size and format, and unusable lists. */
class DiscoveryListTest extends NodeHarness {
    private static final String LISTEN = "\"listen\":\"127.0.0.1:0\",";
    private static final long CACHED_SERVER = 0x0badcafeL;

    private final PlatformNode node;
    private final List<LogRecord> logged = new ArrayList<>();
    private final Logger logger = Logger.getLogger(Discovery.class.getName());
    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord entry) {
            logged.add(entry);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    DiscoveryListTest() throws IOException, ConfigException {
        logger.addHandler(handler);
        node = new PlatformNode(net.loop, config(discoveryAt, LISTEN));
        awaitPoll(0);
    }

    @AfterEach
    void removeHandler() {
        logger.removeHandler(handler);
    }

    @Override
    InetSocketAddress address() throws IOException {
        return node.address();
    }

    private void awaitPoll(int connection) {
        net.until(
                "a call to discovery",
                () -> discovery.size() > connection
                        && discovery.get(connection).receivedText().endsWith("\r\n\r\n"));
    }

    private long warnings() {
        return logged.stream()
                .filter(each -> each.getLevel().equals(Level.WARNING))
                .count();
    }

    private String firstWarning() {
        return logged.stream()
                .filter(each -> each.getLevel().equals(Level.WARNING))
                .findFirst()
                .orElseThrow()
                .getMessage();
    }

    private enum Form {
        COMPACT,
        INDENTED,
        CHUNKED
    }

    /** A list of servers that all have the stand-in's address. */
    private String list(int servers, Form form) {
        String space = form == Form.INDENTED ? "\n      " : "";
        StringBuilder list = new StringBuilder("{\"version\":9,\"full\":true,\"servers\":[");
        for (int i = 0; i < servers; i++) {
            String row = row("SERVING").replace("s-0badcafe", String.format(Locale.ROOT, "s-%08x", i + 1));
            list.append(i == 0 ? "" : ",").append(space).append(row.replace(",", "," + space + "  "));
        }
        return list.append("]}").toString();
    }

    private static String chunked(String body, int size) {
        StringBuilder all = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int at = 0; at < body.length(); at += size) {
            String chunk = body.substring(at, Math.min(body.length(), at + size));
            all.append(Integer.toHexString(chunk.length()))
                    .append("\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        return all.append("0\r\n\r\n").toString();
    }

    @ParameterizedTest
    @CsvSource({"1024,COMPACT", "1024,INDENTED", "1024,CHUNKED", "4096,COMPACT", "4096,INDENTED", "4096,CHUNKED"})
    void listOfManyServersIsAppliedAndUsedForDispatch(int servers, Form form) {
        String body = list(servers, form);
        discovery.get(0).send(form == Form.CHUNKED ? chunked(body, 200) : answer("200 OK", body));
        net.until("the list", () -> node.isSynced());
        assertEquals(servers, node.engine.routeTable().size());
        net.until("ready", node::ready); // at once, or after a second where reading the list took long
        Peer client = sendJob("c1", "safe", "30000m");
        attempt(0, "c1").send(answer("202 Accepted", ""));
        net.until("served", () -> node.counters.current() == 1);
        assertFalse(client.disconnected);
        assertEquals(0, warnings());
    }

    /** Slower than the retry interval: calls made in parallel must not cancel the one that makes progress. */
    @ParameterizedTest
    @EnumSource(Form.class)
    void slowlyReceivedListIsApplied(Form form) {
        String body = list(1024, form);
        String all = form == Form.CHUNKED ? chunked(body, 200) : answer("200 OK", body);
        int piece = all.length() / 100 + 1;
        for (int at = 0; at < all.length(); at += piece) {
            assertFalse(node.isSynced());
            discovery.get(0).send(all.substring(at, Math.min(all.length(), at + piece)));
            net.settle(25);
        }
        net.until("the list", () -> node.isSynced());
        assertEquals(1024, node.engine.routeTable().size());
        assertFalse(discovery.get(0).disconnected);
    }

    /** The buffer grown for a list is released: more lists than would fit on the heap together. */
    @Test
    void bufferOfLongListIsReleased() {
        String body = list(4096, Form.INDENTED);
        long budget = Runtime.getRuntime().maxMemory() / 4; // for all long buffers together
        long lists = Math.min(40, budget / body.length() + 2);
        for (int i = 0; i < lists; i++) {
            Peer agent = discovery.get(0);
            agent.take();
            agent.send(answer("200 OK", body.replace("\"version\":9", "\"version\":" + (10 + i))));
            int version = 10 + i;
            net.until(
                    "the next call",
                    () -> agent.receivedText().contains("after=" + version + "&")
                            && agent.receivedText().endsWith("\r\n\r\n"));
        }
        assertEquals(0, warnings());
    }

    private String entry(String id) {
        return row("SERVING").replace("s-0badcafe", id);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "long | a body of 5000000 bytes or more; 4194304 is the most",
                "long chunks | bytes or more; 4194304 is the most",
                "cut | reason=invalid_list bytes=38 detail=Unexpected end-of-input: was"
                        + " expecting closing '\"' for name at byte ",
                "other form | reason=invalid_list bytes=21 detail=version: is missing",
                "no servers | reason=invalid_list bytes=13 detail=servers: is missing",
                "one id | reason=invalid_list bytes= ... detail=servers: must name"
                        + " a server once, and names s-00000007 twice",
                "error | reason=http_status status=500"
            })
    void unusableListIsLoggedOncePerCauseAndRequestedAgain(String response, String expectedText) {
        String all = switch (response) {
            case "long" -> "HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n";
            case "long chunks" ->
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + ("fffff\r\n" + "x".repeat(0xfffff) + "\r\n").repeat(4) + "fffff\r\n";
            case "cut" -> answer("200 OK", "{\"version\":9,\"full\":true,\"servers\":[{\"");
            case "other form" -> answer("200 OK", "{\"members\":[],\"at\":9}");
            case "no servers" -> answer("200 OK", "{\"version\":9}");
            case "one id" -> answer("200 OK", list(9, (entry("s-00000007") + ",").repeat(9_999) + entry("s-00000007")));
            default -> answer("500 Oops", "");
        };
        for (int call = 0; call < 3; call++) {
            awaitPoll(call);
            discovery.get(call).send(all);
            int next = call + 1;
            net.until("another call", () -> discovery.size() > next);
        }
        assertFalse(node.isSynced());
        assertTrue(node.engine.routeTable().acceptsNewWork(CACHED_SERVER), "the current list stays in effect");
        assertEquals(1, warnings(), "once a cause");
        for (String each : expectedText.split(" \\.\\.\\. ")) {
            assertTrue(firstWarning().contains(each), firstWarning());
        }
    }

    /** A truncated response is a connection failure and no list. */
    @Test
    void listTruncatedByCloseIsRequestedAgain() {
        String whole = answer("200 OK", list(100, Form.COMPACT));
        discovery.get(0).send(whole.substring(0, whole.length() / 2));
        net.settle(20);
        discovery.get(0).close();
        awaitPoll(1);
        assertTrue(node.engine.routeTable().acceptsNewWork(CACHED_SERVER));
        assertTrue(discovery.get(1).receivedText().startsWith("GET /catalog/members HTTP/1.1"), "the whole list");
    }

    /** An invalid entry is ignored alone; where it names a listed server, that stays in effect. */
    @Test
    void invalidEntryLeavesCurrentServerInEffect() {
        String invalid = row("SERVING").replaceAll("\"addr\":\"[^\"]*\",", "");
        discovery.get(0).send(answer("200 OK", list(9, entry("s-00000001") + "," + invalid)));
        net.until("the list", () -> node.isSynced());
        assertTrue(node.engine.routeTable().acceptsNewWork(1));
        assertTrue(node.engine.routeTable().acceptsNewWork(CACHED_SERVER));
        assertEquals(1, warnings());
        assertTrue(firstWarning().contains("1 of 2 entries cannot be used, first servers[1].addr"), firstWarning());
    }
}
