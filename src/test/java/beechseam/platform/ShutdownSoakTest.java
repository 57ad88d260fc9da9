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
 * The whole program through lives that end by SIGTERM and, at the earliest that the platform allows, SIGKILL,
 * with SIGHUP between: clients go on asking on open connections up to the kill, executors answer, refuse,
 * hang and break off by a seed. Short deadlines bring the kill soon. {@code -Dsoak.seeds=A..B} plays others.
 */
class ShutdownSoakTest extends ProgramHarness {
    private static final long MS = 1_000_000L;
    private static final long DEADLINE_MS = 250;
    /** SIGKILL comes no sooner after SIGTERM. */
    private static final long KILL_MS = 700 + DEADLINE_MS;

    private static final long NEW_CONNECTIONS_MS = 400;
    private static final long LIFE_MS = 800;
    private static final int LIVES = 2;
    private static final int CLIENTS = 12;
    /** A close that follows a request so soon may have crossed it on its way. */
    private static final long CROSSING_MS = 40;
    /** An answer later than this after its time is no answer. */
    private static final long LATE_MS = 500;

    private static final long TIME_LEFT_SLACK_MS = 150;
    private static final String[] CLASSES = {"safe", "once", "keyed"};
    private static final Pattern REQUEST = Pattern.compile("(?s)(POST|DELETE) \\S+ HTTP/1.1\r\n(.*?)\r\n\r\n");
    private static final Pattern ID = Pattern.compile("X-Correlation-Id: (\\S+)");
    private static final Pattern TIME_LEFT = Pattern.compile("X-Time-Left: (\\d+)m");

    /** A turn of the rig takes less; what it takes more is no time that the program has used. */
    private static final long LONGEST_TURN_NS = 20 * MS;

    /** A request of a client, and what has become of its attempts. */
    private final class JobState {
        final String jobClass;
        final long sentAt = time();
        boolean forwarded;
        /** Attempts that have neither ended nor been given up. */
        int inFlight;

        JobState(String jobClass) {
            this.jobClass = jobClass;
        }

        long ageMs() {
            return (time() - sentAt) / MS;
        }
    }

    /** A client's connection with at most one request out. */
    private static final class Client {
        Peer peer;
        String asks;
        long restsUntil;
    }

    @TempDir
    private Path dir;

    private Random random;
    private final Map<String, JobState> requests = new HashMap<>();
    private final List<Client> clients = new ArrayList<>();
    private final List<Runnable> later = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();
    private int answered;
    private boolean accepting;
    private long killAt;
    private long turnedAt;
    private long stalledNs;

