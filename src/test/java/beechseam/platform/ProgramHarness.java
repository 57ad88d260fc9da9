package beechseam.platform;

import beechseam.Loopback;
import beechseam.Loopback.Peer;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Map;

/** Test fixture that runs the complete program in a process of its own, between the harness's stand-ins. */
abstract class ProgramHarness extends NodeHarness {
    static final int SOCKETS = 256;

    /** The address at which the program accepts clients. */
    InetSocketAddress programAddress = new InetSocketAddress("127.0.0.1", freePort());

    @Override
    InetSocketAddress address() {
        return programAddress;
    }

    /** Returns a port that no process listens on. */
    static int freePort() {
        try (Loopback net = new Loopback()) {
            return net.listen(new ArrayList<>()).getPort();
        }
    }

    /** Starts the program from a shell that first runs {@code before}; its output goes to the file "log". */
    Process startProgram(Path dir, String before, Map<String, String> environment) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                "bash",
                "-c",
                before + "; exec \"$0\" -cp \"$1\" beechseam.cli.Main serve --config \"$2\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                System.getProperty("java.class.path"),
                dir.resolve("config.json").toString());
        builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
        builder.environment().putAll(environment);
        return builder.redirectErrorStream(true)
                .redirectOutput(dir.resolve("log").toFile())
                .start();
    }

    /** Writes the program's configuration file into the directory. */
    void configure(Path dir, InetSocketAddress discoveryAt, String settings) throws Exception {
        Files.writeString(
                dir.resolve("config.json"),
                "{\"listen\":\"127.0.0.1:" + programAddress.getPort()
                        + "\",\"discovery\":\"127.0.0.1:" + discoveryAt.getPort()
                        + "\",\"limits\":{\"sockets\":" + SOCKETS + "},\"known\":"
                        + list(1, row("SERVING")) + ",\"settings\":" + settings + "}");
    }

    /** Answers the program's first call to discovery with these rows and waits for its watch. */
    Peer answerListRequest(int version, String rows) {
        net.until(
                "a call to discovery",
                () -> !discovery.isEmpty() && discovery.get(0).receivedText().endsWith("\r\n\r\n"));
        Peer agent = discovery.get(0);
        agent.take();
        agent.send(answer("200 OK", list(version, rows)));
        net.until(
                "the watch",
                () -> agent.receivedText().contains("after=" + version + "&")
                        && agent.receivedText().endsWith("\r\n\r\n"));
        return agent;
    }

    /** Waits until the program's health check succeeds. */
    void awaitReady() {
        Peer[] health = {null};
        net.until("the program's readiness", () -> {
            if (health[0] == null
                    || health[0].disconnected
                    || health[0].receivedText().endsWith("not ready\n")) {
                net.settle(50);
                health[0] = client().send("GET /_health HTTP/1.1\r\n\r\n");
            }
            return health[0].receivedText().startsWith("HTTP/1.1 200");
        });
    }
}
