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

/** Tests the complete program in the environment of its parent process: a limit of descriptors, an ignored signal. */
class StarterTest extends ProgramHarness {
    /** Under nohup SIGHUP is ignored, so the program must find discovery's new address when the old one fails. */
    @Test
    void discoveryAddressChangeIsFoundWhereSighupIsIgnored(@TempDir Path dir) throws Exception {
        configure(dir, discoveryAt, SETTINGS);
        Process serving = startProgram(dir, "trap '' HUP", Map.of());
        try {
            net.until(
                    "a call to discovery",
                    () -> !discovery.isEmpty()
                            && discovery.get(0).receivedText().endsWith("\r\n\r\n"));
            discovery.get(0).send(answer("200 OK", list(41, row("SERVING"))));
            net.until("the watch", () -> discovery.get(0).receivedText().contains("after=41&"));
            List<Peer> moved = new ArrayList<>();
            configure(dir, net.listen(moved), SETTINGS);
            String pid = Long.toString(serving.pid());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            net.settle(300);
            assertTrue(moved.isEmpty(), "the ignored signal caused a reload");
            discovery.get(0).close();
            net.until(
                    "a request for the full list at the new address",
                    () -> moved.size() > 0 && moved.get(0).receivedText().startsWith("GET /catalog/members HTTP/1.1"));
            assertTrue(serving.isAlive());
            String log = Files.readString(dir.resolve("log"));
            assertTrue(log.contains("signal ignored name=SIGHUP reason=ignored before the start"), log);
        } finally {
            serving.destroyForcibly();
        }
    }

    /** A configuration file may be long or on a slow disk; here it is a pipe without a writer. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void slowConfigurationFileDoesNotBlockRequests(boolean bySignal, @TempDir Path dir) throws Exception {
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
            if (bySignal) {
                String pid = Long.toString(serving.pid());
                assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            } else {
                discovery.forEach(Peer::close); // connection failures make the program read the file
            }
            net.settle(300);
            Peer health = client().send("GET /_health HTTP/1.1\r\n\r\n");
            net.until("a response during the read", () -> health.receivedText().endsWith("ready\n"));
            Files.writeString(config, text, StandardOpenOption.WRITE);
            if (bySignal) {
                net.until("the reload", () -> readLog(dir).contains("reload applied"));
            }
            assertTrue(serving.isAlive());
        } finally {
            serving.destroyForcibly();
        }
    }

    private static String readLog(Path dir) {
        try {
            return Files.readString(dir.resolve("log"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Descriptors reserved for calls to discovery and for attempts are not given to clients, however many connect. */
    @Test
    void idleClientsDoNotExhaustDescriptorsWhileDiscoveryIsDown(@TempDir Path dir) throws Exception {
        configure(dir, discoveryAt, SETTINGS);
        Process serving = startProgram(dir, "ulimit -n " + SOCKETS, Map.of());
        try {
            awaitReady();
            File open = new File("/proc/" + serving.pid() + "/fd");
            int[] maxDescriptors = {0};
            List<Peer> clients = new ArrayList<>();
            for (int i = 0; i < 600; i++) {
                Peer each = client();
                clients.add(i % 3 == 0 ? each : each.send("GET /_health HTTP/1.1\r\n\r\n")); // a third stays silent
                if (i % 20 == 0) {
                    net.settle(2);
                }
                String[] files = open.list();
                maxDescriptors[0] = Math.max(maxDescriptors[0], files == null ? 0 : files.length);
            }
            int calls = discovery.size();
            net.until("further calls to discovery", () -> discovery.size() > calls + 10);
            Peer job = sendJob("c1", "safe", "30000m");
            attempt(0, "c1").send(answer("202 Accepted", ""));
            done("c1", "through");
            assertTrue(awaitResponse(job, "through").startsWith("HTTP/1.1 200"));
            Peer latest = discovery.get(discovery.size() - 1); // discovery recovers and answers the latest call
            net.until("the latest call", () -> latest.receivedText().endsWith("\r\n\r\n"));
            latest.take();
            latest.send(answer("200 OK", list(9, row("SERVING"))));
            net.until("the watch", () -> latest.receivedText().contains("after=9&"));
            System.out.println("descriptors at most " + maxDescriptors[0] + " of " + SOCKETS);
            assertTrue(maxDescriptors[0] <= SOCKETS, "" + maxDescriptors[0]);
            String log = Files.readString(dir.resolve("log"));
            assertFalse(log.contains("Too many open files"), log);
            assertTrue(clients.stream().anyMatch(each -> each.disconnected), "too few clients to exceed the limit");
        } finally {
            serving.destroyForcibly();
        }
    }
}
