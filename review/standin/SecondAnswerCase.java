package standin;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Some answers of the executors come twice: the same answer once more, some milliseconds later, on the same connection.
 * A job of a class that is unsafe to repeat must not run a second time all the same.
 */
final class SecondAnswerCase {
    private static final long LATER_MS = 4;
    private static final double SHARE = 0.5; // of the answers
    private static final int SOCKETS = 256;
    private static final int EXECUTORS = 9;
    private static final int SLOTS = 4;
    private static final int QUEUE = 0;
    private static final long RUN_MS = 45;
    private static final int CLIENTS = 64;
    private static final long LENGTH_MS = 35_000;

    private final Kit kit;
    private final InetSocketAddress node;
    private final Random random = new Random(7);
    private final Map<String, List<String>> runs = new HashMap<>();
    private final Map<String, Integer> answers = new TreeMap<>();

    private SecondAnswerCase(Kit kit, InetSocketAddress node) {
        this.kit = kit;
        this.node = node;
    }

    public static void main(String[] args) {
        Kit.main(args, kit -> new SecondAnswerCase(kit, new InetSocketAddress("127.0.0.1", Kit.freePort())).run());
    }

    private void run() throws Exception {
        Platform platform = new Platform(kit);
        for (int i = 1; i <= EXECUTORS; i++) {
            Executor executor = new SpoiltExecutor("s-0000000" + i);
            platform.list(executor.id, executor.port(), "malaga", 1, "SERVING");
        }
        kit.startNode(
                "node",
                "",
                platform.configure(
                        "node",
                        node.getPort(),
                        SOCKETS,
                        "",
                        Platform.settings(Platform.jobClass("hardship-lodge", "non_idempotent", "all", 200, 6000, 10000))));
        kit.awaitReady(node);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients.add(Kit.thread(() -> client(number)));
        }
        for (Thread each : clients) {
            each.join();
        }
        int twice = 0;
        synchronized (runs) {
            for (Map.Entry<String, List<String>> each : runs.entrySet()) {
                if (each.getValue().size() > 1) {
                    twice++;
                    kit.log("case", each.getKey() + " ran " + each.getValue().size() + " times: " + each.getValue());
                }
            }
        }
        kit.log("node", "counters " + Kit.ask(node, "GET /_counters HTTP/1.1\r\nHost: n\r\n\r\n", 2000).text().strip());
        kit.recordLog("node");
        if (runs.isEmpty()) {
            throw new IOException("no job was run");
        }
        kit.end(twice > 0, twice + " of " + runs.size() + " unsafe jobs ran more than once; answers " + answers);
    }

    /** Sends one job after the other on a connection that it keeps. */
    private void client(int number) throws IOException {
        Platform.Client client = new Platform.Client(node);
        long until = kit.now() + LENGTH_MS;
        for (int i = 0; kit.now() < until; i++) {
            String id = String.format("c%02dj%03d", number, i);
            Kit.Message answer;
            try {
                client.write(Platform.job(id, "hardship-lodge", false, 6000, Kit.bytes("lodge " + id)));
                answer = client.answer(7000);
            } catch (IOException e) {
                answer = null;
            }
            String seen = answer == null ? "closed" : answer.first().substring("HTTP/1.1 ".length());
            kit.log("client " + number, id + " " + seen);
            synchronized (answers) {
                answers.merge(seen, 1, Integer::sum);
            }
            if (answer == null || "close".equals(answer.headers().get("connection"))) {
                client.close();
                client = new Platform.Client(node);
            }
        }
        client.close();
    }

    /** An executor that sends some of its answers once more. */
    private final class SpoiltExecutor extends Executor {
        SpoiltExecutor(String id) throws IOException {
            super(SecondAnswerCase.this.kit, id, node, SLOTS, QUEUE, RUN_MS);
        }

        @Override
        void answered(OutputStream out, String job, boolean taken) throws IOException {
            super.answered(out, job, taken);
            boolean spoilt;
            synchronized (random) {
                spoilt = kit.trouble && random.nextDouble() < SHARE;
            }
            if (spoilt) {
                Kit.thread(() -> {
                    Thread.sleep(LATER_MS);
                    kit.log(id, "once more to " + job + ": " + (taken ? "202" : "503, X-Unprocessed: 1"));
                    write(out, taken);
                });
            }
        }

        @Override
        void started(String job, byte[] body) {
            super.started(job, body);
            synchronized (runs) {
                runs.computeIfAbsent(job, key -> new ArrayList<>()).add(id);
            }
        }
    }
}
