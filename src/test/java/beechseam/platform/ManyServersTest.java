package beechseam.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beechseam.Loopback.Peer;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.api.io.TempDir;

/** What the whole program needs before sixteen times the servers, for the same jobs: bounds of the terms. */
@EnabledOnOs(OS.LINUX)
class ManyServersTest extends ProgramHarness {
    private static final int USUAL = 200;
    private static final int MANY = 16 * USUAL;
    private static final int JOBS = 600;
    private static final long GAP_MS = 1000 / 60;
    private static final long RUN_MS = 100;
    /** As the platform starts it. */
    private static final String OPTIONS =
            "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xms48m -Xmx80m -Xss512k";

    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\S+)\r\n");
    private static final Pattern PEAK = Pattern.compile("VmHWM:\\s+(\\d+) kB");

    /** What one run has needed. */
    private record Usage(long connections, long descriptors, double cpuSeconds, double memoryMb, int served) {}

    /** A stand-in for a server. */
    private record Server(String id, List<Peer> peers) {}

    /** A job that runs until then. */
    private record Run(String job, String server, long endsAt) {}

    @TempDir
    private Path dir;

    private Usage run(int count) throws Exception {
        List<Server> servers = new ArrayList<>();
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < count; i++) {
            Server server = new Server(String.format("s-%08x", 0x1000 + i), new ArrayList<>());
            InetSocketAddress at = net.standIn(server.peers);
            servers.add(server);
            rows.append(i == 0 ? "" : ",")
                    .append(row("SERVING")
                            .replace("s-0badcafe", server.id)
                            .replace(":" + executorAt.getPort(), ":" + at.getPort()));
        }
        discovery.clear();
        node = new InetSocketAddress("127.0.0.1", freePort());
        configure(dir, discoveryAt, SETTINGS);
        Path config = dir.resolve("config.json");
        String text = Files.readString(config);
        Files.writeString(config, text.replace("\"sockets\":" + SOCKETS, "\"sockets\":1024"));
        Process program = serve(dir, "true", Map.of("JDK_JAVA_OPTIONS", OPTIONS));
        try {
            listed(2, rows.toString());
            ready();
            return serve(program, servers);
        } finally {
            program.destroyForcibly().waitFor();
        }
    }

    private Usage serve(Process program, List<Server> servers) throws IOException {
        ArrayDeque<Run> runs = new ArrayDeque<>();
        ArrayDeque<Peer> idle = new ArrayDeque<>();
        List<Peer> asking = new ArrayList<>();
        Peer caller = client();
        long descriptors = 0;
        int served = 0;
        File open = new File("/proc/" + program.pid() + "/fd");
        long start = System.nanoTime();
        for (int sent = 0; sent < JOBS || !asking.isEmpty(); ) {
            net.settle(1);
            if (sent < JOBS && System.nanoTime() - start > sent * GAP_MS * 1_000_000L) {
                Peer client = idle.isEmpty() ? client() : idle.poll();
                asking.add(client.say("POST /safe/x HTTP/1.1\r\nX-Correlation-Id: j" + sent++
                        + "\r\nX-Service-Class: safe\r\nX-Time-Left: 30000m\r\nContent-Length: 4\r\n\r\nbody"));
            }
            for (Peer each : asking.stream()
                    .filter(each -> each.heard().contains("\r\n\r\n"))
                    .toList()) {
                served += each.take().startsWith("HTTP/1.1 200") ? 1 : 0;
                asking.remove(each);
                idle.add(each);
            }
            for (Server server : servers) {
                take(server, caller, runs);
            }
            while (!runs.isEmpty() && runs.peek().endsAt < System.nanoTime()) {
                tell(caller, runs.poll(), "done\",\"result\":\"ok\",\"load\":{\"x0\":4,\"inflight\":0}");
            }
            String[] files = open.list();
            descriptors = Math.max(descriptors, files == null ? 0 : files.length);
        }
        long connections =
                servers.stream().mapToLong(server -> server.peers.size()).sum();
        Matcher peak = PEAK.matcher(Files.readString(Path.of("/proc/" + program.pid() + "/status")));
        double memoryMb = peak.find() ? Long.parseLong(peak.group(1)) / 1024.0 : 0;
        double cpu = program.info().totalCpuDuration().orElse(Duration.ZERO).toMillis() / 1e3;
        Usage usage = new Usage(connections, descriptors, cpu, memoryMb, served);
        System.out.println(servers.size() + " servers: " + usage);
        return usage;
    }

    private static void tell(Peer caller, Run run, String state) {
        String event = "{\"id\":\"" + run.job + "\",\"from\":\"" + run.server + "\",\"state\":\"" + state + "}";
        caller.say("POST /v1/job-events HTTP/1.1\r\nContent-Length: " + event.length() + "\r\n\r\n" + event);
    }

    private void take(Server server, Peer caller, ArrayDeque<Run> runs) {
        for (Peer peer : server.peers) {
            if (peer.heard().endsWith("\r\n\r\nbody")) {
                Matcher id = ID.matcher(peer.take());
                if (id.find()) {
                    peer.say(answer("202 Accepted", ""));
                    Run run = new Run(id.group(1), server.id, System.nanoTime() + RUN_MS * 1_000_000L);
                    tell(caller, run, "started\"");
                    runs.add(run);
                }
            }
        }
    }

    @Test
    void sixteenTimesTheServersNeedLittleMore() throws Exception {
        Usage usual = run(USUAL);
        Usage many = run(MANY);
        String both = usual + " and " + many;
        double thousands = MANY / 1000.0;
        assertTrue(many.connections <= 2.5 * usual.connections + 40, both);
        assertTrue(many.descriptors <= 2 * usual.descriptors + 40, both);
        assertTrue(many.memoryMb <= 1.5 * usual.memoryMb + 8 + 4 * thousands, both);
        assertTrue(many.cpuSeconds <= 1.4 * usual.cpuSeconds + 0.02 + 0.12 * thousands, both);
        assertTrue(many.served >= 0.85 * usual.served && usual.served > 0.95 * JOBS, both);
    }
}
