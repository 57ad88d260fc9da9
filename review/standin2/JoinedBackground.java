import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A background job joins a foreground job with its key while the worker is drained for a restart of its host. */
final class JoinedBackground {
    private static final String FUNCTION = "hardship-lodge";
    private static final String WORKER = "kewdale-2-a";
    /** How long foreground jobs of the function are kept. */
    private static final long DEADLINE_MS = 6000;

    private JoinedBackground() {}

    public static void main(String[] args) throws IOException {
        Stand.run(args, JoinedBackground::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        String settings = "{\"listen\":\"127.0.0.1:" + port + "\",\"name\":\"perth\",\"zone\":\"kewdale\",\"attempts\":6,"
                + "\"functions\":[{\"name\":\"" + FUNCTION + "\",\"aim_ms\":4000,\"stretch\":2.5,\"deadline_ms\":"
                + DEADLINE_MS + ",\"worth\":2,\"effect\":\"keyed\",\"group\":\"zone\",\"window_ms\":10000}],"
                + "\"workers\":[{\"client_id\":\"kewdale-2-*\",\"zone\":\"kewdale\",\"cell\":2}]}";
        stand.start("server", " --gearman " + stand.file("gearman.json", settings), Map.of());
        Stand.must(Stand.until(20_000, () -> Stand.listens(port)), "the job server does not listen");
        AtomicInteger runs = new AtomicInteger();
        Stand.thread(WORKER, () -> worker(stand, port, runs));
        Stand.pause(500);
        if (trouble) {
            stand.log("operator: drain " + WORKER + " -> " + Gear.line(port, "drain " + WORKER));
        }
        Gear first = new Gear(port);
        first.send(Gear.SUBMIT_JOB, FUNCTION, "lodge-4", "customer 4");
        String handle = first.read().args(1).get(0);
        stand.log("client 1: job lodge-4 in the foreground -> " + handle);
        Gear second = new Gear(port);
        second.send(Gear.SUBMIT_JOB_BG, FUNCTION, "lodge-4", "customer 4");
        Gear.Packet created = second.read();
        stand.log("client 2: job lodge-4 in the background -> " + created.args(1).get(0));
        Stand.must(created.kind() == Gear.JOB_CREATED, "the background job is not accepted");
        second.close();
        Stand.thread("client-1", () -> {
            try {
                Gear.Packet end = first.read();
                stand.log("client 1: " + (end.kind() == Gear.WORK_COMPLETE ? "WORK_COMPLETE" : "packet " + end.kind()));
            } catch (IOException e) {
                stand.log("client 1: " + e.getMessage());
            }
        });
        Stand.pause(DEADLINE_MS + 2000);
        stand.log("server: " + Gear.line(port, "counters"));
        if (trouble) {
            stand.log("operator: undrain " + WORKER + " -> " + Gear.line(port, "undrain " + WORKER));
        }
        Stand.until(10_000, () -> runs.get() > 0);
        stand.log("runs of lodge-4: " + runs.get());
        return runs.get() > 0;
    }

    private static void worker(Stand stand, int port, AtomicInteger runs) {
        try (Gear worker = new Gear(port)) {
            worker.send(Gear.SET_CLIENT_ID, WORKER);
            worker.send(Gear.CAN_DO, FUNCTION);
            worker.send(Gear.GRAB_JOB_UNIQ);
            while (true) {
                Gear.Packet packet = worker.read();
                if (packet.kind() == Gear.NO_JOB) {
                    worker.send(Gear.PRE_SLEEP);
                } else if (packet.kind() == Gear.NOOP) {
                    worker.send(Gear.GRAB_JOB_UNIQ);
                } else if (packet.kind() == Gear.JOB_ASSIGN_UNIQ) {
                    stand.log(WORKER + ": runs " + packet.args(4).get(2));
                    runs.incrementAndGet();
                    Stand.pause(300);
                    worker.send(Gear.WORK_COMPLETE, packet.args(4).get(0), "done");
                    worker.send(Gear.GRAB_JOB_UNIQ);
                }
            }
        } catch (IOException e) {
            stand.log(WORKER + ": " + e.getMessage());
        }
    }
}
