import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** Upgrades that are cancelled by SIGTERM to the new process, under clients that open a connection for each job. */
final class CancelledUpgrade {
    private static final int UPGRADES = 8;
    private static final int CLIENTS = 24;
    /** The whole job was written, and then the connection was reset, or no answer came for two seconds after its time. */
    private static final String LOST = "lost";

    private final Stand stand;
    private final int port;
    private final Map<String, Integer> ends = new TreeMap<>();
    private volatile boolean ended;

    private CancelledUpgrade(Stand stand, int port) {
        this.stand = stand;
        this.port = port;
    }

    public static void main(String[] args) throws IOException {
        Stand.run(args, CancelledUpgrade::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        List<Plat.Executor> executors = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            executors.add(new Plat.Executor(stand, "s-0000000" + i, port, true));
            executors.get(i - 1).runMs = 40;
        }
        Plat.Discovery discovery = new Plat.Discovery(executors);
        node(stand, "old", port, discovery, Stand.freePort());
        Stand.must(Stand.until(20_000, () -> Plat.health(port) == 200), "the old process is not ready");
        CancelledUpgrade play = new CancelledUpgrade(stand, port);
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            Stand.thread(name, () -> play.client(name));
        }
        Stand.pause(2000);
        stand.log("before the upgrades: " + play.ends());
        for (int i = 1; i <= UPGRADES && play.lost() == 0; i++) {
            String name = "new" + i;
            int console = Stand.freePort();
            node(stand, name, port, discovery, console);
            Stand.must(
                    Stand.until(10_000, () -> Stand.call(console, "status").equals("OK")), name + " is not ready");
            stand.log(name + ": status -> OK");
            Stand.pause(1000);
            if (trouble) {
                stand.log("SIGTERM to " + name + ", which cancels the upgrade");
                stand.signal(name, "TERM");
                Stand.until(8000, () -> !stand.alive(name));
                stand.log(name + (stand.alive(name) ? " still runs" : " has ended") + "; jobs by end: " + play.ends());
            } else {
                Stand.pause(5000); // the new process stays beside the old one
                break;
            }
        }
        Stand.pause(1500);
        play.ended = true;
        Stand.pause(1500);
        stand.log("jobs by end: " + play.ends());
        Stand.must(stand.alive("old"), "the old process has ended");
        Stand.must(play.served() > 0, "no job was served");
        return play.lost() == 0;
    }

    private static void node(Stand stand, String name, int port, Plat.Discovery discovery, int console)
            throws IOException {
        String config = Plat.config(
                port, discovery.port, console, 1024, discovery.list(), Plat.settings(Plat.limits(true, false)));
        stand.start(
                name, "", Map.of("PROXY_CONFIG", stand.file(name + ".json", config).toString()));
    }

    private String ends() {
        synchronized (ends) {
            return ends.toString();
        }
    }

    private int lost() {
        synchronized (ends) {
            return ends.getOrDefault(LOST, 0);
        }
    }

    private int served() {
        synchronized (ends) {
            return ends.getOrDefault("answered 200", 0);
        }
    }

    private void count(String end) {
        synchronized (ends) {
            ends.merge(end, 1, Integer::sum);
        }
    }

    private void client(String name) {
        Random random = new Random(name.hashCode());
        for (int i = 0; !ended; i++) {
            String job = name + "-" + i;
            String end = "not connected";
            Stand.Http http = null;
            try {
                http = Plat.client(port, 7000);
                end = "the connection ended before the whole request was written";
                http.send(
                        "POST /afford-check?key=k" + job + " HTTP/1.1",
                        "Host: app.svc\r\nConnection: close\r\nX-Correlation-Id: " + job
                                + "\r\nX-Service-Class: afford-check\r\nX-Time-Left: 5000m\r\n",
                        new byte[100]);
                end = LOST;
                Stand.Message answer = http.read();
                // A plain close may have crossed the job, which may then be sent again.
                end = answer == null ? "closed" : "answered " + answer.status();
            } catch (IOException e) {
                stand.log(job + ": " + end + ": " + e.getMessage());
            }
            if (http != null) {
                http.close();
            }
            count(end);
            Stand.pause(random.nextInt(40));
        }
    }
}
