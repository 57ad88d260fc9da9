package standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Many clients stop in the middle of a request and stay until the node answers or closes. Meanwhile other clients send
 * their jobs whole, and each of these must get its final answer.
 */
final class HalfRequestCase {
    private static final int ORDINARY_CLIENTS = 10;
    private static final int JOBS_EACH = 100;
    private static final int JOB_BYTES = 20_000; // the pages allow 64 KiB
    private static final int BAD_CLIENTS = 400;
    private static final int BAD_BYTES = 40_000; // of a request whose body has 64 KiB
    private static final long DEADLINE_MS = 5000;
    private static final long LATE_MS = 500;

    private final Kit kit;
    private final InetSocketAddress node;
    private int answered;
    private int refusedOrFailed;
    private int lost;

    private HalfRequestCase(Kit kit, InetSocketAddress node) {
        this.kit = kit;
        this.node = node;
    }

    public static void main(String[] args) {
        Kit.main(args, kit -> new HalfRequestCase(kit, new InetSocketAddress("127.0.0.1", Kit.freePort())).run());
    }

    private void run() throws Exception {
        Platform platform = new Platform(kit);
        for (int i = 1; i <= 4; i++) {
            Executor executor = new Executor(kit, "s-0000000" + i, node, 4, 40, 60);
            platform.list(executor.id, executor.port(), "malaga", 1, "SERVING");
        }
        kit.startNode(
                "node",
                "",
                platform.configure(
                        "node",
                        node.getPort(),
                        1024,
                        "",
                        Platform.settings(
                                Platform.jobClass("afford-check", "read_like", "all", 80, DEADLINE_MS, 5000),
                                Platform.jobClass("default-flag", "idempotency_key", "cell", 50, DEADLINE_MS, 7500))));
        kit.awaitReady(node);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ORDINARY_CLIENTS; i++) {
            int number = i;
            clients.add(Kit.thread(() -> ordinaryClient(number)));
        }
        Thread.sleep(1000);
        if (kit.trouble) {
            kit.log("bad clients", BAD_CLIENTS + " send " + BAD_BYTES + " bytes of a request and stay");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                int number = i;
                Kit.thread(() -> badClient(number));
            }
        }
        for (Thread each : clients) {
            each.join();
        }
        kit.log("node", "counters " + Kit.ask(node, "GET /_counters HTTP/1.1\r\nHost: n\r\n\r\n", 2000).text().strip());
        kit.recordLog("node");
        if (answered == 0) {
            throw new IOException("no job was served");
        }
        kit.end(
                lost > 0,
                lost + " of " + ORDINARY_CLIENTS * JOBS_EACH
                        + " jobs that were sent whole got no answer, and the node closed their connections; " + answered
                        + " were served, " + refusedOrFailed + " refused or failed");
    }

    /** Sends its jobs one after the other on a connection that it keeps. */
    private void ordinaryClient(int number) throws IOException, InterruptedException {
        String name = "client " + number;
        Platform.Client client = new Platform.Client(node);
        for (int i = 0; i < JOBS_EACH; i++) {
            String id = String.format("c%02dj%03d", number, i);
            boolean keyed = i % 4 == 0;
            String jobClass = keyed ? "default-flag" : "afford-check";
            Kit.Message answer = null;
            String seen;
            boolean written = false;
            boolean fresh = client.fresh();
            try {
                client.write(Platform.job(id, jobClass, keyed, DEADLINE_MS, new byte[JOB_BYTES]));
                written = true;
                answer = client.answer((int) (DEADLINE_MS + LATE_MS));
                seen = answer == null ? "the node closed the connection" : answer.first();
            } catch (IOException e) {
                seen = e.toString();
            }
            kit.log(name, id + (written ? "" : " (not written whole)") + ": " + seen);
            if (answer == null && written && !fresh) {
                // A close between requests may have crossed this one: it is sent once more on a new connection.
                client.close();
                client = new Platform.Client(node);
                written = false;
                try {
                    client.write(Platform.job(id, jobClass, keyed, DEADLINE_MS, new byte[JOB_BYTES]));
                    written = true;
                    answer = client.answer((int) (DEADLINE_MS + LATE_MS));
                    seen = answer == null ? "the node closed the connection" : answer.first();
                } catch (IOException e) {
                    seen = e.toString();
                }
                kit.log(name, id + " once more on a new connection" + (written ? "" : " (not written whole)") + ": "
                        + seen);
            }
            synchronized (this) {
                answered += answer != null && answer.status() == 200 ? 1 : 0;
                refusedOrFailed += answer != null && answer.status() != 200 ? 1 : 0;
                lost += answer == null && written ? 1 : 0;
            }
            if (answer == null || "close".equals(answer.headers().get("connection"))) {
                client.close();
                client = new Platform.Client(node);
            }
            Thread.sleep(50);
        }
        client.close();
    }

    private void badClient(int number) throws IOException {
        String seen;
        try (Platform.Client client = new Platform.Client(node)) {
            byte[] whole = Platform.job("bad" + number, "afford-check", false, DEADLINE_MS, new byte[64 * 1024]);
            client.write(Arrays.copyOf(whole, BAD_BYTES));
            Kit.Message answer = client.answer(10_000);
            seen = answer == null ? "the node closed the connection" : answer.first();
        } catch (IOException e) {
            seen = e.toString();
        }
        kit.log("bad client " + number, seen);
    }
}
