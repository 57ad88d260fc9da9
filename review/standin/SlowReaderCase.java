package standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Workers of a Gearman server send their results in pieces (WORK_DATA). Some clients read nothing for a few seconds,
 * which is less than stall_ms. Other clients, of another function, read all the time.
 */
final class SlowReaderCase {
    private static final int READERS = 100; // max_connections is 4096
    private static final int PIECE_BYTES = 4000;
    private static final int PIECES = 2000; // 8 MB for each job; max_unread_kb is 16 MB
    private static final long PAUSE_MS = 10_000; // stall_ms is 30 s
    private static final int BYSTANDERS = 4;

    private final Kit kit;
    private final InetSocketAddress server;
    private boolean finished;
    private int answered;
    private int cutOff;

    private SlowReaderCase(Kit kit, InetSocketAddress server) {
        this.kit = kit;
        this.server = server;
    }

    public static void main(String[] args) {
        Kit.main(args, kit -> new SlowReaderCase(kit, new InetSocketAddress("127.0.0.1", Kit.freePort())).run());
    }

    private void run() throws Exception {
        Path file = kit.temp.resolve("gearman.json");
        Files.writeString(
                file,
                Files.readString(kit.root.resolve("deploy/gearman.json"))
                        .replace("127.0.0.1:4730", "127.0.0.1:" + server.getPort())
                        .replace("\"deadline_ms\": 5000", "\"deadline_ms\": 60000"));
        Process process = kit.startNode("server", "--gearman " + file, Map.of());
        awaitServer();
        for (int i = 0; i < READERS; i++) {
            worker("afford-check", PIECES);
        }
        for (int i = 0; i < BYSTANDERS; i++) {
            worker("plan-lookup", 0);
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < BYSTANDERS; i++) {
            int number = i;
            clients.add(Kit.thread(() -> bystander("client " + number)));
        }
        Thread.sleep(1000);
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < READERS; i++) {
            int number = i;
            readers.add(Kit.thread(() -> reader("reader " + number)));
        }
        for (int i = 0; i < 60 && process.isAlive() && readers.stream().anyMatch(Thread::isAlive); i++) {
            Thread.sleep(500);
        }
        synchronized (this) {
            finished = true;
        }
        for (Thread each : clients) {
            each.join(5000);
        }
        for (Thread each : readers) {
            each.join(5000);
        }
        boolean crashed = !process.isAlive();
        kit.recordLog("server");
        kit.end(
                crashed,
                "the server " + (crashed ? "crashed with status " + process.exitValue() : "runs") + "; " + answered
                        + " accepted jobs were answered, " + cutOff + " lost their connection");
    }

    private void awaitServer() throws Exception {
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

    /** A worker that sends so many pieces for each job, and then its end; without pieces a job takes 300 ms. */
    private void worker(String function, int pieces) throws IOException {
        Gearman worker = new Gearman(server);
        worker.send(Gearman.CAN_DO, function);
        String piece = "x".repeat(PIECE_BYTES);
        Kit.thread(() -> {
            while (true) {
                worker.send(Gearman.GRAB_JOB);
                Gearman.Packet packet = worker.receive();
                if (packet == null) {
                    return;
                } else if (packet.kind() == Gearman.JOB_ASSIGN) {
                    String handle = packet.args(3).get(0);
                    if (pieces == 0) {
                        Thread.sleep(300);
                    }
                    for (int i = 0; i < pieces; i++) {
                        worker.send(Gearman.WORK_DATA, handle, piece);
                    }
                    worker.send(Gearman.WORK_COMPLETE, handle, "done");
                } else if (packet.kind() == Gearman.NO_JOB) {
                    worker.send(Gearman.PRE_SLEEP);
                    if (worker.receive() == null) {
                        return;
                    }
                }
            }
        });
    }

    /** Submits a job; with the disruption, it reads nothing for some seconds after JOB_CREATED. */
    private void reader(String name) throws IOException, InterruptedException {
        try (Gearman client = new Gearman(server, 64 * 1024)) {
            client.send(Gearman.SUBMIT_JOB, "afford-check", "", name);
            String handle = client.receive().args(1).get(0);
            kit.log(name, "accepted " + handle);
            if (kit.trouble) {
                Thread.sleep(PAUSE_MS);
            }
            await(client, name, handle);
        } catch (IOException e) {
            kit.log(name, e.toString());
            count(false);
        }
    }

    /** Submits one job after the other and reads all answers at once. */
    private void bystander(String name) throws IOException, InterruptedException {
        try (Gearman client = new Gearman(server)) {
            while (!finished()) {
                client.send(Gearman.SUBMIT_JOB, "plan-lookup", "", name);
                Gearman.Packet created = client.receive();
                if (created == null) {
                    return;
                }
                await(client, name, created.args(1).get(0));
            }
        } catch (IOException e) {
            kit.log(name, e.toString());
        }
    }

    private synchronized boolean finished() {
        return finished;
    }

    private synchronized void count(boolean hasAnswer) {
        answered += hasAnswer ? 1 : 0;
        cutOff += hasAnswer ? 0 : 1;
    }

    private void await(Gearman client, String name, String handle) throws IOException {
        long bytes = 0;
        Gearman.Packet packet = client.receive();
        while (packet != null && packet.kind() != Gearman.WORK_COMPLETE && packet.kind() != Gearman.WORK_FAIL) {
            bytes += packet.body().length;
            packet = client.receive();
        }
        count(packet != null);
        kit.log(
                name,
                handle + " "
                        + (packet == null
                                ? "has no answer: the connection is closed"
                                : packet.kind() == Gearman.WORK_FAIL ? "WORK_FAIL" : "WORK_COMPLETE")
                        + " after " + bytes + " bytes of data");
    }
}
