import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A planned restart of a node whose settings allow no cancel, while one of its executors hangs. */
final class NoCancel {
    /** For so long after SIGTERM new connections keep coming. */
    private static final long NEW_CONNECTIONS_NS = 400_000_000L;
    /** The longest deadline of a job is 5 s; no job is open any more after this time. */
    private static final long WAIT_MS = 15_000;

    private static volatile long newConnectionsUntil = Long.MAX_VALUE;

    private NoCancel() {}

    public static void main(String[] args) throws IOException {
        Stand.run(args, NoCancel::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        List<Plat.Executor> executors = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            executors.add(new Plat.Executor(stand, "s-0000000" + i, port, true));
            executors.get(i - 1).runMs = 100;
        }
        Plat.Discovery discovery = new Plat.Discovery(executors);
        String config =
                Plat.config(port, discovery.port, 0, 1024, discovery.list(), Plat.settings(Plat.limits(false, true)));
        Process node = stand.start(
                "node", "", Map.of("PROXY_CONFIG", stand.file("config.json", config).toString()));
        Stand.must(Stand.until(20_000, () -> Plat.health(port) == 200), "the node is not ready");
        Map<String, AtomicInteger> answers = new java.util.concurrent.ConcurrentSkipListMap<>();
        for (int i = 0; i < 6; i++) {
            String name = "c" + i;
            Stand.thread(name, () -> client(port, name, answers));
        }
        Stand.pause(1000);
        executors.get(0).hangs = trouble;
        stand.log("SIGTERM; answers so far " + answers + (trouble ? "; " + executors.get(0).id + " hangs" : ""));
        long at = System.nanoTime();
        newConnectionsUntil = at + NEW_CONNECTIONS_NS;
        stand.signal("node", "TERM");
        Stand.until(WAIT_MS, () -> !node.isAlive());
        stand.log("after " + (System.nanoTime() - at) / 1_000_000L + " ms: "
                + (node.isAlive() ? "the node still runs" : "the node has ended with " + node.exitValue())
                + "; answers " + answers);
        stand.logOf("node", 12);
        return !node.isAlive();
    }

    private static void client(int port, String name, Map<String, AtomicInteger> answers) {
        Stand.Http http = null;
        for (int i = 0; ; i++) {
            try {
                if (http == null && System.nanoTime() > newConnectionsUntil) {
                    return; // the front sends clients to other nodes
                }
                http = http == null ? Plat.client(port, 7000) : http;
                Stand.Message answer = Plat.job(http, name + "-" + i, 5000, "", new byte[20]);
                String status = answer == null ? "none" : answer.word(1);
                answers.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
                if (answer == null || "close".equals(answer.header("connection"))) {
                    http.close();
                    http = null;
                }
                Stand.pause(50);
            } catch (IOException e) {
                if (http == null) {
                    return; // the node listens no longer
                }
                http.close();
                http = null;
            }
        }
    }
}
