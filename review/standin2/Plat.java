import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Stand-ins of the platform for a node: discovery, executors and clients, as the protocol page describes them. */
final class Plat {
    /** A class of the settings with 5 s, safe to repeat, and one with a key that the executors of a zone drop. */
    static final String CLASSES = "[{\"AimNs\":2000000000,\"DeadlineNs\":5000000000,\"Effect\":\"read_like\",\"Group\":\"all\","
            + "\"LateWorth\":0.5,\"Name\":\"afford-check\",\"Streaming\":false,\"WindowNs\":5000000000,\"Worth\":3.0}]";

    private Plat() {}

    /** The settings object of a small deployment, with the given limits. */
    static String settings(String limits) {
        return "{\"Classes\":" + CLASSES + ",\"Clients\":{\"MarksRetry\":true},\"CountedBy\":\"request\",\"Discovery\":\"pushed\","
                + "\"GroupSize\":1,\"KindOfService\":\"jobs\",\"Kinds\":[\"large\"],\"Limits\":" + limits
                + ",\"LoadInfo\":{\"Columns\":[],\"How\":\"silent\"},\"Locality\":\"only\",\"Me\":0,"
                + "\"Prices\":{\"CrossZone\":0.01,\"Probe\":0.004},\"Realms\":[],\"RoundNs\":3000000,"
                + "\"Rules\":{\"AnswerSlackNs\":12000000,\"AskWithinNs\":10000000000,\"ColdNs\":9000000000,"
                + "\"DrainGraceNs\":500000000,\"OverloadFactor\":4.0,\"OverloadForNs\":3000000000,\"StartCapacity\":0.3},"
                + "\"Specifics\":{\"ClassKind\":[-1],\"ClassPriority\":[0],\"ClassStretch\":[2.0],\"ProgressNs\":0,"
                + "\"QueueOrder\":\"fifo\",\"TellsStart\":false},"
                + "\"Tier\":0,\"Tiers\":[\"kilns\"],\"WeightSource\":\"silent\",\"Zones\":[\"only\"]}";
    }

    static String limits(boolean cancel, boolean copies) {
        return "{\"Cancel\":" + cancel + ",\"ConnectTimeoutNs\":250000000,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":500000,"
                + "\"IdleCloseNs\":60000000000,\"MaxAttempts\":2,\"MaxOpen\":20000,\"MaxRetryAfterNs\":1200000000,"
                + "\"Peers\":false,\"Probes\":false,\"RetryAfter\":true,\"SecondCopies\":" + copies + ",\"StreamsPerConn\":1}";
    }

