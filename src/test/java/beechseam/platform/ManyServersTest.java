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

/** Tests that the program's resource use stays within its bounds for sixteen times the servers and the same jobs. */
@EnabledOnOs(OS.LINUX)
class ManyServersTest extends ProgramHarness {
    private static final int BASELINE_SERVERS = 200;
    private static final int MANY_SERVERS = 16 * BASELINE_SERVERS;
    private static final int JOBS = 600;
    private static final long INTERVAL_MS = 1000 / 60;
    private static final long RUN_MS = 100;
    /** The JVM options that the platform sets. */
    private static final String JVM_OPTIONS =
            "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -Xms48m -Xmx80m -Xss512k";

    private static final Pattern CORRELATION_ID = Pattern.compile("X-Correlation-Id: (\\S+)\r\n");
    private static final Pattern PEAK_MEMORY = Pattern.compile("VmHWM:\\s+(\\d+) kB");

    /** Resources used by one run. */
    private record Usage(long connections, long descriptors, double cpuSeconds, double memoryMb, int served) {}

    /** A stand-in for a server. */
    private record Server(String id, List<Peer> peers) {}

    /** A running job and the time of its end, in nanoseconds of {@link System#nanoTime}. */
    private record Run(String job, String server, long endsAt) {}

    @TempDir
    private Path dir;

    private Usage run(int count) throws Exception {
        List<Server> servers = new ArrayList<>();
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < count; i++) {
            Server server = new Server(String.format("s-%08x", 0x1000 + i), new ArrayList<>());
            InetSocketAddress at = net.listen(server.peers);
            servers.add(server);
            rows.append(i == 0 ? "" : ",")
                    .append(row("SERVING")
                            .replace("s-0badcafe", server.id)
                            .replace(":" + executorAt.getPort(), ":" + at.getPort()));
        }
        discovery.clear();
        programAddress = new InetSocketAddress("127.0.0.1", freePort());
        configure(dir, discoveryAt, SETTINGS);
        Path config = dir.resolve("config.json");
        String text = Files.readString(config);
        Files.writeString(config, text.replace("\"sockets\":" + SOCKETS, "\"sockets\":1024"));
        Process program = startProgram(dir, "true", Map.of("JDK_JAVA_OPTIONS", JVM_OPTIONS));
        try {
            answerListRequest(2, rows.toString());
            awaitReady();
            return serve(program, servers);
        } finally {
            program.destroyForcibly().waitFor();
        }
    }

    private Usage serve(Process program, List<Server> servers) throws IOException {
        ArrayDeque<Run> runs = new ArrayDeque<>();
        ArrayDeque<Peer> idle = new ArrayDeque<>();
        List<Peer> pendingClients = new ArrayList<>();
        Peer callbackClient = client();
        long descriptors = 0;
        int served = 0;
        File open = new File("/proc/" + program.pid() + "/fd");
        long start = System.nanoTime();
        for (int sent = 0; sent < JOBS || !pendingClients.isEmpty(); ) {
            net.settle(1);
            if (sent < JOBS && System.nanoTime() - start > sent * INTERVAL_MS * 1_000_000L) {
                Peer client = idle.isEmpty() ? client() : idle.poll();
                pendingClients.add(client.send("POST /safe/x HTTP/1.1\r\nX-Correlation-Id: j" + sent++
                        + "\r\nX-Service-Class: safe\r\nX-Time-Left: 30000m\r\nContent-Length: 4\r\n\r\nbody"));
            }
            served += takeResponses(pendingClients, idle);
            for (Server server : servers) {
                acceptJobs(server, callbackClient, runs);
            }
            while (!runs.isEmpty() && runs.peek().endsAt < System.nanoTime()) {
                sendEvent(callbackClient, runs.poll(), "done\",\"result\":\"ok\",\"load\":{\"x0\":4,\"inflight\":0}");
            }
            String[] files = open.list();
            descriptors = Math.max(descriptors, files == null ? 0 : files.length);
        }
        return usage(program, servers, descriptors, served);
    }

    /** Moves clients with a response from the pending to the idle ones and returns the number of served jobs. */
    private static int takeResponses(List<Peer> pendingClients, ArrayDeque<Peer> idle) {
        int served = 0;
        for (Peer each : pendingClients.stream()
                .filter(each -> each.receivedText().contains("\r\n\r\n"))
                .toList()) {
            served += each.take().startsWith("HTTP/1.1 200") ? 1 : 0;
            pendingClients.remove(each);
            idle.add(each);
        }
        return served;
    }

    private static Usage usage(Process program, List<Server> servers, long descriptors, int served) throws IOException {
        long connections =
                servers.stream().mapToLong(server -> server.peers.size()).sum();
        Matcher peak = PEAK_MEMORY.matcher(Files.readString(Path.of("/proc/" + program.pid() + "/status")));
        double memoryMb = peak.find() ? Long.parseLong(peak.group(1)) / 1024.0 : 0;
        double cpu = program.info().totalCpuDuration().orElse(Duration.ZERO).toMillis() / 1e3;
        Usage usage = new Usage(connections, descriptors, cpu, memoryMb, served);
        System.out.println(servers.size() + " servers: " + usage);
        return usage;
    }

    private static void sendEvent(Peer callbackClient, Run run, String state) {
        String event = "{\"id\":\"" + run.job + "\",\"from\":\"" + run.server + "\",\"state\":\"" + state + "}";
        callbackClient.send("POST /v1/job-events HTTP/1.1\r\nContent-Length: " + event.length() + "\r\n\r\n" + event);
    }

    private void acceptJobs(Server server, Peer callbackClient, ArrayDeque<Run> runs) {
        for (Peer peer : server.peers) {
            if (peer.receivedText().endsWith("\r\n\r\nbody")) {
                Matcher id = CORRELATION_ID.matcher(peer.take());
                if (id.find()) {
                    peer.send(answer("202 Accepted", ""));
                    Run run = new Run(id.group(1), server.id, System.nanoTime() + RUN_MS * 1_000_000L);
                    sendEvent(callbackClient, run, "started\"");
                    runs.add(run);
                }
            }
        }
    }

    @Test
    void resourceUseGrowsLittleWithSixteenTimesTheServers() throws Exception {
        Usage baseline = run(BASELINE_SERVERS);
        Usage many = run(MANY_SERVERS);
        String both = baseline + " and " + many;
        double thousands = MANY_SERVERS / 1000.0;
        assertTrue(many.connections <= 2.5 * baseline.connections + 40, both);
        assertTrue(many.descriptors <= 2 * baseline.descriptors + 40, both);
        assertTrue(many.memoryMb <= 1.5 * baseline.memoryMb + 8 + 4 * thousands, both);
        assertTrue(many.cpuSeconds <= 1.4 * baseline.cpuSeconds + 0.02 + 0.12 * thousands, both);
        assertTrue(many.served >= 0.85 * baseline.served && baseline.served > 0.95 * JOBS, both);
    }
}
