import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** An upgrade during which an operator takes a second executor out of service at the new process's console. */
final class UpgradeCall {
    private static final int EXECUTORS = 4;

    private UpgradeCall() {}

    public static void main(String[] args) throws IOException {
        Stand.run(args, UpgradeCall::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        List<Plat.Executor> executors = new ArrayList<>();
        for (int i = 1; i <= EXECUTORS; i++) {
            executors.add(new Plat.Executor(stand, "s-0000000" + i, port, false));
        }
        Plat.Executor out = executors.get(0);
        Plat.Discovery discovery = new Plat.Discovery(executors);
        int oldConsole = Stand.freePort();
        int newConsole = Stand.freePort();
        node(stand, "old", port, discovery, oldConsole);
        Stand.must(Stand.until(20_000, () -> Plat.health(port) == 200), "the old process is not ready");
        say(stand, oldConsole, "old", "maint-on " + out.id, true);
        int before = out.taken;
        jobs(stand, port, "a", 12);
        Stand.must(out.taken == before, "maintenance has no effect without an upgrade");

        if (trouble) {
            stand.log("discovery is silent");
            discovery.silent = true;
        }
        Process successor = node(stand, "new", port, discovery, newConsole);
        Stand.must(Stand.until(20_000, () -> Stand.listens(newConsole)), "the new console does not listen");
        if (trouble) {
            say(stand, newConsole, "new", "status", false);
            say(stand, newConsole, "new", "maint-on " + executors.get(1).id, true);
            Stand.pause(500);
            stand.log("discovery answers again");
            discovery.silent = false;
        }
        Stand.must(
                Stand.until(10_000, () -> Stand.call(newConsole, "status").equals("OK")), "the new process is not ready");
        stand.log("new: status -> OK");
        if (!trouble) {
            say(stand, newConsole, "new", "maint-on " + executors.get(1).id, true);
        }
        before = out.taken;
        stand.log("SIGTERM to the old process");
        stand.signal("old", "TERM");
        Stand.must(Stand.until(10_000, () -> !stand.alive("old")), "the old process does not end");
        stand.log("the old process has ended");
        jobs(stand, port, "b", 24);
        Stand.must(successor.isAlive(), "the new process has ended");
        stand.log("jobs that " + out.id + " got in maintenance: " + (out.taken - before));
        stand.logOf("new", 12);
        return out.taken == before;
    }

    private static Process node(Stand stand, String name, int port, Plat.Discovery discovery, int console)
            throws IOException {
        String config = Plat.config(
                port, discovery.port, console, 1024, discovery.list(), Plat.settings(Plat.limits(true, false)));
        return stand.start(
                name, "", Map.of("PROXY_CONFIG", stand.file(name + ".json", config).toString()));
    }

    private static void say(Stand stand, int console, String process, String call, boolean ok) {
        String answer = Stand.call(console, call);
        stand.log(process + ": " + call + " -> " + answer);
        Stand.must(!ok || answer.equals("OK"), "the call is not answered with OK");
    }

    /** One job after the other, each on a connection of its own. */
    private static void jobs(Stand stand, int port, String name, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            try (Stand.Http http = Plat.client(port, 7000)) {
                Stand.Message answer = Plat.job(http, name + i, 5000, "", new byte[20]);
                stand.log("client: job " + name + i + " -> " + (answer == null ? "no answer" : answer.first()));
            }
        }
    }
}
