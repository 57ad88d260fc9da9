package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback.Peer;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that an upgrade can be cancelled under load: the new process of a node ends and the old one continues.
 * {@code -Dupgrades=N} cancels more than one.
 */
class CancelledUpgradeTest extends NodeHarness {
    private static final int CLIENTS = 48;
    private static final Pattern ATTEMPT =
            Pattern.compile("(?s)POST \\S+ HTTP/1.1\r\n.*?X-Correlation-Id: (\\S+).*body");

    private final Path directory = Files.createTempDirectory("cancelled");
    private final InetSocketAddress address = new InetSocketAddress("127.0.0.1", ProgramHarness.freePort());
    private final List<Peer> clients = new ArrayList<>();
    private final List<String> failures = new ArrayList<>();
    private final PlatformNode predecessor = startProcess();
    private int jobs;
    private int served;

    CancelledUpgradeTest() throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(null);
        }
    }

    @Override
    InetSocketAddress address() {
        return address;
    }

    static IntStream upgrades() {
        return IntStream.rangeClosed(1, Integer.getInteger("upgrades", 1));
    }

    /** Starts a process of the node and waits until it serves clients. */
    private PlatformNode startProcess() throws Exception {
        String members = "\"listen\":\"127.0.0.1:" + address.getPort() + "\",\"state_dir\":\"" + directory + "\",";
        PlatformNode started = new PlatformNode(
                net.loop, config(discoveryAt, members, SETTINGS.replace("60000000000,\"Eff", "250000000,\"Eff")));
        net.until("the process", () -> {
            for (Peer each : discovery) {
                if (each.receivedText().endsWith("\r\n\r\n")
                        && !each.receivedText().contains("wait_ms")) {
                    each.take();
                    each.send(answer("200 OK", list(2, row("SERVING"))));
                }
            }
            return started.status() == null;
        });
        return started;
    }

    /** Sends each client's next job on a new connection if it has its answer, and answers the executor's attempts. */
    private void advance(boolean sendsNext) {
        for (int i = 0; i < CLIENTS; i++) {
            Peer client = clients.get(i);
            if (client != null && (client.receivedText().contains("\r\n\r\n") || client.disconnected)) {
                String received = client.receivedText();
                if (received.startsWith("HTTP/1.1 200")) {
                    served++;
                } else {
                    failures.add(
                            received.isEmpty()
                                    ? "closed"
                                    : received.lines().findFirst().orElse("") + received);
                }
                client.close();
                clients.set(i, null);
            }
            if (clients.get(i) == null && sendsNext) {
                clients.set(i, sendJob("j" + jobs++, "safe", "250m"));
            }
        }
        for (Peer each : List.copyOf(executor)) {
            Matcher attempt = ATTEMPT.matcher(each.receivedText());
            if (attempt.matches()) {
                each.take();
                each.send(answer("202 Accepted", ""));
                client().send(callback(
                        "Connection: close\r\n",
                        attempt.group(1),
                        "\"from\":\"" + EXECUTOR_ID + "\",\"state\":\"done\",\"result\":\"ok\""));
            }
        }
    }

    private void runUntil(String awaited, boolean sendsNext, BooleanSupplier condition) {
        net.until(awaited, () -> {
            advance(sendsNext);
            return condition.getAsBoolean();
        });
    }

    /** Guards against requests lost or failed as the new process ends: it still accepted connections until then. */
    @ParameterizedTest
    @MethodSource("upgrades")
    void cancelledUpgradeLosesAndFailsNoRequest(int upgrade) throws Exception {
        PlatformNode successor = startProcess();
        int before = served;
        runUntil(
                "jobs at both processes",
                true,
                () -> served > before + CLIENTS
                        && successor.counters.served() > 0
                        && predecessor.counters.served() > 0);
        boolean[] ended = {false};
        successor.stop(() -> ended[0] = true);
        runUntil("the end of the new process", true, () -> ended[0]);
        int after = served;
        runUntil("jobs at the old process", true, () -> served > after + CLIENTS);
        runUntil("the last answers", false, () -> clients.stream().allMatch(each -> each == null));
        assertEquals(List.of(), failures, served + " served");
    }

    /** Guards against an address at which nobody listens when both processes end, whichever is first. */
    @Test
    void bothProcessesKeepListeningWhenBothStop() throws Exception {
        PlatformNode successor = startProcess();
        boolean[] ended = {false, false};
        successor.stop(() -> ended[0] = true);
        net.settle(50);
        predecessor.stop(() -> ended[1] = true);
        net.settle(50);
        Peer health = client().send("GET /_health HTTP/1.1\r\n\r\n");
        net.until("an answer of the node", () -> health.receivedText().contains("\r\n\r\n"));
        net.until("both ends", () -> ended[0] && ended[1]);
    }
}
