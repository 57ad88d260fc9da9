import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A keyed Gearman job whose first worker is lost shortly before its window ends; the next worker asks slowly. */
final class KeyedWindow {
    private static final long WINDOW_MS = 7500;
    private static final String FUNCTION = "default-flag";

    private final Stand stand;
    private final boolean trouble;
    private final int port;
    /** What the workers of the cell share: when a job with this key first began. */
    private final Map<String, Long> begun = new HashMap<>();
    private final AtomicInteger runs = new AtomicInteger();
    private volatile long firstAssignedNs;
    private volatile boolean completed;

    private KeyedWindow(Stand stand, boolean trouble, int port) {
        this.stand = stand;
        this.trouble = trouble;
        this.port = port;
    }

    public static void main(String[] args) throws IOException {
        Stand.run(args, KeyedWindow::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        String settings = "{\"listen\":\"127.0.0.1:" + port + "\",\"name\":\"perth\",\"zone\":\"kewdale\",\"attempts\":6,"
                + "\"functions\":[{\"name\":\"" + FUNCTION + "\",\"aim_ms\":2000,\"stretch\":2.5,\"deadline_ms\":5000,"
                + "\"worth\":10,\"effect\":\"keyed\",\"group\":\"cell\",\"window_ms\":" + WINDOW_MS + "}],"
                + "\"workers\":[{\"client_id\":\"kewdale-2-*\",\"zone\":\"kewdale\",\"cell\":2}]}";
        stand.start("server", " --gearman " + stand.file("gearman.json", settings), Map.of());
        Stand.must(Stand.until(20_000, () -> Stand.listens(port)), "the job server does not listen");
        KeyedWindow play = new KeyedWindow(stand, trouble, port);
        play.worker("kewdale-2-a", 0);
        try (Gear client = new Gear(port)) {
            client.timeout(5000);
            client.send(Gear.SUBMIT_JOB_BG, FUNCTION, "flag-17", "customer 17");
            stand.log("client: " + FUNCTION + " key=flag-17 in the background, answer "
                    + client.read().args(1).get(0));
        }
        Stand.must(Stand.until(10_000, () -> play.firstAssignedNs != 0), "the first worker got no job");
        play.worker("kewdale-2-b", 800);
        Stand.until(WINDOW_MS + 4000, () -> play.completed);
        Stand.pause(1000);
        stand.log("server: " + Gear.line(port, "counters"));
        stand.log("runs of flag-17 that took effect: " + play.runs.get());
        Stand.must(play.runs.get() > 0, "the job never ran");
        return play.runs.get() == 1;
    }

    /** A worker of cell 2, which asks {@code askAfterMs} after it was called. */
    private void worker(String id, long askAfterMs) {
        Stand.thread(id, () -> {
            try (Gear worker = new Gear(port)) {
                worker.send(Gear.SET_CLIENT_ID, id);
                worker.send(Gear.CAN_DO, FUNCTION);
                worker.send(Gear.GRAB_JOB_UNIQ);
                while (true) {
                    Gear.Packet packet = worker.read();
                    if (packet.kind() == Gear.NO_JOB) {
                        worker.send(Gear.PRE_SLEEP);
                    } else if (packet.kind() == Gear.NOOP) {
                        stand.log(id + ": called");
                        Stand.pause(askAfterMs);
                        worker.send(Gear.GRAB_JOB_UNIQ);
                    } else if (packet.kind() == Gear.JOB_ASSIGN_UNIQ && !work(worker, id, packet.args(4))) {
                        return;
                    }
                }
            } catch (IOException e) {
                stand.log(id + ": connection ended: " + e.getMessage());
            }
        });
    }

    /** Runs a job, or drops it as a repeat; returns false if the worker's process dies during the run. */
    private boolean work(Gear worker, String id, List<String> job) throws IOException {
        long now = System.nanoTime();
        boolean first;
        long sinceFirstMs;
        synchronized (begun) {
            Long before = begun.get(job.get(2));
            sinceFirstMs = before == null ? 0 : (now - before) / 1_000_000L;
            first = before == null || sinceFirstMs > WINDOW_MS;
            if (first) {
                begun.put(job.get(2), now);
                runs.incrementAndGet();
            }
        }
        stand.log(id + ": assigned " + job.get(0) + " key=" + job.get(2) + ", " + sinceFirstMs
                + " ms after the first, " + (first ? "runs" : "dropped as a repeat"));
        if (firstAssignedNs == 0) {
            firstAssignedNs = now;
            // A run that is longer than usual; the worker is lost during it, which ends its connection.
            Stand.pause(WINDOW_MS - 500);
            if (trouble) {
                stand.log(id + ": dies during the run");
                return false;
            }
        }
        worker.send(Gear.WORK_COMPLETE, job.get(0), "done");
        completed = true;
        worker.send(Gear.GRAB_JOB_UNIQ);
        return true;
    }
}
