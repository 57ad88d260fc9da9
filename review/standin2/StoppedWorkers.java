import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A mod_jk file with a stopped and a disabled worker is imported, and a node is driven by the list. */
final class StoppedWorkers {
    private static final String[] NAMES = {"active", "stopped", "disabled"};

    private StoppedWorkers() {}

    public static void main(String[] args) throws IOException {
        Stand.run(args, StoppedWorkers::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        List<Plat.Executor> executors = new ArrayList<>();
        for (String name : NAMES) {
            executors.add(new Plat.Executor(stand, name, port, true));
        }
        StringBuilder file = new StringBuilder("worker.list=lender\nworker.lender.type=lb\n"
                + "worker.lender.balance_workers=" + String.join(",", NAMES) + "\n");
        for (int i = 0; i < NAMES.length; i++) {
            file.append("worker." + NAMES[i] + ".type=ajp13\nworker." + NAMES[i] + ".host=127.0.0.1\nworker." + NAMES[i]
                    + ".port=" + executors.get(i).port + "\n");
        }
        // Both pairs of directives say the same; the first is the older form.
        file.append(
                trouble
                        ? "worker.stopped.stopped=1\nworker.disabled.disabled=1\n"
                        : "worker.stopped.activation=Stopped\nworker.disabled.activation=Disabled\n");
        file.toString().lines().forEach(line -> stand.log("workers.properties | " + line));
        List<String> printed = stand.runToEnd(
                "import",
                List.of(
                        "java",
                        "-jar",
                        stand.root.resolve("target/beechseam.jar").toString(),
                        "import",
                        "--form",
                        "modjk",
                        stand.file("workers.properties", file.toString()).toString()),
                30);
        printed.forEach(line -> stand.log("import | " + line));
        String list = String.join("\n", printed.stream().filter(line -> !line.startsWith("beechseam:")).toList());
        if (trouble && !list.startsWith("{")) {
            stand.log("the import refuses the file, and no worker becomes live");
            return true;
        }
        Stand.must(list.startsWith("{"), "the import prints no list");
        for (Plat.Executor each : executors) {
            Matcher entry = Pattern.compile("\"id\" : \"([^\"]+)\",\\s+\"addr\" : \"127.0.0.1:" + each.port + "\"")
                    .matcher(list);
            each.id = entry.find() ? entry.group(1) : each.id;
        }
        Plat.Discovery discovery = new Plat.Discovery(List.of());
        discovery.given = list;
        String config =
                Plat.config(port, discovery.port, 0, 1024, list, Plat.settings(Plat.limits(true, false)));
        stand.start("node", "", Map.of("PROXY_CONFIG", stand.file("config.json", config).toString()));
        Stand.must(Stand.until(20_000, () -> Plat.health(port) == 200), "the node is not ready");
        int served = 0;
        for (int i = 0; i < 40; i++) {
            try (Stand.Http http = Plat.client(port, 7000)) {
                Stand.Message answer = Plat.job(http, "j" + i, 5000, "", new byte[20]);
                served += answer != null && answer.status() == 200 ? 1 : 0;
            }
        }
        boolean held = true;
        for (int i = 0; i < NAMES.length; i++) {
            stand.log("jobs that worker " + NAMES[i] + " (" + executors.get(i).id + ") got: " + executors.get(i).taken);
            held &= i == 0 || executors.get(i).taken == 0;
        }
        stand.log("jobs served: " + served + " of 40");
        Stand.must(executors.get(0).taken > 0, "the active worker got no job");
        return held;
    }
}
