import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Executors whose refusals sometimes come twice, the second time some milliseconds later; jobs that may not be repeated. */
final class SecondAnswer {
    private static final int EXECUTORS = 2;
    private static final int CLIENTS = 28;
    /** Jobs that an executor runs at once; it refuses further ones. */
    private static final int SLOTS = 6;

    private static final long RUN_MS = 60;
    /** Time from the last byte of a request to its answer. */
    private static final long ANSWER_MS = 60;
    /** One refusal in this many comes twice. */
    private static final int SPOILT_ONE_IN = 5;
    /** When the second answer comes after the first, and the time after which it is left out. */
    private static final long SECOND_AFTER_MS = 3;

    private static final long SECOND_LATEST_NS = 6_000_000L;
    /** A run in which a second answer was written later than this is not valid. */
    private static final long LATEST_WRITTEN_NS = 10_000_000L;

    private final Stand stand;
    private final boolean trouble;
    private final int port;
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final Map<String, Integer> answers = new TreeMap<>();
    private final AtomicInteger refusals = new AtomicInteger();
    private final AtomicInteger secondAnswers = new AtomicInteger();
    private final AtomicInteger leftOut = new AtomicInteger();
    /** The longest time from a first answer until its second one was written. */
    private final AtomicLong latestNs = new AtomicLong();

    private volatile boolean ended;

    private SecondAnswer(Stand stand, boolean trouble, int port) {
        this.stand = stand;
        this.trouble = trouble;
        this.port = port;
    }

    public static void main(String[] args) throws IOException {
        Stand.run(args, SecondAnswer::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        SecondAnswer play = new SecondAnswer(stand, trouble, port);
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= EXECUTORS; i++) {
            entries.add(play.new Executor("s-0000000" + i).entry());
        }
        Plat.Discovery discovery = new Plat.Discovery(List.of());
        discovery.given = "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
        String settings = Plat.settings(Plat.limits(true, false))
                .replace("\"Effect\":\"read_like\"", "\"Effect\":\"non_idempotent\"");
        String config = Plat.config(port, discovery.port, 0, 128, discovery.list(), settings);
        stand.start("node", "", Map.of("PROXY_CONFIG", stand.file("config.json", config).toString()));
        Stand.must(Stand.until(20_000, () -> Plat.health(port) == 200), "the node is not ready");
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            Stand.thread(name, () -> play.client(name));
        }
        Stand.until(trouble ? 60_000 : 20_000, () -> play.twice() > 0);
        Stand.pause(trouble ? 1000 : 0);
        play.ended = true;
        Stand.pause(1000);
        play.runs.forEach((job, at) -> {
            if (at.size() > 1) {
                stand.log("job " + job + " ran at " + at);
            }
        });
        synchronized (play.answers) {
            stand.log("answers " + play.answers);
        }
        stand.log("jobs run: " + play.runs.size() + ", more than once: " + play.twice() + "; refusals: " + play.refusals
                + ", second answers: " + play.secondAnswers + ", left out as too late: " + play.leftOut);
        stand.log("the latest second answer was written " + play.latestNs.get() / 1000 + " us after the first");
        Stand.must(play.runs.size() > 100, "too few jobs ran");
        Stand.must(play.latestNs.get() <= LATEST_WRITTEN_NS, "a second answer was written too late");
        return play.twice() == 0;
    }

    private long twice() {
        return runs.values().stream().filter(each -> each.size() > 1).count();
    }

    private void client(String name) {
        Random random = new Random(name.hashCode());
        Stand.Http http = null;
        for (int i = 0; !ended; i++) {
            String end = "none";
            try {
                http = http == null ? Plat.client(port, 7000) : http;
                Stand.Message answer = Plat.job(http, name + "-" + i, 5000, "", new byte[50]);
                end = answer == null ? "none" : "" + answer.status();
                if (answer == null || "close".equals(answer.header("connection"))) {
                    http.close();
                    http = null;
                }
            } catch (IOException e) {
                http = null;
            }
            synchronized (answers) {
                answers.merge(end, 1, Integer::sum);
            }
            Stand.pause(random.nextInt(20));
        }
    }

    /** An executor with few slots, which refuses what it does not take. */
    private final class Executor {
        private final String id;
        private final int listens;
        private int running;

        Executor(String id) throws IOException {
            this.id = id;
            ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
            listens = listener.getLocalPort();
            Stand.thread(id, () -> {
                while (true) {
                    try {
                        Socket socket = listener.accept();
                        Stand.thread(id + "-connection", () -> connection(socket));
                    } catch (IOException e) {
                        return;
                    }
                }
            });
        }

        String entry() {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + listens
                    + "\",\"zone\":\"only\",\"kind\":\"large\",\"cell\":1,"
                    + "\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}";
        }

        private void connection(Socket socket) {
            Random random = new Random(socket.getPort());
            try (Stand.Http http = new Stand.Http(socket)) {
                for (Stand.Message request = http.read(); request != null; request = http.read()) {
                    String job = request.header("x-correlation-id");
                    if (!request.word(0).equals("POST")) {
                        http.send("HTTP/1.1 404 Not Found", "", new byte[0]);
                        continue;
                    }
                    Stand.pause(ANSWER_MS);
                    if (take()) {
                        runs.computeIfAbsent(job, key -> java.util.Collections.synchronizedList(new ArrayList<>()))
                                .add(id);
                        http.send("HTTP/1.1 202 Accepted", "", new byte[0]);
                        Stand.thread("job", () -> finish(job));
                        continue;
                    }
                    refusals.incrementAndGet();
                    http.send("HTTP/1.1 503 Service Unavailable", "X-Unprocessed: 1\r\n", new byte[0]);
                    long first = System.nanoTime();
                    if (trouble && random.nextInt(SPOILT_ONE_IN) == 0) {
                        Stand.pause(SECOND_AFTER_MS);
                        if (System.nanoTime() - first <= SECOND_LATEST_NS) {
                            http.send("HTTP/1.1 503 Service Unavailable", "X-Unprocessed: 1\r\n", new byte[0]);
                            long written = System.nanoTime() - first;
                            latestNs.accumulateAndGet(written, Math::max);
                            secondAnswers.incrementAndGet();
                        } else {
                            leftOut.incrementAndGet();
                        }
                    }
                }
            } catch (IOException e) {
                // the node has closed the connection
            }
        }

        private synchronized boolean take() {
            if (running == SLOTS) {
                return false;
            }
            running++;
            return true;
        }

        private void finish(String job) {
            Stand.pause(RUN_MS);
            synchronized (this) {
                running--;
            }
            String event =
                    "{\"id\":\"" + job + "\",\"from\":\"" + id + "\",\"state\":\"done\",\"result\":\"by " + id + "\"}";
            for (int i = 0; i < 10; i++) {
                try (Stand.Http http = new Stand.Http(Stand.connect(port))) {
                    http.socket.setSoTimeout(2000);
                    http.send("POST /v1/job-events HTTP/1.1", "Host: n1\r\n", event.getBytes(StandardCharsets.UTF_8));
                    Stand.Message answer = http.read();
                    if (answer != null && answer.status() / 100 == 2) {
                        return;
                    }
                } catch (IOException e) {
                    Stand.pause(50);
                }
            }
        }
    }
}
