package beechseam.cli;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.config.Json;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the commands: their output, their error messages, and a server in a process of its own. */
class MainTest {
    /** Runs a command line, checks its exit status and returns what it prints on both output streams. */
    private static String outputOf(int status, String... args) {
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
    void subcommandsPrintResultsOrErrors(@TempDir Path dir) throws Exception {
        assertTrue(outputOf(0, "version").startsWith("beechseam "));
        assertTrue(outputOf(0, "--help").contains("wirehost"));
        assertTrue(outputOf(2).contains("serve"));
        assertTrue(outputOf(2, "dance").contains("dance"));
        assertTrue(
                outputOf(0, "check-config", "--gearman", "deploy/gearman.json").startsWith("good: perth"));
        Path bad = Files.writeString(dir.resolve("bad.json"), "{\"functions\":[{}]}");
        assertTrue(outputOf(2, "check-config", "--gearman", bad.toString()).contains("functions[0].name: is "));
        Path jk = Files.writeString(dir.resolve("w.properties"), "worker.list=a\nworker.a.host=10.0.0.1\n");
        assertTrue(outputOf(0, "import", jk.toString()).contains("\"addr\" : \"10.0.0.1:8009\""));
        assertTrue(outputOf(2, "import", bad.toString()).contains("neither"));
    }

    /** A configuration may list as many servers as discovery does; a server that is listed twice is an error. */
    @Test
    void configurationMayListThousandsOfServers(@TempDir Path dir) throws Exception {
        StringBuilder rows = new StringBuilder();
        for (int i = 1; i <= 4096; i++) {
            rows.append(i == 1 ? "" : ",")
                    .append("{\"id\":\"s-")
                    .append(Integer.toHexString(i))
                    .append("\",\"addr\":\"127.0.0.9:1\",\"state\":\"SERVING\"}");
        }
        String text = "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"known\":{\"version\":4,"
                + "\"full\":true,\"servers\":[" + rows + "]},\"settings\":{\"Classes\":[{\"Name\":\"c\","
                + "\"AimNs\":5}],\"Limits\":{\"MaxAttempts\":3}}}";
        Path good = Files.writeString(dir.resolve("good.json"), text);
        assertTrue(outputOf(0, "check-config", "--config", good.toString()).startsWith("good: node"));
        Path twice = Files.writeString(dir.resolve("twice.json"), text.replace("\"s-1000\"", "\"s-1\""));
        assertTrue(outputOf(2, "check-config", "--config", twice.toString())
                .contains("known.servers: must name a server once, and names s-1 twice"));
    }

    @Test
    void toolsPrintHelpAndArgumentErrors(@TempDir Path dir) throws Exception {
        for (String each : List.of("serve", "import", "check-config", "schema", "conformance", "load-gearman")) {
            assertTrue(outputOf(0, each, "--help").contains("--help"), each);
        }
        assertEquals(
                3,
                outputOf(0, "measure-lists", "5", "50", "--lists", "2").lines().count());
        assertTrue(outputOf(2, "measure-lists", "0").contains("SERVERS: must be from 1 to "));
        assertTrue(outputOf(2, "conformance", "192.0.2.1:4730").contains("is not a loopback address"));
        assertTrue(outputOf(2, "conformance", "127.0.0.1").contains("HOST:PORT: must be"));
        assertTrue(outputOf(2, "conformance", "127.0.0.1:1", "--only", "no such case")
                .contains("no case matches 'no such case'"));
        assertTrue(
                outputOf(0, "conformance", "x", "--list", "--only", "^basics").contains("basics/an empty echo"));
        Path invalidScript = Files.writeString(dir.resolve("odd.txt"), "case \"a\" {\n a: sing }");
        assertTrue(outputOf(2, "conformance", "127.0.0.1:1", "--script", invalidScript.toString())
                .contains("odd.txt:2:5: "));
        assertTrue(outputOf(2, "load-gearman", "fair", "--seconds", "0").contains("--seconds"));
        Path unknownKey = Files.writeString(dir.resolve("s.json"), "{\"functions\":\"*\",\"max_job\":1}");
        assertTrue(outputOf(2, "check-config", "--gearman", unknownKey.toString())
                .contains("s.json: max_job: is not known here; did you mean max_jobs?"));
        assertTrue(outputOf(0, "schema").contains("\"max_jobs\""));
    }

    /** Without any file and with a JSON log, the server prints its first steps, and each log line is a record. */
    @Test
    void serveNeedsNoFile(@TempDir Path dir) throws Exception {
        Path log = dir.resolve("log");
        Path out = dir.resolve("out");
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "beechseam.cli.Main",
                "serve",
                "--log-format",
                "json");
        builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
        Process server =
                builder.redirectError(log.toFile()).redirectOutput(out.toFile()).start();
        try {
            for (int i = 0; i < 400 && server.isAlive() && Files.size(out) == 0; i++) {
                Thread.sleep(50);
            }
            String output = Files.readString(out);
            if (server.isAlive()) { // otherwise another process has the well-known port, and the error says so
                assertTrue(output.startsWith("A Gearman job server listens on 127.0.0.1:4730"), output);
                assertTrue(output.contains("gearman -h 127.0.0.1 -p 4730 -f shout"), output);
                server.toHandle().destroy();
                assertTrue(server.waitFor(60, TimeUnit.SECONDS));
                List<String> records = Files.readAllLines(log);
                assertFalse(records.isEmpty());
                for (String each : records) {
                    byte[] bytes = each.getBytes(StandardCharsets.UTF_8);
                    Map<?, ?> record = (Map<?, ?>) Json.parse(bytes, 0, bytes.length);
                    assertEquals("INFO", record.get("level"), each);
                    assertTrue(record.get("loggerName").toString().startsWith("beechseam."), each);
                }
                assertTrue(records.get(0).contains("job server listening name="), records.get(0));
            } else {
                assertTrue(Files.readString(log).contains("beechseam: "), Files.readString(log));
            }
        } finally {
            server.destroyForcibly();
        }
    }

