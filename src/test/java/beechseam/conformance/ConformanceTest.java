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

/** Runs the suite against this project's server, and against peers that answer incorrectly. */
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
        assertFalse(serving.isAlive(), "the server did not stop within 20 s");
    }

    @Test
    void everyPacketIsCoveredAndCaseNamesAreUnique() throws Exception {
        Set<Packet> covered = EnumSet.noneOf(Packet.class);
        Set<String> names = new HashSet<>();
        for (Script.Case c : Script.suite()) {
            covered.addAll(c.covers());
            assertTrue(names.add(c.id()), "duplicate case: " + c.id());
            assertFalse(c.steps().isEmpty(), c.id());
        }
        assertEquals(EnumSet.allOf(Packet.class), covered);
    }

    /** The protocol page lists every packet with the cases that prove it; each of these cases must exist. */
    @Test
    void protocolPageListsEveryPacketAndExistingCases() throws Exception {
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

    /** The suite must fail servers that send nothing, too much, or a wrong answer. */
    @Test
    void incorrectAnswersFailTheCase() throws Exception {
        String echo = "case \"c\" covers ECHO_REQ {" + " a: send ECHO_REQ \"x\"; expect ECHO_RES \"x\" within 300ms }";
        assertNull(failureAgainst(echo, Packet.ECHO_RES.response("x").array()));
        assertEquals("line 1: a timed out waiting for ECHO_RES", failureAgainst(echo, new byte[0]));
        assertEquals(
                "line 1: ECHO_RES, argument 1 is 'y' instead of 'x'",
                failureAgainst(echo, Packet.ECHO_RES.response("y").array()));
        assertEquals(
                "line 1: a received NO_JOB  instead of ECHO_RES",
                failureAgainst(echo, Packet.NO_JOB.response().array()));
        assertEquals(
                "line 1: the received bytes are no packet of the protocol",
                failureAgainst(echo, Packet.ECHO_RES.request("x").array()));
        assertEquals(
                "line 1: STATUS_RES came with 2 arguments instead of 5",
                failureAgainst(
                        "case \"c\" { a: send GET_STATUS \"x\"; expect STATUS_RES ? ? }",
                        Packet.STATUS_RES.response("x", "0").array()));
        assertEquals(
                "line 1: a received ECHO_RES 'x'",
                failureAgainst(
                        "case \"c\" { a: send ECHO_REQ \"x\"; quiet 300ms }",
                        Packet.ECHO_RES.response("x").array()));
        assertEquals(
                "line 1: the line is 'no', which does not match /OK.*/",
                failureAgainst("case \"c\" { a: line \"version\"; hears /OK.*/ }", "no\n".getBytes()));
        String list = "case \"c\" { a: line \"status\"; lists \"f\\t\" /[0-9]/ ? within 300ms }";
        assertNull(failureAgainst(list, "e\t1\t0\nf\t2\t0\n.\n".getBytes()));
        assertEquals(
                "line 1: none of 2 lines matches; the last is 'f\t\t0'",
                failureAgainst(list, "e\t1\t0\nf\t\t0\n.\n".getBytes()));
        assertEquals(
                "line 1: a timed out waiting for a line, or the dot that ends the list",
                failureAgainst(list, "f\t2\t0\n".getBytes()));
        assertEquals(
                "line 1: a was not disconnected in time",
                failureAgainst("case \"c\" { a: raw \"x\"; closed within 50ms }", new byte[0]));
        assertEquals("line 1: undefined variable h", failureAgainst("case \"c\" { a: send WORK_FAIL h }", new byte[0]));
        String twice = "case \"c\" { a: send ECHO_REQ \"x\"; expect ECHO_RES v; expect ECHO_RES v }";
        byte[] two = (new String(Packet.ECHO_RES.response("x").array(), StandardCharsets.ISO_8859_1)
                        + new String(Packet.ECHO_RES.response("z").array(), StandardCharsets.ISO_8859_1))
                .getBytes(StandardCharsets.ISO_8859_1);
        assertEquals("line 1: ECHO_RES, argument 1 is 'z' instead of v, 'x'", failureAgainst(twice, two));
    }

    /** Runs a case against a peer that answers any input with these bytes; returns the failure reason, or null. */
    private static String failureAgainst(String script, byte[] answer) throws Exception {
        List<Loopback.Peer> peers = new java.util.concurrent.CopyOnWriteArrayList<>();
        Loopback net = new Loopback();
        boolean[] finished = {false};
        var address = net.listen(peers);
        Thread serving = new Thread(() -> net.until("the end", () -> {
            for (Loopback.Peer p : peers) {
                if (!p.take().isEmpty() && answer.length > 0) {
                    p.write(java.nio.ByteBuffer.wrap(answer.clone()));
                }
            }
            synchronized (finished) {
                return finished[0];
            }
        }));
        serving.start();
        try (Player player = new Player(address, "t")) {
            return player.play(Script.parse("f", script).get(0)).why();
        } finally {
            synchronized (finished) {
                finished[0] = true;
            }
            serving.join();
            net.close();
        }
    }

    @Test
    void transcriptErrorsNameLineAndColumn() {
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
