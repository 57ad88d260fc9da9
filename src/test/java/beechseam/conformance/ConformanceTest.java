package beechseam.conformance;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.config.ConfigNode;
import beechseam.config.GearmanConfig;
import beechseam.config.Json;
import beechseam.gearman.GearmanServer;
import beechseam.gearman.protocol.Packet;
import beechseam.net.EventLoop;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The suite against this project's server, and against peers that get it wrong. */
class ConformanceTest {
    private static final String ANY = "{\"listen\":\"127.0.0.1:0\",\"functions\":[{\"name\":\"*\"}]}";

    @Test
    void ourServerPassesEveryCase() throws Exception {
        List<Script.Case> cases = Script.suite();
        assertTrue(cases.size() >= 120, "the suite has " + cases.size() + " cases");
        byte[] text = ANY.getBytes(StandardCharsets.UTF_8);
        GearmanConfig config = GearmanConfig.of(new ConfigNode("", (Map<?, ?>) Json.parse(text, 0, text.length)));
        EventLoop loop = new EventLoop();
        GearmanServer server = new GearmanServer(loop, config, 3);
        Thread serving = new Thread(() -> assertDoesNotThrow(loop::run));
        serving.start();
        try (Player player = new Player(server.address(), "t")) {
            for (Script.Case c : cases) {
                Player.Result r = player.play(c);
                assertTrue(r.passed(), c.id() + ": " + r.why());
            }
        } finally {
            loop.post(() -> server.stop(loop::stop));
            serving.join(20_000);
        }
        assertFalse(serving.isAlive(), "the server ends when told to");
    }

    @Test
    void everyPacketIsCoveredAndEveryCaseHasAName() throws Exception {
        Set<Packet> covered = EnumSet.noneOf(Packet.class);
        Set<String> names = new HashSet<>();
        for (Script.Case c : Script.suite()) {
            covered.addAll(c.covers());
            assertTrue(names.add(c.id()), "twice: " + c.id());
            assertFalse(c.steps().isEmpty(), c.id());
        }
        assertEquals(EnumSet.allOf(Packet.class), covered);
    }

    /** The page names cases as proof: each must be there, and each packet on the page. */
    @Test
    void thePageOfTheProtocolNamesCasesThatAreThere() throws Exception {
        Set<String> ids = new HashSet<>();
        Script.suite().forEach(c -> ids.add(c.id().replaceAll(" \\([A-Z_]+\\)$", "")));
        Set<String> packets = new HashSet<>();
        for (String line : Files.readAllLines(Path.of("docs", "GEARMAN-PROTOCOL.md"))) {
            String[] cells = line.split("\\|");
            if (cells.length == 6 && cells[1].trim().matches("\\d+")) {
                assertEquals(Packet.valueOf(cells[2].trim()).code, Integer.parseInt(cells[1].trim()), line);
                packets.add(cells[2].trim());
                String proof = cells[5].replaceAll("\\(\\d+\\) *$", "").trim();
                for (String id : proof.split("; ")) {
                    assertTrue(ids.contains(id), id);
                }
            }
        }
        assertEquals(Packet.values().length, packets.size());
    }

