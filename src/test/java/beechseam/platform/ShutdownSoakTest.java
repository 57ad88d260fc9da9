package beechseam.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beechseam.Loopback.Peer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that the program answers every request it has read, although its process is stopped by SIGTERM and killed by
 * SIGKILL as early as the platform may do so, with SIGHUP in between. Clients go on sending requests on open
 * connections until the kill; executors accept, reject, hang and disconnect at random. Short deadlines keep the time
 * until the kill short. {@code -Dsoak.seeds=A..B} selects other seeds.
 */
class ShutdownSoakTest extends ProgramHarness {
    private static final long MS = 1_000_000L;
    private static final long DEADLINE_MS = 250;
    /** The shortest time from SIGTERM to SIGKILL. */
    private static final long KILL_MS = 700 + DEADLINE_MS;

    private static final long NEW_CONNECTIONS_MS = 400;
    private static final long SERVING_MS = 800;
    private static final int PROCESSES = 2;
    private static final int CLIENTS = 12;
    /** A close that arrives within this time after a request may have been sent before the request arrived. */
    private static final long CLOSE_RACE_MS = 40;
    /** A response that arrives later than this after its deadline is a violation. */
    private static final long LATE_MS = 500;

    private static final long TIME_LEFT_SLACK_MS = 150;
    private static final String[] CLASSES = {"safe", "once", "keyed"};
    private static final Pattern REQUEST = Pattern.compile("(?s)(POST|DELETE) \\S+ HTTP/1.1\r\n(.*?)\r\n\r\n");
    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\S+)");
    private static final Pattern TIME_LEFT = Pattern.compile("X-Time-Left: (\\d+)m");

    /** A turn of the test's loop takes less than this. Excess time is a stall of the test, not of the program. */
    private static final long MAX_TURN_NS = 20 * MS;

    /** A request of a client and the state of its attempts. */
    private final class JobState {
        final String jobClass;
        final long sentAt = elapsedNs();
        final long sentAtNs = System.nanoTime();
        final long stalledBeforeNs = stalledNs;
        boolean forwarded;
        /** Attempts that have neither ended nor been cancelled. */
        int inFlight;

        JobState(String jobClass) {
            this.jobClass = jobClass;
        }

        long ageMs() {
            return (elapsedNs() - sentAt) / MS;
        }
    }

    /** A client's connection with at most one open request. */
    private static final class Client {
        Peer peer;
        String openRequest;
        long idleUntil;
    }

    @TempDir
    private Path dir;

    private Random random;
    private final Map<String, JobState> requests = new HashMap<>();
    private final List<Client> clients = new ArrayList<>();
    private final List<Runnable> scheduled = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int answered;
    private boolean accepting;
    private long killAt;
    private long lastTurnAt;
    private long stalledNs;
    private LoopSchedule schedule;

    static IntStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1..12").split("\\.\\.");
        return IntStream.rangeClosed(Integer.parseInt(range[0]), Integer.parseInt(range[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyReadRequestIsAnsweredThroughShutdownsAndKills(int seed) throws Exception {
        random = new Random(seed);
        boolean manyClients = seed % 4 == 0;
        String settings = SETTINGS.replace("60000000000,\"Effect\"", DEADLINE_MS * MS + ",\"Effect\"");
        for (int i = 0; i < PROCESSES; i++) {
            discovery.clear();
            configure(dir, discoveryAt, settings);
            Process program = startProgram(dir, "true", Map.of());
            schedule = new LoopSchedule(program.pid());
            try {
                serveUntilKilled(program, manyClients);
            } finally {
                program.destroyForcibly().waitFor();
                schedule.close();
            }
        }
        System.out.println("soak seed " + seed + ": " + requests.size() + " requests, " + answered + " answered, "
                + violations.size() + " violations, the test stalled for " + stalledNs / MS + " ms");
        assertEquals(List.of(), violations);
    }

    private void serveUntilKilled(Process program, boolean manyClients) throws Exception {
        answerListRequest(2, row("SERVING"));
        awaitReady();
        accepting = true;
        lastTurnAt = 0;
        clients.clear();
        IntStream.range(0, manyClients ? 4 * CLIENTS : CLIENTS).forEach(i -> clients.add(new Client()));
        runFor(SERVING_MS);
        sendSighup(program);
        runFor(random.nextInt(100));
        killAt = System.nanoTime() + KILL_MS * MS;
        program.destroy(); // SIGTERM to the program itself
        runFor(random.nextInt((int) NEW_CONNECTIONS_MS - 200) + 200);
        accepting = false;
        sendSighup(program);
        runFor(KILL_MS - NEW_CONNECTIONS_MS); // the loop below waits for the kill
        while (program.isAlive() && System.nanoTime() < killAt) {
            runFor(1);
        }
        program.destroyForcibly().waitFor();
        for (Client client : clients) {
            if (client.openRequest != null && !client.peer.disconnected) {
                long ageMs = requests.get(client.openRequest).ageMs();
                violations.add(client.openRequest + " unanswered at the kill, " + ageMs + " ms old");
            }
        }
        scheduled.clear();
    }

    private static void sendSighup(Process program) throws Exception {
        if (program.isAlive()) {
            new ProcessBuilder("kill", "-HUP", Long.toString(program.pid())).start();
        }
    }

    /** The time without stalls of the test process, since clients did not wait for the program during these. */
    private long elapsedNs() {
        return System.nanoTime() - stalledNs;
    }

    private void recordTurn() {
        long now = System.nanoTime();
        if (lastTurnAt != 0 && now - lastTurnAt > MAX_TURN_NS) {
            stalledNs += now - lastTurnAt - MAX_TURN_NS;
        }
        lastTurnAt = now;
    }

    private void runFor(long durationMs) {
        for (long end = System.nanoTime() + durationMs * MS; System.nanoTime() < end; ) {
            net.settle(1);
            recordTurn();
            clients.forEach(this::advance);
            executor.forEach(this::respondAsExecutor);
            List<Runnable> due = List.copyOf(scheduled);
            scheduled.clear();
            due.forEach(Runnable::run);
        }
    }

    private void schedule(long time, Runnable action) {
        scheduled.add(() -> {
            if (System.nanoTime() >= time) {
                action.run();
            } else {
                schedule(time, action);
            }
        });
    }

    private void advance(Client client) {
        if (client.openRequest != null && client.peer.receivedText().contains("\r\n\r\n")) {
            JobState request = requests.get(client.openRequest);
            answered++;
            if (request.ageMs() > DEADLINE_MS + LATE_MS) {
                violations.add(client.openRequest + " answered after " + request.ageMs() + " ms");
            }
            client.openRequest = null;
            client.idleUntil = System.nanoTime() + random.nextInt(60) * MS;
            client.peer.take();
        }
        if (client.peer != null && client.peer.disconnected) {
            recordClose(client);
        }
        if (client.peer == null && accepting) {
            client.peer = client();
        }
        if (client.peer != null && client.openRequest == null && System.nanoTime() >= client.idleUntil) {
            sendRequest(client);
        }
    }

    private void recordClose(Client client) {
        JobState request = requests.get(client.openRequest);
        if (request != null && (request.forwarded || request.ageMs() > CLOSE_RACE_MS)) {
            violations.add(client.openRequest + " closed without an answer after " + request.ageMs()
                    + " ms, forwarded: " + request.forwarded);
        }
        client.openRequest = null;
        client.peer = null;
    }

    private void sendRequest(Client client) {
        String jobClass = CLASSES[random.nextInt(CLASSES.length)];
        client.openRequest = "r" + requests.size();
        requests.put(client.openRequest, new JobState(jobClass));
        client.peer.send("POST /" + jobClass + "/x HTTP/1.1\r\nX-Correlation-Id: " + client.openRequest
                + "\r\nX-Service-Class: " + jobClass + "\r\nX-Time-Left: " + DEADLINE_MS
                + "m\r\nIdempotency-Key: k" + requests.size() + "\r\nContent-Length: 4\r\n\r\nbody");
    }

    private void respondAsExecutor(Peer peer) {
        Matcher request = REQUEST.matcher(peer.receivedText());
        while (request.find()) {
            Matcher id = ID.matcher(request.group(2));
            if (!id.find()
                    || request.group(1).equals("POST") && !peer.receivedText().endsWith("body")) {
                return;
            }
            peer.take();
            JobState job = requests.get(id.group(1));
            if (request.group(1).equals("DELETE")) {
                job.inFlight = 0;
                peer.send(answer("204 No Content", ""));
            } else {
                handleAttempt(peer, id.group(1), job, request.group(2));
            }
            return;
        }
    }

    private void handleAttempt(Peer peer, String id, JobState job, String headers) {
        Matcher timeLeft = TIME_LEFT.matcher(headers);
        long timeLeftMs = timeLeft.find() ? Long.parseLong(timeLeft.group(1)) : Long.MAX_VALUE;
        if (timeLeftMs > DEADLINE_MS - job.ageMs() + TIME_LEFT_SLACK_MS) {
            violations.add(
                    id + " was sent with " + timeLeftMs + " ms left, " + job.ageMs() + " ms old; " + standstill(job));
        }
        if (job.inFlight > 0 && !peer.disconnected) {
            violations.add(id + " has a second attempt");
        }
        job.forwarded = true;
        job.inFlight++;
        int pick = random.nextInt(20);
        if (pick < 2) {
            job.inFlight--;
            peer.send("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        } else if (pick < 4) {
            job.inFlight--;
            peer.close();
        } else if (pick < 6) {
            job.inFlight = job.jobClass.equals("once") ? job.inFlight : 0; // hangs; other classes may be retried
        } else {
            peer.send(answer("202 Accepted", ""));
            if (pick < 18) {
                schedule(
                        System.nanoTime() + random.nextInt(120) * MS,
                        () -> event(id, job, pick == 17 ? "returned" : "done"));
            }
        }
    }

    /** Tells for how long each side stood still since a request was sent. */
    private String standstill(JobState job) {
        return "since it was sent the program's loop ran for " + schedule.ranMsSince(job.sentAtNs)
                + " ms and waited for a processor for " + schedule.waitedMsSince(job.sentAtNs)
                + " ms, the test stalled for " + (stalledNs - job.stalledBeforeNs) / MS + " ms";
    }

    private void event(String id, JobState job, String state) {
        job.inFlight = 0;
        String members = "\"from\":\"s-0badcafe\",\"state\":\"" + state + "\",\"result\":\"ok\"";
        client().send(callback("Connection: close\r\n", id, members));
    }
}
