package beechseam.cli;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class MainTest {
    private static String said(int status, String... args) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream both = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        System.setOut(both);
        System.setErr(both);
        try {
            assertEquals(status, Main.run(args), bytes.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    @Test
    void subCommandsSayWhatTheyDoOrWhatIsWrong(@TempDir Path dir) throws Exception {
        assertTrue(said(0, "version").startsWith("beechseam "));
        assertTrue(said(0, "--help").contains("wirehost"));
        assertTrue(said(2).contains("serve"));
        assertTrue(said(2, "dance").contains("dance"));
        assertTrue(said(0, "check-config", "--gearman", "deploy/gearman.json").startsWith("good: perth"));
        Path bad = Files.writeString(dir.resolve("bad.json"), "{\"functions\":[{}]}");
        assertTrue(said(2, "check-config", "--gearman", bad.toString()).contains("functions[0].name: is "));
        Path jk = Files.writeString(dir.resolve("w.properties"), "worker.list=a\nworker.a.host=10.0.0.1\n");
        assertTrue(said(0, "import", jk.toString()).contains("\"addr\" : \"10.0.0.1:8009\""));
        assertTrue(said(2, "import", bad.toString()).contains("neither"));
    }

    /** The build makes the archive of classes by this list; what it names in vain is loaded slowly again. */
    @Test
    void theListOfClassesToArchiveNamesOurClassesAsTheyAre() throws Exception {
        int ours = 0;
        for (String line : Files.readAllLines(Path.of("deploy", "classes.lst"))) {
            if (line.startsWith("beechseam/")) {
                Class.forName(line.replace('/', '.'), false, MainTest.class.getClassLoader());
                ours++;
            }
        }
        assertTrue(ours > 50, "the node's own classes: " + ours);
        String deploy = Files.readString(Path.of("deploy", "balancer.toml"));
        assertEquals(2, deploy.split("SharedArchiveFile=target/beechseam.jsa",
            -1).length - 1, "the build writes what the run reads");
    }

    /** The whole program as it is started: it serves until SIGTERM, then prints its counters. */
    @Test
    void serveRunsUntilItIsToldToStop(@TempDir Path dir) throws Exception {
        int port;
        try (Loopback net = new Loopback()) {
            port = net.standIn(new java.util.ArrayList<>()).getPort();
        }
        Path file = Files.writeString(dir.resolve("g.json"), "{\"listen\":\"127.0.0.1:" + port
            + "\",\"functions\":[{\"name\":\"f\",\"effect\":\"safe\"}]}");
        ProcessBuilder builder = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
            System.getProperty("java.class.path"), "beechseam.cli.Main", "serve", "--gearman",
            file.toString());
        builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
        Process serving = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
        try (Loopback net = new Loopback()) {
            Loopback.Peer[] admin = {null};
            net.until("an answer", () -> {
                if (admin[0] == null || admin[0].gone) { // not up yet
                    admin[0] = net.dial(new InetSocketAddress("127.0.0.1", port)).say("version\n");
                }
                return admin[0].heard().startsWith("OK ");
            });
            // SIGHUP asks for a reload; without its handler the runtime would end here.
            String pid = Long.toString(serving.pid());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            admin[0].take();
            admin[0].say("version\n");
            net.until("an answer after SIGHUP", () -> admin[0].heard().startsWith("OK "));
            Loopback.Peer later = net.dial(new InetSocketAddress("127.0.0.1", port)).say("version\n");
            net.until("a later answer", () -> later.heard().startsWith("OK "));
            serving.toHandle().destroy(); // SIGTERM, and the output stays open
            String out = new String(serving.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(serving.waitFor(60, TimeUnit.SECONDS));
            assertEquals(0, serving.exitValue(), "an end that was asked for is no fault");
            assertTrue(out.startsWith("{\"accepted\":0,\"alive\":0,"), out);
        } finally {
            serving.destroyForcibly();
        }
    }
}
