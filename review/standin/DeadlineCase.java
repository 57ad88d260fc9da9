package standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A worker host of a Gearman server is drained and restarted. Meanwhile a background job waits in line, and behind it
 * foreground jobs, whose clients must be told within the function's deadline.
 */
final class DeadlineCase {
    private static final long DEADLINE_MS = 5000; // deadline_ms of afford-check in deploy/gearman.json
    private static final long LATE_MS = 500; // later than this after its time, an answer counts as lost
    private static final long AWAY_MS = 40_000; // how long the worker host is away
    private static final int CLIENTS = 3;

    private DeadlineCase() {}

    public static void main(String[] args) {
        Kit.main(args, DeadlineCase::run);
    }

    private static void run(Kit kit) throws Exception {
        InetSocketAddress server = new InetSocketAddress("127.0.0.1", Kit.freePort());
        Path file = kit.temp.resolve("gearman.json");
        Files.writeString(
                file,
                Files.readString(kit.root.resolve("deploy/gearman.json"))
                        .replace("127.0.0.1:4730", "127.0.0.1:" + server.getPort()));
        kit.startNode("server", "--gearman " + file, Map.of());
        awaitServer(kit, server);

        Gearman worker = worker(kit, server);
        // An ordinary job, which shows that the deployment works.
        long took = waitForAnswer(kit, submit(kit, server, "first", "afford-check"), "first", 2 * DEADLINE_MS);
        if (took < 0) {
            throw new IOException("the first job has no answer");
        }
        if (kit.trouble) {
            kit.log("operator", "drain malaga-1-a: " + Kit.call(server, "drain malaga-1-a"));
            worker.close();
            kit.log("worker", "its host is being restarted");
        }
        try (Gearman batch = new Gearman(server)) {
            batch.send(Gearman.SUBMIT_JOB_BG, "afford-check", "", "nightly");
            kit.log("batch", "background job submitted, answered " + created(batch));
        }
        Thread.sleep(500);
        List<Thread> clients = new ArrayList<>();
        long[] answeredAfter = new long[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            String name = "client " + i;
            Gearman client = submit(kit, server, name, "afford-check");
            clients.add(Kit.thread(() -> answeredAfter[number] = waitForAnswer(kit, client, name, AWAY_MS)));
        }
        // For comparison: a function in which no background job waits, and whose worker is away as well.
        Gearman other = submit(kit, server, "other client", "plan-lookup");
        clients.add(Kit.thread(() -> waitForAnswer(kit, other, "other client", AWAY_MS)));
        for (Thread each : clients) {
            each.join();
        }
        kit.log("operator", "status: " + Kit.call(server, "counters"));
        if (kit.trouble) {
            kit.log("operator", "undrain malaga-1-a: " + Kit.call(server, "undrain malaga-1-a"));
            worker(kit, server);
            Thread.sleep(1000);
        }
        kit.recordLog("server");
        int late = 0;
        for (long each : answeredAfter) {
            late += each < 0 || each > DEADLINE_MS + LATE_MS ? 1 : 0;
        }
        kit.end(
                late > 0,
                late + " of " + CLIENTS + " accepted foreground jobs had no final answer within " + DEADLINE_MS + " + "
                        + LATE_MS + " ms");
    }

    private static void awaitServer(Kit kit, InetSocketAddress server) throws Exception {
        for (int i = 0; i < 200; i++) {
            try {
                kit.log("operator", "version: " + Kit.call(server, "version"));
                return;
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        throw new IOException("the server does not listen");
    }

    private static Gearman worker(Kit kit, InetSocketAddress server) throws IOException {
        Gearman worker = new Gearman(server);
        worker.send(Gearman.SET_CLIENT_ID, "malaga-1-a");
        worker.send(Gearman.CAN_DO, "afford-check");
        worker.send(Gearman.CAN_DO, "plan-lookup");
        kit.log("worker", "connected");
        Kit.thread(() -> {
            while (true) {
                worker.send(Gearman.GRAB_JOB);
                Gearman.Packet packet = worker.receive();
                if (packet == null) {
                    return;
                } else if (packet.kind() == Gearman.JOB_ASSIGN) {
                    List<String> args = packet.args(3);
                    kit.log("worker", "runs " + args);
                    Thread.sleep(100);
                    worker.send(Gearman.WORK_COMPLETE, args.get(0), "done " + args.get(2));
                } else if (packet.kind() == Gearman.NO_JOB) {
                    worker.send(Gearman.PRE_SLEEP);
                    if (worker.receive() == null) {
                        return;
                    }
                }
            }
        });
        return worker;
    }

    private static String created(Gearman client) throws IOException {
        Gearman.Packet packet = client.receive();
        if (packet == null || packet.kind() != Gearman.JOB_CREATED) {
            throw new IOException("the job is not accepted: " + (packet == null ? "closed" : packet.args(2)));
        }
        return "JOB_CREATED " + packet.args(1);
    }

    private static Gearman submit(Kit kit, InetSocketAddress server, String name, String function) throws IOException {
        Gearman client = new Gearman(server);
        client.send(Gearman.SUBMIT_JOB, function, "", name);
        kit.log(name, function + " submitted in the foreground, answered " + created(client));
        return client;
    }

    /** Returns after how many ms the final answer came, or -1 if none came in time. */
    private static long waitForAnswer(Kit kit, Gearman client, String name, long withinMs) throws IOException {
        long from = kit.now();
        client.socket.setSoTimeout((int) withinMs);
        try {
            while (true) {
                Gearman.Packet packet = client.receive();
                if (packet == null) {
                    kit.log(name, "connection closed without an answer");
                    return -1;
                }
                if (packet.kind() == Gearman.WORK_COMPLETE || packet.kind() == Gearman.WORK_FAIL) {
                    long took = kit.now() - from;
                    kit.log(
                            name,
                            (packet.kind() == Gearman.WORK_FAIL ? "WORK_FAIL" : "WORK_COMPLETE") + " after " + took
                                    + " ms");
                    return took;
                }
            }
        } catch (java.net.SocketTimeoutException e) {
            kit.log(name, "no final answer after " + (kit.now() - from) + " ms; the connection is open");
            return -1;
        }
    }
}
