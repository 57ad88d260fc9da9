package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The whole program under what its starter has set: a limit of descriptors, a signal that is ignored. */
class StarterTest extends ProgramHarness {
    /** As under nohup: SIGHUP reaches nobody, and discovery has moved all the same. */
    @Test
    void discoveryAddressChangeIsFoundWhereSighupIsIgnored(@TempDir Path dir) throws Exception {
        configure(dir, discoveryAt, SETTINGS);
        Process serving = startProgram(dir, "trap '' HUP", Map.of());
        try {
            net.until(
                    "a call",
                    () -> !discovery.isEmpty() && discovery.get(0).heard().endsWith("\r\n\r\n"));
            discovery.get(0).say(answer("200 OK", list(41, row("SERVING"))));
            net.until("the watch", () -> discovery.get(0).heard().contains("after=41&"));
            List<Peer> moved = new ArrayList<>();
            configure(dir, net.standIn(moved), SETTINGS);
            String pid = Long.toString(serving.pid());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            net.settle(300);
            assertTrue(moved.isEmpty(), "nobody heard the signal");
            discovery.get(0).close();
            net.until(
                    "the whole list asked for there",
                    () -> moved.size() > 0 && moved.get(0).heard().startsWith("GET /catalog/members HTTP/1.1"));
            assertTrue(serving.isAlive());
            String said = Files.readString(dir.resolve("log"));
            assertTrue(said.contains("signal ignored name=SIGHUP reason=ignored before the start"), said);
        } finally {
            serving.destroyForcibly();
        }
    }

    /** The file is on a slow disk, or long: here a pipe that nobody has written to yet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void slowConfigurationFileDoesNotBlockRequests(boolean signal, @TempDir Path dir) throws Exception {
        configure(dir, discoveryAt, SETTINGS);
        Process serving = startProgram(dir, "true", Map.of());
        try {
            answerListRequest(2, row("SERVING"));
            awaitReady();
            Path config = dir.resolve("config.json");
            String text = Files.readString(config);
            Files.delete(config);
            assertEquals(
                    0, new ProcessBuilder("mkfifo", config.toString()).start().waitFor());
            if (signal) {
                String pid = Long.toString(serving.pid());
                assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            } else {
                discovery.forEach(Peer::close); // its address resets: the file is looked at
            }
            net.settle(300);
            Peer health = client().say("GET /_health HTTP/1.1\r\n\r\n");
            net.until("an answer meanwhile", () -> health.heard().endsWith("ready\n"));
            Files.writeString(config, text, StandardOpenOption.WRITE);
            if (signal) {
                net.until("the reload", () -> said(dir).contains("reload applied"));
            }
            assertTrue(serving.isAlive());
        } finally {
            serving.destroyForcibly();
        }
    }

    private static String said(Path dir) {
        try {
            return Files.readString(dir.resolve("log"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Room for discovery's calls and for attempts is not lent to clients, however many there are. */
    @Test
    void idleClientsDoNotExhaustDescriptorsWhileDiscoveryIsDown(@TempDir Path dir) throws Exception {
        configure(dir, discoveryAt, SETTINGS);
        Process serving = startProgram(dir, "ulimit -n " + SOCKETS, Map.of());
        try {
            awaitReady();
            File open = new File("/proc/" + serving.pid() + "/fd");
            int[] most = {0};
            List<Peer> crowd = new ArrayList<>();
            for (int i = 0; i < 600; i++) {
                Peer each = client();
                crowd.add(i % 3 == 0 ? each : each.say("GET /_health HTTP/1.1\r\n\r\n")); // or says nothing
                if (i % 20 == 0) {
                    net.settle(2);
                }
                String[] files = open.list();
                most[0] = Math.max(most[0], files == null ? 0 : files.length);
            }
            int calls = discovery.size();
            net.until("further calls to discovery", () -> discovery.size() > calls + 10);
            Peer job = sendJob("c1", "safe", "30000m");
            attempt(0, "c1").say(answer("202 Accepted", ""));
            done("c1", "through");
            assertTrue(awaitResponse(job, "through").startsWith("HTTP/1.1 200"));
            Peer back = discovery.get(discovery.size() - 1); // discovery is back, and answers the newest call
            net.until("its call", () -> back.heard().endsWith("\r\n\r\n"));
            back.take();
            back.say(answer("200 OK", list(9, row("SERVING"))));
            net.until("the watch", () -> back.heard().contains("after=9&"));
            System.out.println("descriptors at most " + most[0] + " of " + SOCKETS);
            assertTrue(most[0] <= SOCKETS, "" + most[0]);
            String said = Files.readString(dir.resolve("log"));
            assertFalse(said.contains("Too many open files"), said);
            assertTrue(crowd.stream().anyMatch(each -> each.gone), "the crowd was larger than the room");
        } finally {
            serving.destroyForcibly();
        }
    }
}