    static IntStream seeds() {
        String[] range = System.getProperty("soak.seeds", "1..12").split("\\.\\.");
        return IntStream.rangeClosed(Integer.parseInt(range[0]), Integer.parseInt(range[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyReadRequestIsAnsweredThroughShutdownsAndKills(int seed) throws Exception {
        random = new Random(seed);
        boolean crowd = seed % 4 == 0;
        String settings = SETTINGS.replace("60000000000,\"Effect\"", DEADLINE_MS * MS + ",\"Effect\"");
        for (int life = 0; life < LIVES; life++) {
            discovery.clear();
            configure(dir, discoveryAt, settings);
            Process program = startProgram(dir, "true", Map.of());
            try {
                live(program, crowd);
            } finally {
                program.destroyForcibly().waitFor();
            }
        }
        System.out.println("soak seed " + seed + ": " + requests.size() + " requests, " + answered + " answered, "
                + broken.size() + " breaks, the rig stood still for " + stalledNs / MS + " ms");
        assertEquals(List.of(), broken);
    }

    private void live(Process program, boolean crowd) throws Exception {
        answerListRequest(2, row("SERVING"));
        awaitReady();
        accepting = true;
        turnedAt = 0;
        clients.clear();
        IntStream.range(0, crowd ? 4 * CLIENTS : CLIENTS).forEach(i -> clients.add(new Client()));
        play(LIFE_MS);
        sendSighup(program);
        play(random.nextInt(100));
        killAt = System.nanoTime() + KILL_MS * MS;
        program.destroy(); // SIGTERM, with no process between
        play(random.nextInt((int) NEW_CONNECTIONS_MS - 200) + 200);
        accepting = false;
        sendSighup(program);
        play(KILL_MS - NEW_CONNECTIONS_MS); // at the earliest; the rest has passed in this or the play before
        while (program.isAlive() && System.nanoTime() < killAt) {
            play(1);
        }
        program.destroyForcibly().waitFor();
        for (Client client : clients) {
            if (client.asks != null && !client.peer.gone) {
                long ageMs = requests.get(client.asks).ageMs();
                broken.add(client.asks + " unanswered at the kill, " + ageMs + " ms old");
            }
        }
        later.clear();
    }

    private static void sendSighup(Process program) throws Exception {
        if (program.isAlive()) {
            new ProcessBuilder("kill", "-HUP", Long.toString(program.pid())).start();
        }
    }

    /** Time in which the rig has turned: this process may stand still as well, which is no client's time. */
    private long time() {
        return System.nanoTime() - stalledNs;
    }

    private void turned() {
        long now = System.nanoTime();
        if (turnedAt != 0 && now - turnedAt > LONGEST_TURN_NS) {
            stalledNs += now - turnedAt - LONGEST_TURN_NS;
        }
        turnedAt = now;
    }

    private void play(long durationMs) {
        for (long end = System.nanoTime() + durationMs * MS; System.nanoTime() < end; ) {
            net.settle(1);
            turned();
            clients.forEach(this::turn);
            executor.forEach(this::serve);
            List<Runnable> due = List.copyOf(later);
            later.clear();
            due.forEach(Runnable::run);
        }
    }

    private void at(long time, Runnable action) {
        later.add(() -> {
            if (System.nanoTime() >= time) {
                action.run();
            } else {
                at(time, action);
            }
        });
    }

    private void turn(Client client) {
        if (client.asks != null && client.peer.heard().contains("\r\n\r\n")) {
            JobState request = requests.get(client.asks);
            answered++;
            if (request.ageMs() > DEADLINE_MS + LATE_MS) {
                broken.add(client.asks + " answered after " + request.ageMs() + " ms");
            }
            client.asks = null;
            client.restsUntil = System.nanoTime() + random.nextInt(60) * MS;
            client.peer.take();
        }
        if (client.peer != null && client.peer.gone) {
            closed(client);
        }
        if (client.peer == null && accepting) {
            client.peer = client();
        }
        if (client.peer != null && client.asks == null && System.nanoTime() >= client.restsUntil) {
            sendRequest(client);
        }
    }

    private void closed(Client client) {
        JobState request = requests.get(client.asks);
        if (request != null && (request.forwarded || request.ageMs() > CROSSING_MS)) {
            broken.add(client.asks + " closed without an answer after " + request.ageMs() + " ms, forwarded: "
                    + request.forwarded);
        }
        client.asks = null;
        client.peer = null;
    }

    private void sendRequest(Client client) {
        String jobClass = CLASSES[random.nextInt(CLASSES.length)];
        client.asks = "r" + requests.size();
        requests.put(client.asks, new JobState(jobClass));
        client.peer.say("POST /" + jobClass + "/x HTTP/1.1\r\nX-Correlation-Id: " + client.asks
                + "\r\nX-Service-Class: " + jobClass + "\r\nX-Time-Left: " + DEADLINE_MS
                + "m\r\nIdempotency-Key: k" + requests.size() + "\r\nContent-Length: 4\r\n\r\nbody");
    }

    private void serve(Peer peer) {
        Matcher request = REQUEST.matcher(peer.heard());
        while (request.find()) {
            Matcher id = ID.matcher(request.group(2));
            if (!id.find() || request.group(1).equals("POST") && !peer.heard().endsWith("body")) {
                return;
            }
            peer.take();
            JobState job = requests.get(id.group(1));
            if (request.group(1).equals("DELETE")) {
                job.inFlight = 0;
                peer.say(answer("204 No Content", ""));
            } else {
                attempt(peer, id.group(1), job, request.group(2));
            }
            return;
        }
    }

    private void attempt(Peer peer, String id, JobState job, String headers) {
        Matcher left = TIME_LEFT.matcher(headers);
        long told = left.find() ? Long.parseLong(left.group(1)) : Long.MAX_VALUE;
        if (told > DEADLINE_MS - job.ageMs() + TIME_LEFT_SLACK_MS) {
            broken.add(id + " told to have " + told + " ms, " + job.ageMs() + " ms old");
        }
        if (job.inFlight > 0 && !peer.gone) {
            broken.add(id + " has a second attempt");
        }
        job.forwarded = true;
        job.inFlight++;
        int pick = random.nextInt(20);
        if (pick < 2) {
            job.inFlight--;
            peer.say("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        } else if (pick < 4) {
            job.inFlight--;
            peer.close();
        } else if (pick < 6) {
            job.inFlight = job.jobClass.equals("once") ? job.inFlight : 0; // hangs; a close gives it up
        } else {
            peer.say(answer("202 Accepted", ""));
            if (pick < 18) {
                at(
                        System.nanoTime() + random.nextInt(120) * MS,
                        () -> event(id, job, pick == 17 ? "returned" : "done"));
            }
        }
    }

    private void event(String id, JobState job, String state) {
        job.inFlight = 0;
        String members = "\"from\":\"s-0badcafe\",\"state\":\"" + state + "\",\"result\":\"ok\"";
        client().say(callback("Connection: close\r\n", id, members));
    }
}
