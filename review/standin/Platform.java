package standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery and clients of the platform, and the configuration of a node. */
final class Platform {
    private final Kit kit;
    private final ServerSocket discovery;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private long version = 1;

    Platform(Kit kit) throws IOException {
        this.kit = kit;
        discovery = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        Kit.thread(() -> {
            while (true) {
                Socket socket = discovery.accept();
                Kit.thread(() -> serve(socket));
            }
        });
    }

    String discoveryAddress() {
        return "127.0.0.1:" + discovery.getLocalPort();
    }

    /** Sets an executor's entry; a node is told at once. */
    synchronized void list(String id, int port, String zone, int cell, String state) {
        version++;
        entries.put(
                id,
                "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                        + "\",\"kind\":\"small-fast\",\"cell\":" + cell + ",\"state\":\"" + state
                        + "\",\"weight\":1.0,\"started_ms\":0}");
        changedAt.put(id, version);
        kit.log("discovery", "version " + version + ": " + id + " " + state);
        notifyAll();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Kit.Message call = Kit.read(in); call != null; call = Kit.read(in)) {
                Kit.write(
                        socket.getOutputStream(),
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
                        Kit.bytes(answer(call.first().split(" ")[1])));
            }
        }
    }

    private synchronized String answer(String target) throws InterruptedException {
        long after = parameter(target, "after");
        long until = kit.now() + Math.max(0, parameter(target, "wait_ms"));
        while (after >= version && kit.now() < until) {
            wait(Math.max(1, until - kit.now()));
        }
        List<String> rows = new ArrayList<>();
        for (Map.Entry<String, String> each : entries.entrySet()) {
            boolean deleted = each.getValue().contains("\"DELETED\"");
            if (after < 0 ? !deleted : changedAt.get(each.getKey()) > after) {
                rows.add(each.getValue());
            }
        }
        return "{\"version\":" + version + ",\"full\":" + (after < 0) + ",\"servers\":[" + String.join(",", rows)
                + "]}";
    }

    private static long parameter(String target, String name) {
        for (String each : target.substring(target.indexOf('?') + 1).split("&")) {
            if (each.startsWith(name + "=")) {
                return Long.parseLong(each.substring(name.length() + 1));
            }
        }
        return -1;
    }

    /** Writes a node's configuration and returns the environment to start it with. */
    Map<String, String> configure(String name, int port, int sockets, String more, String settings) throws IOException {
        Path file = kit.temp.resolve(name + ".json");
        Files.writeString(
                file,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                        + discoveryAddress() + "\",\"seed\":\"8c1f30d27a5be964\"," + more
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                        + "},\"known\":{\"version\":0,\"full\":true,\"servers\":[]},\"settings\":" + settings + "}");
        return Map.of("PROXY_CONFIG", file.toString());
    }

    /** A class of jobs; the effect is read_like, idempotency_key or non_idempotent. */
    static String jobClass(String name, String effect, String group, long aimMs, long deadlineMs, long windowMs) {
        return "{\"Name\":\"" + name + "\",\"AimNs\":" + aimMs + "000000,\"DeadlineNs\":" + deadlineMs
                + "000000,\"Effect\":\"" + effect + "\",\"Group\":\"" + group + "\",\"WindowNs\":" + windowMs
                + "000000,\"Worth\":3,\"LateWorth\":0,\"Streaming\":false}";
    }

    /** The settings of one node of a small deployment with the figures of the Perth site. */
    static String settings(String... classes) {
        return "{\"Classes\":[" + String.join(",", classes) + "],\"Clients\":{\"MarksRetry\":true},"
                + "\"Discovery\":\"pushed\",\"GroupSize\":1,\"Me\":0,\"Kinds\":[\"small-fast\"],"
                + "\"Locality\":\"malaga\",\"Zones\":[\"malaga\"],\"KindOfService\":\"jobs\","
                + "\"CountedBy\":\"work\",\"WeightSource\":\"nominal\","
                + "\"Limits\":{\"MaxAttempts\":6,\"Cancel\":true,\"RetryAfter\":true,\"MaxRetryAfterNs\":2000000000,"
                + "\"SecondCopies\":true,\"Probes\":true,\"IdleCloseNs\":60000000000,\"Peers\":false,"
                + "\"ConnectTimeoutNs\":250000000,\"MaxOpen\":20000,\"StreamsPerConn\":1},"
                + "\"LoadInfo\":{\"How\":\"piggyback\",\"Columns\":[\"utilization\",\"backlog\",\"outstanding\","
                + "\"x0\"]},\"Rules\":{\"AnswerSlackNs\":16000000,\"AskWithinNs\":10000000000,"
                + "\"DrainGraceNs\":300000000,\"StartCapacity\":0.34,\"ColdNs\":9000000000,\"OverloadFactor\":3,"
                + "\"OverloadForNs\":2000000000},"
                + "\"Specifics\":{\"TellsStart\":true,\"ProgressNs\":0,\"QueueOrder\":\"fifo\","
                + "\"ClassStretch\":[2.0,1.75,2.5,2.5],\"ReportX0\":\"free slots\",\"ReportX1\":\"\"}}";
    }

    /** A request with a job; one of a keyed class carries an idempotency key. */
    static byte[] job(String id, String jobClass, boolean keyed, long timeLeftMs, byte[] body) {
        String head = "POST /" + jobClass + "?key=k" + id + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: " + jobClass + "\r\nX-Time-Left: " + timeLeftMs + "m\r\n"
                + (keyed ? "Idempotency-Key: key-" + id + "\r\n" : "") + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] start = Kit.bytes(head);
        byte[] all = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    /** A client's connection, which it keeps. */
    static final class Client implements AutoCloseable {
        private final Socket socket;
        private final InputStream in;
        private boolean used;

        Client(InetSocketAddress node) throws IOException {
            socket = Kit.connect(node, 2000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }

        /** Whether no answer has come on it yet. */
        boolean fresh() {
            return !used;
        }

        /** Waits for the answer; null if the node closes the connection without one. */
        Kit.Message answer(int withinMs) throws IOException {
            socket.setSoTimeout(withinMs);
            Kit.Message answer = Kit.read(in);
            used |= answer != null;
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
