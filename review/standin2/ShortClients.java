import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/** Background jobs from clients that connect, submit one job and go, while the workers are drained. */
final class ShortClients {
    private static final String FUNCTION = "plan-lookup";
    private static final String WORKER = "kewdale-2-a";
    private static final int JOBS = 60_000;
    private static final int CLIENTS_AT_ONCE = 8;
    private static final int WORKERS = 4;
    /** A workload of 32 bytes, the size for which the page names the memory of a job. */
    private static final String WORKLOAD = "customer 00000000000000000000017";

    private final Stand stand;
    private final int port;
    private final Process server;
    /** The clients' addresses but for the last number, drawn for each run. */
    private final String network =
            "127." + (10 + new Random().nextInt(200)) + "." + new Random().nextInt(250) + ".";

    private final AtomicInteger accepted = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicReference<String> lastError = new AtomicReference<>("none");

    private ShortClients(Stand stand, int port, Process server) {
        this.stand = stand;
        this.port = port;
        this.server = server;
    }

    public static void main(String[] args) throws IOException {
        Stand.run(args, ShortClients::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        String settings = "{\"listen\":\"127.0.0.1:" + port + "\",\"name\":\"perth\",\"zone\":\"kewdale\",\"attempts\":6,"
                + "\"functions\":[{\"name\":\"" + FUNCTION + "\",\"aim_ms\":2000,\"stretch\":1.75,\"deadline_ms\":5000,"
                + "\"worth\":3,\"effect\":\"safe\"}],"
                + "\"workers\":[{\"client_id\":\"kewdale-2-*\",\"zone\":\"kewdale\",\"cell\":2}]}";
        Process server = stand.start("server", " --gearman " + stand.file("gearman.json", settings), Map.of());
        Stand.must(Stand.until(20_000, () -> Stand.listens(port)), "the job server does not listen");
        ShortClients play = new ShortClients(stand, port, server);
        for (int i = 0; i < WORKERS; i++) {
            Stand.thread(WORKER, play::worker);
        }
        Stand.pause(500);
        if (trouble) {
            stand.log("operator: drain " + WORKER + " -> " + Gear.line(port, "drain " + WORKER));
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_AT_ONCE; i++) {
            int number = i;
            clients.add(Stand.thread("clients-" + i, () -> play.clients(number)));
        }
        long end = System.nanoTime() + 75_000_000_000L;
        while (clients.stream().anyMatch(Thread::isAlive) && System.nanoTime() < end) {
            Stand.pause(2000);
            play.report();
        }
        Stand.must(clients.stream().noneMatch(Thread::isAlive) || !server.isAlive(), "the clients do not end");
        Stand.pause(1000);
        if (trouble && server.isAlive()) {
            stand.log("operator: undrain " + WORKER + " -> " + Gear.line(port, "undrain " + WORKER));
        }
        Stand.until(20_000, () -> !server.isAlive() || play.ran.get() >= play.accepted.get());
        play.report();
        boolean alive = server.isAlive();
        stand.log(alive ? "the server runs" : "the server has ended by itself, exit status " + server.exitValue());
        stand.logOf("server", 25);
        return alive;
    }

    private void report() {
        stand.log("jobs accepted " + accepted.get() + ", refused " + refused.get() + ", without an answer "
                + unanswered.get() + ", run " + ran.get() + "; last error: " + lastError.get());
    }

    /**
     * One client after the other, each on a connection of its own. The clients have many loopback addresses, so that the
     * ports of closed connections, which rest for a minute, do not run short.
     */
    private void clients(int row) {
        for (int i = 0; i < JOBS / CLIENTS_AT_ONCE && server.isAlive(); i++) {
            try (Gear client = new Gear(port, network + (1 + row + CLIENTS_AT_ONCE * (i % 16)))) {
                client.timeout(10_000);
                client.send(Gear.SUBMIT_JOB_BG, FUNCTION, "plan-" + row + "-" + i, WORKLOAD);
                Gear.Packet answer = client.read();
                if (answer.kind() == Gear.JOB_CREATED) {
                    accepted.incrementAndGet();
                } else {
                    refused.incrementAndGet();
                    lastError.set(String.join(" ", answer.args(2)));
                }
            } catch (IOException e) {
                unanswered.incrementAndGet();
                lastError.set(e.toString());
            }
        }
    }

    private void worker() {
        try (Gear worker = new Gear(port)) {
            worker.send(Gear.SET_CLIENT_ID, WORKER);
            worker.send(Gear.CAN_DO, FUNCTION);
            worker.send(Gear.GRAB_JOB);
            while (true) {
                Gear.Packet packet = worker.read();
                if (packet.kind() == Gear.NO_JOB) {
                    worker.send(Gear.PRE_SLEEP);
                } else if (packet.kind() == Gear.NOOP) {
                    worker.send(Gear.GRAB_JOB);
                } else if (packet.kind() == Gear.JOB_ASSIGN) {
                    ran.incrementAndGet();
                    worker.send(Gear.WORK_COMPLETE, packet.args(3).get(0), "done");
                    worker.send(Gear.GRAB_JOB);
                }
            }
        } catch (IOException e) {
            stand.log("worker: connection ended");
        }
    }
}