    /**
     * The build makes the class data archive from this list. A class that is listed under an old name is missing
     * from the archive, so that loading it slows down the start.
     */
    @Test
    void classesInArchiveListExist() throws Exception {
        int ownClasses = 0;
        for (String line : Files.readAllLines(Path.of("deploy", "classes.lst"))) {
            if (line.startsWith("beechseam/")) {
                Class.forName(line.replace('/', '.'), false, MainTest.class.getClassLoader());
                ownClasses++;
            }
        }
        assertTrue(ownClasses > 50, "number of the program's own classes: " + ownClasses);
        String deploy = Files.readString(Path.of("deploy", "balancer.toml"));
        assertEquals(
                2,
                deploy.split("SharedArchiveFile=target/beechseam.jsa", -1).length - 1,
                "the build writes the archive that the run reads");
    }

    /** Runs the program in a process of its own: it serves until SIGTERM, then prints its counters. */
    @Test
    void serveRunsUntilSigterm(@TempDir Path dir) throws Exception {
        int port;
        try (Loopback net = new Loopback()) {
            port = net.listen(new java.util.ArrayList<>()).getPort();
        }
        Path file = Files.writeString(
                dir.resolve("g.json"),
                "{\"listen\":\"127.0.0.1:" + port + "\",\"functions\":[{\"name\":\"f\",\"effect\":\"safe\"}]}");
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "beechseam.cli.Main",
                "serve",
                "--gearman",
                file.toString());
        builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
        Process server = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
        try (Loopback net = new Loopback()) {
            Loopback.Peer[] admin = {null};
            net.until("an answer", () -> {
                if (admin[0] == null || admin[0].disconnected) { // the server does not listen yet
                    admin[0] = net.connect(new InetSocketAddress("127.0.0.1", port))
                            .send("version\n");
                }
                return admin[0].receivedText().startsWith("OK ");
            });
            // SIGHUP requests a reload; without a handler the JVM would exit here.
            String pid = Long.toString(server.pid());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            admin[0].take();
            admin[0].send("version\n");
            net.until("an answer after SIGHUP", () -> admin[0].receivedText().startsWith("OK "));
            Loopback.Peer later =
                    net.connect(new InetSocketAddress("127.0.0.1", port)).send("version\n");
            net.until("a later answer", () -> later.receivedText().startsWith("OK "));
            server.toHandle().destroy(); // sends SIGTERM and keeps the output open
            String out = new String(server.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(server.waitFor(60, TimeUnit.SECONDS));
            assertEquals(0, server.exitValue(), "a requested shutdown is not a failure");
            assertTrue(out.startsWith("{\"accepted\":0,\"alive\":0,"), out);
        } finally {
            server.destroyForcibly();
        }
    }
}
