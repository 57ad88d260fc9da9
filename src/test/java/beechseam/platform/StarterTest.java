package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.Loopback.Peer;
import java.io.File;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The whole program under what its starter has set: a limit of descriptors, a signal that is ignored. */
class StarterTest extends NodeRig {
    private static final int LIMIT = 256;

    private InetSocketAddress node;

    @Override
    InetSocketAddress address() {
        return node;
    }

    private static int freePort() {
        try (Loopback net = new Loopback()) {
            return net.standIn(new ArrayList<>()).getPort();
        }
    }

    private Process serve(Path dir, String before) throws Exception {
        ProcessBuilder builder = new ProcessBuilder("bash", "-c", before
            + "; exec \"$0\" -cp \"$1\" beechseam.cli.Main serve --config \"$2\"",
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            System.getProperty("java.class.path"), dir.resolve("config.json").toString());
        builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
        return builder.redirectErrorStream(true).redirectOutput(dir.resolve("log").toFile()).start();
    }

    private void configure(Path dir, InetSocketAddress discoveryAt) throws Exception {
        Files.writeString(dir.resolve("config.json"), "{\"listen\":\"127.0.0.1:" + node.getPort()
            + "\",\"discovery\":\"127.0.0.1:" + discoveryAt.getPort() + "\",\"limits\":{\"sockets\":" + LIMIT
            + "},\"known\":" + list(1, row("SERVING")) + ",\"settings\":" + SETTINGS + "}");
    }

    /** As under nohup: SIGHUP reaches nobody, and discovery has moved all the same. */
    @Test
    void aMoveOfDiscoveryIsFoundWhereSighupIsIgnored(@TempDir Path dir) throws Exception {
        node = new InetSocketAddress("127.0.0.1", freePort());
        configure(dir, discoveryAt);
        Process serving = serve(dir, "trap '' HUP");
        try {
            net.until("a call", () -> !discovery.isEmpty()
                && discovery.get(0).heard().endsWith("\r\n\r\n"));
            discovery.get(0).say(answer("200 OK", list(41, row("SERVING"))));
            net.until("the watch", () -> discovery.get(0).heard().contains("after=41&"));
            List<Peer> moved = new ArrayList<>();
            configure(dir, net.standIn(moved));
            String pid = Long.toString(serving.pid());
            assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
            net.settle(300);
            assertTrue(moved.isEmpty(), "nobody heard the signal");
            discovery.get(0).close();
            net.until("the whole list asked for there", () -> moved.size() > 0
                && moved.get(0).heard().startsWith("GET /catalog/members HTTP/1.1"));
            assertTrue(serving.isAlive());
            String said = Files.readString(dir.resolve("log"));
            assertTrue(said.contains("SIGHUP is ignored by who started this program"), said);
        } finally {
            serving.destroyForcibly();
        }
    }

    /** Room for discovery's calls and for attempts is not lent to clients, however many there are. */
    @Test
    void idleClientsMayFillTheDescriptorsWhileDiscoveryIsDown(@TempDir Path dir) throws Exception {
        node = new InetSocketAddress("127.0.0.1", freePort());
        configure(dir, discoveryAt);
        Process serving = serve(dir, "ulimit -n " + LIMIT);
        try {
            Peer[] health = {null};
            net.until("ready by the list as held", () -> {
                if (health[0] == null || health[0].gone || health[0].heard().endsWith("not ready\n")) {
                    net.settle(50);
                    health[0] = client().say("GET /_health HTTP/1.1\r\n\r\n");
                }
                return health[0].heard().startsWith("HTTP/1.1 200");
            });
            File open = new File("/proc/" + serving.pid() + "/fd");
            int[] most = {0};
            List<Peer> crowd = new ArrayList<>();
            for (int i = 0; i < 600; i++) {
                Peer each = client();
                crowd.add(i % 3 == 0 ? each : each.say("GET /_health HTTP/1.1\r\n\r\n")); // or says nothing
                if (i % 20 == 0) {
                    net.settle(2);
                }
                String[] files = open.list();
                most[0] = Math.max(most[0], files == null ? 0 : files.length);
            }
            int calls = discovery.size();
            net.until("further calls to discovery", () -> discovery.size() > calls + 10);
            Peer job = ask("c1", "safe", "30000m");
            attempt(0, "c1").say(answer("202 Accepted", ""));
            done("c1", "through");
            assertTrue(heard(job, "through").startsWith("HTTP/1.1 200"));
            Peer back = discovery.get(discovery.size() - 1); // discovery is back, and answers the newest call
            net.until("its call", () -> back.heard().endsWith("\r\n\r\n"));
            back.take();
            back.say(answer("200 OK", list(9, row("SERVING"))));
            net.until("the watch", () -> back.heard().contains("after=9&"));
            System.out.println("descriptors at most " + most[0] + " of " + LIMIT);
            assertTrue(most[0] <= LIMIT, "" + most[0]);
            String said = Files.readString(dir.resolve("log"));
            assertFalse(said.contains("Too many open files"), said);
            assertTrue(crowd.stream().anyMatch(each -> each.gone), "the crowd was larger than the room");
        } finally {
            serving.destroyForcibly();
        }
    }
}