    /** A suite that cannot fail shows nothing: servers that say nothing, too much, or the wrong thing. */
    @Test
    void wrongAnswersAreFound() throws Exception {
        String echo = "case \"c\" covers ECHO_REQ {" + " a: send ECHO_REQ \"x\"; expect ECHO_RES \"x\" within 300ms }";
        assertNull(against(echo, Packet.ECHO_RES.response("x").array()));
        assertEquals("line 1: a waited in vain for ECHO_RES", against(echo, new byte[0]));
        assertEquals(
                "line 1: ECHO_RES, argument 1 is 'y' in place of 'x'",
                against(echo, Packet.ECHO_RES.response("y").array()));
        assertEquals(
                "line 1: a heard NO_JOB  in place of ECHO_RES",
                against(echo, Packet.NO_JOB.response().array()));
        assertEquals(
                "line 1: what came is no packet of the protocol",
                against(echo, Packet.ECHO_RES.request("x").array()));
        assertEquals(
                "line 1: STATUS_RES came with 2 arguments in place of 5",
                against(
                        "case \"c\" { a: send GET_STATUS \"x\"; expect STATUS_RES ? ? }",
                        Packet.STATUS_RES.response("x", "0").array()));
        assertEquals(
                "line 1: a heard ECHO_RES 'x'",
                against(
                        "case \"c\" { a: send ECHO_REQ \"x\"; quiet 300ms }",
                        Packet.ECHO_RES.response("x").array()));
        assertEquals(
                "line 1: the line is 'no' and does not match /OK.*/",
                against("case \"c\" { a: line \"version\"; hears /OK.*/ }", "no\n".getBytes()));
        String list = "case \"c\" { a: line \"status\"; lists \"f\\t\" /[0-9]/ ? within 300ms }";
        assertNull(against(list, "e\t1\t0\nf\t2\t0\n.\n".getBytes()));
        assertEquals(
                "line 1: none of 2 lines is as wanted; the last is 'f\t\t0'",
                against(list, "e\t1\t0\nf\t\t0\n.\n".getBytes()));
        assertEquals(
                "line 1: a waited in vain for a line, or the dot that ends the list",
                against(list, "f\t2\t0\n".getBytes()));
        assertEquals(
                "line 1: a was not cut off in time",
                against("case \"c\" { a: raw \"x\"; closed within 50ms }", new byte[0]));
        assertEquals("line 1: nothing is known as h", against("case \"c\" { a: send WORK_FAIL h }", new byte[0]));
        String twice = "case \"c\" { a: send ECHO_REQ \"x\"; expect ECHO_RES v; expect ECHO_RES v }";
        byte[] two = (new String(Packet.ECHO_RES.response("x").array(), StandardCharsets.ISO_8859_1)
                        + new String(Packet.ECHO_RES.response("z").array(), StandardCharsets.ISO_8859_1))
                .getBytes(StandardCharsets.ISO_8859_1);
        assertEquals("line 1: ECHO_RES, argument 1 is 'z' in place of v, 'x'", against(twice, two));
    }

    /** Plays a case against a peer that answers whatever comes with these bytes; why it failed, or null. */
    private static String against(String script, byte[] answer) throws Exception {
        List<Loopback.Peer> peers = new java.util.concurrent.CopyOnWriteArrayList<>();
        Loopback net = new Loopback();
        boolean[] over = {false};
        var address = net.listen(peers);
        Thread serving = new Thread(() -> net.until("the end", () -> {
            for (Loopback.Peer p : peers) {
                if (!p.take().isEmpty() && answer.length > 0) {
                    p.write(java.nio.ByteBuffer.wrap(answer.clone()));
                }
            }
            synchronized (over) {
                return over[0];
            }
        }));
        serving.start();
        try (Player player = new Player(address, "t")) {
            return player.play(Script.parse("f", script).get(0)).why();
        } finally {
            synchronized (over) {
                over[0] = true;
            }
            serving.join();
            net.close();
        }
    }

    @Test
    void aFaultyTranscriptIsToldWithItsPlace() {
        for (String[] each : new String[][] {
            {"case \"a\" {\n a: sing }", "f:2:5: "}, {"case \"a\" { a: send NO_SUCH }", "f:1:20: NO_SUCH is no packet"},
            {"case \"a\" { a: raw \"\\xzz\" }", "f:1:19: \\x needs two"}, {"case \"a\" { a: hears /(/ }", "f:1:21: "},
            {"case a { }", "f:1:6: "}
        }) {
            String message = assertThrows(Script.Fault.class, () -> Script.parse("f", each[0]))
                    .getMessage();
            assertTrue(message.startsWith(each[1]), message);
        }
    }
}