    /** A node's configuration; {@code console} is 0 for none. */
    static String config(int listen, int discovery, int console, int sockets, String known, String settings) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + listen + "\",\"discovery\":\"127.0.0.1:" + discovery + "\","
                + (console > 0 ? "\"console\":\"127.0.0.1:" + console + "\"," : "")
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                + "\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    /** Serves each connection on a thread of its own. */
    private static void serve(String name, ServerSocket listener, Consumer<Socket> connection) {
        Stand.thread(name, () -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    Stand.thread(name + "-connection", () -> connection.accept(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 1000, InetAddress.getLoopbackAddress());
    }

    /** The agent of discovery: one list, which does not change unless the case changes it. */
    static final class Discovery {
        final int port;
        /** While true the agent is silent, as while discovery is down. */
        volatile boolean silent;

        /** The list as an operator has given it to discovery; null if it names the executors of the case. */
        volatile String given;

        private volatile String servers = "";
        private volatile long version = 1;

        Discovery(List<Executor> executors) throws IOException {
            ServerSocket listener = listen();
            port = listener.getLocalPort();
            servers = entries(executors);
            serve("discovery", listener, this::connection);
        }

        static String entries(List<Executor> executors) {
            List<String> entries = new ArrayList<>();
            executors.forEach(each -> entries.add(each.entry("SERVING")));
            return String.join(",", entries);
        }

        /** The whole list as it stands, also for the key {@code known}. */
        String list() {
            return given != null ? given : "{\"version\":" + version + ",\"full\":true,\"servers\":[" + servers + "]}";
        }

        /** Gives discovery another list, which has to name the next version. */
        void change(String list) {
            given = list;
            version++;
        }

        private void connection(Socket socket) {
            try (Stand.Http http = new Stand.Http(socket)) {
                for (Stand.Message call = http.read(); call != null; call = http.read()) {
                    while (silent) {
                        Stand.pause(10);
                    }
                    String target = call.word(1);
                    if (target.contains("after=" + version + "&")) { // a watch: waits for something newer
                        long waitMs = Long.parseLong(target.substring(target.indexOf("wait_ms=") + 8));
                        Stand.until(Math.min(60_000, waitMs), () -> !target.contains("after=" + version + "&"));
                    }
                    String body = target.contains("after=" + version + "&")
                            ? "{\"version\":" + version + ",\"full\":false,\"servers\":[]}"
                            : list();
                    http.send("HTTP/1.1 200 OK", "", body.getBytes(StandardCharsets.UTF_8));
                }
            } catch (IOException e) {
                // the node has closed its call
            }
        }
    }

    /** An executor: answers 202, runs each job for its time and tells the end by a call. */
    static final class Executor {
        /** Its id; the importer gives ids of its own. */
        volatile String id;

        final int port;
        /** How long a job runs. */
        volatile long runMs = 20;
        /** While true the executor hangs: it takes jobs and tells nothing of them. */
        volatile boolean hangs;

        volatile int taken;
        private final Stand stand;
        private final int node;
        private final boolean quiet;
        private final Map<String, Boolean> open = new ConcurrentHashMap<>();

        /** {@code node} is the port that calls go to; a quiet executor writes no line for a job. */
        Executor(Stand stand, String id, int node, boolean quiet) throws IOException {
            this.stand = stand;
            this.id = id;
            this.node = node;
            this.quiet = quiet;
            ServerSocket listener = listen();
            port = listener.getLocalPort();
            serve(id, listener, this::connection);
        }

        String entry(String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"only\",\"kind\":\"large\",\"cell\":1,"
                    + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
        }

        private void log(String line) {
            if (!quiet) {
                stand.log(id + ": " + line);
            }
        }

        private void connection(Socket socket) {
            try (Stand.Http http = new Stand.Http(socket)) {
                for (Stand.Message request = http.read(); request != null; request = http.read()) {
                    if (request.word(0).equals("POST")) {
                        String job = request.header("x-correlation-id");
                        synchronized (this) {
                            taken++;
                        }
                        log("job " + job + " taken" + (hangs ? ", hangs" : ""));
                        open.put(job, true);
                        http.send("HTTP/1.1 202 Accepted", "", new byte[0]);
                        if (!hangs) {
                            Stand.thread("job", () -> finish(job));
                        }
                    } else if (request.word(0).equals("DELETE")) {
                        String job = request.word(1).substring(request.word(1).lastIndexOf('/') + 1);
                        boolean held = open.remove(job) != null;
                        log("job " + job + " given up by the node");
                        http.send(held ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found", "", new byte[0]);
                    } else {
                        http.send("HTTP/1.1 404 Not Found", "", new byte[0]);
                    }
                }
            } catch (IOException e) {
                // the node has closed the connection
            }
        }

        private void finish(String job) {
            Stand.pause(runMs);
            if (open.remove(job) == null) {
                return;
            }
            String event = "{\"id\":\"" + job + "\",\"from\":\"" + id + "\",\"state\":\"done\",\"result\":\"by " + id + "\"}";
            for (int i = 0; i < 10; i++) {
                try (Stand.Http http = new Stand.Http(Stand.connect(node))) {
                    http.socket.setSoTimeout(2000);
                    http.send("POST /v1/job-events HTTP/1.1", "Host: n1\r\n", event.getBytes(StandardCharsets.UTF_8));
                    Stand.Message answer = http.read();
                    if (answer != null && answer.status() / 100 == 2) {
                        log("job " + job + " done, told");
                        return;
                    }
                } catch (IOException e) {
                    Stand.pause(50);
                }
            }
            log("job " + job + " done, ten calls unanswered");
        }
    }

    /** Sends one job on a connection and returns the answer; null if the node closes the connection instead. */
    static Stand.Message job(Stand.Http http, String job, long timeLeftMs, String more, byte[] body) throws IOException {
        http.send(
                "POST /afford-check?key=k" + job + " HTTP/1.1",
                "Host: app.svc\r\nX-Correlation-Id: " + job + "\r\nX-Service-Class: afford-check\r\nX-Time-Left: "
                        + timeLeftMs + "m\r\n" + more,
                body);
        return http.read();
    }

    static Stand.Http client(int port, int timeoutMs) throws IOException {
        Stand.Http http = new Stand.Http(Stand.connect(port));
        http.socket.setSoTimeout(timeoutMs);
        return http;
    }

    static int health(int port) {
        try (Stand.Http http = client(port, 3000)) {
            http.send("GET /_health HTTP/1.1", "Host: n1\r\n", new byte[0]);
            Stand.Message answer = http.read();
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }
}
