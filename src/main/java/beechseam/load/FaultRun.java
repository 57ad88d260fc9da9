package beechseam.load;

import beechseam.core.Timer;
import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Runs misbehaving clients and workers, driven by a seed, against a server process and checks the accounts: every
 * job that the server accepted ended exactly once, no client received two results for a job, and no job of a
 * non-idempotent function ran twice.
 */
final class FaultRun implements AutoCloseable {
    static final String FUNCTIONS =
            "[{\"name\":\"safe\",\"effect\":\"safe\"},{\"name\":\"once\",\"effect\":\"unsafe\"},"
                    + "{\"name\":\"keyed\",\"effect\":\"keyed\",\"group\":\"all\",\"window_ms\":60000},"
                    + "{\"name\":\"short\",\"effect\":\"unsafe\",\"deadline_ms\":400}]";
    private static final String[] FUNCTION_NAMES = {"safe", "once", "keyed", "short"};
    private static final int CLIENTS = 20;
    private static final int WORKERS = 30;
    private static final long WAIT_TIMEOUT_NS = 60_000_000_000L;
    /** Steps of a full run. A shorter run scales the sizes of the bulk faults below in proportion. */
    private static final int FULL_RUN_STEPS = 20_000;

    private static final int JOBS_QUEUED_AT_WORKER_LOSS = 5_000;
    private static final int IDLE_CONNECTIONS = 2_000;
    private static final int JOBS_OF_NON_READING_CLIENT = 10_000;
    /** Time after an operator's drain from which the worker may be assigned no further job. */
    private static final long DRAIN_GRACE_NS = 300_000_000L;

    private static final byte[] EMPTY = {};

    private final ServerProcess server;
    private final Random random;
    private final EventLoop loop = new EventLoop();
    private final List<FaultyClient> clients = new ArrayList<>();
    private final List<FaultyWorker> workers = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> ranAgain = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private boolean faultsDisabled;
    private int workersCreated;
    private int submitted;
    private int workersLost;
    private int clientsLeft;
    private int drains;
    private String drainedWorker;
    private long drainedAtNs;

    FaultRun(ServerProcess server, long seed) throws IOException {
        this.server = server;
        random = new Random(seed);
    }

    /** Submits jobs, disconnects at random, and records each result that it receives. */
    private class FaultyClient extends Speaker {
        final Set<String> unanswered = new HashSet<>();
        private final Set<String> ended = new HashSet<>();
        /** For each submission without a JOB_CREATED or ERROR yet, in order, whether it is a foreground job. */
        private final ArrayList<Boolean> isForeground = new ArrayList<>();

        FaultyClient() throws IOException {
            super(FaultRun.this.loop, server.address);
        }

        void submit() {
            String function = FUNCTION_NAMES[random.nextInt(FUNCTION_NAMES.length)];
            String key = function.equals("keyed") || random.nextInt(4) == 0 ? "k" + random.nextInt(2000) : "";
            int pick = random.nextInt(12);
            submitted++;
            isForeground.add(pick < 8);
            byte[] load = new byte[random.nextInt(50) == 0 ? 20_000 : 20];
            switch (pick) {
                case 8 -> sendPacket(Packet.SUBMIT_JOB_BG, function, key, load);
                case 9 -> sendPacket(Packet.SUBMIT_JOB_HIGH_BG, function, key, load);
                case 10 ->
                    sendPacket(Packet.SUBMIT_JOB_EPOCH, function, key, System.currentTimeMillis() / 1000 + 1, load);
                case 11 -> sendPacket(Packet.SUBMIT_REDUCE_JOB_BACKGROUND, function, key, "r", load);
                case 0 -> sendPacket(Packet.SUBMIT_JOB_HIGH, function, key, load);
                case 1 -> sendPacket(Packet.SUBMIT_JOB_LOW, function, key, load);
                default -> sendPacket(Packet.SUBMIT_JOB, function, key, load);
            }
        }

        @Override
        public void packet(Packet kind, Arguments args) {
            switch (kind) {
                case JOB_CREATED -> {
                    if (isForeground.remove(0) && !ended.contains(args.text(0))) {
                        unanswered.add(args.text(0));
                    }
                }
                case WORK_COMPLETE, WORK_FAIL -> {
                    String handle = args.text(0);
                    unanswered.remove(handle);
                    if (!ended.add(handle)) {
                        violations.add("two ends of " + handle);
                    }
                }
                case ERROR -> {
                    isForeground.remove(0);
                    violations.add(error(args));
                }
                default -> {}
            }
        }

        @Override
        protected void lost(IOException why) {
            violations.add("a client was cut off: " + why.getMessage());
        }
    }

    /** Grabs jobs and then completes, fails, delays, abandons or overlaps them at random. */
    private final class FaultyWorker extends Speaker {
        private final String name = "w" + ++workersCreated % WORKERS;
        private boolean disconnectScheduled;

        FaultyWorker() throws IOException {
            super(FaultRun.this.loop, server.address);
            sendPacket(Packet.SET_CLIENT_ID, name);
            for (String each : FUNCTION_NAMES) {
                if (faultsDisabled || random.nextInt(4) > 0) {
                    if (!faultsDisabled && random.nextInt(4) == 0) {
                        sendPacket(Packet.CAN_DO_TIMEOUT, each, "1");
                    } else {
                        sendPacket(Packet.CAN_DO, each);
                    }
                }
            }
            sendPacket(Packet.GRAB_JOB);
        }

        @Override
        public void packet(Packet kind, Arguments args) {
            switch (kind) {
                case NO_JOB -> sendPacket(Packet.PRE_SLEEP);
                case NOOP -> {
                    if (faultsDisabled || random.nextInt(40) > 0) { // otherwise it ignores the wake-up for 1.5 s
                        sendPacket(Packet.GRAB_JOB);
                    } else {
                        after(1500, () -> sendPacket(Packet.GRAB_JOB));
                    }
                }
                case JOB_ASSIGN -> run(args.text(0), args.text(1));
                default -> {}
            }
        }

        private void run(String handle, String function) {
            if (name.equals(drainedWorker) && System.nanoTime() - drainedAtNs > DRAIN_GRACE_NS) {
                violations.add("a drained worker was given " + handle);
            }
            int times = runs.merge(handle, 1, Integer::sum);
            if (times > 1) {
                ranAgain.add(handle);
                if (function.equals("once") || function.equals("short")) {
                    violations.add(handle + " of " + function + " ran " + times + " times");
                }
            }
            int pick = faultsDisabled ? 0 : random.nextInt(100);
            if (pick < 55) {
                end(Packet.WORK_COMPLETE, handle, EMPTY);
            } else if (pick < 75) {
                after(1 + random.nextInt(20), () -> end(Packet.WORK_COMPLETE, handle, EMPTY));
            } else if (pick < 80) {
                end(Packet.WORK_FAIL, handle);
            } else if (pick < 84) {
                sendPacket(Packet.WORK_EXCEPTION, handle, "no end follows");
                sendPacket(Packet.GRAB_JOB);
            } else if (pick < 88) {
                sendPacket(Packet.WORK_DATA, handle, new byte[30_000]);
                sendPacket(Packet.WORK_STATUS, handle, "1", "2");
                end(Packet.WORK_COMPLETE, handle, new byte[10_000]);
            } else if (pick < 92) {
                // ends after the CAN_DO_TIMEOUT of the worker or the deadline of the job
                after(1200, () -> end(Packet.WORK_COMPLETE, handle, EMPTY));
            } else if (pick < 96) {
                sendPacket(Packet.GRAB_JOB); // grabs a second job while this one runs
                after(30, () -> end(Packet.WORK_COMPLETE, handle, EMPTY));
            } else if (!disconnectScheduled) {
                disconnectScheduled = true;
                after(random.nextInt(10), this::disconnectAndReplace);
            }
        }

        private void end(Packet kind, Object... args) {
            sendPacket(kind, args);
            sendPacket(Packet.GRAB_JOB);
        }

        private void after(long ms, Runnable action) {
            loop.timers.set(
                    new Timer() {
                        @Override
                        protected void fire() {
                            if (!closed()) {
                                action.run();
                            }
                        }
                    },
                    loop.now() + ms * 1_000_000L);
        }

        void disconnectAndReplace() {
            workersLost++;
            close();
            workers.remove(this);
            try {
                workers.add(new FaultyWorker());
            } catch (IOException e) {
                violations.add(e.getMessage());
            }
        }

        @Override
        protected void lost(IOException why) {
            violations.add("a worker was cut off: " + why.getMessage());
        }
    }

    private void turnUntil(String what, BooleanSupplier holds) throws IOException {
        for (long end = System.nanoTime() + WAIT_TIMEOUT_NS; !holds.getAsBoolean(); ) {
            if (System.nanoTime() > end) {
                violations.add("in vain: " + what);
                return;
            }
            loop.turn(5_000_000L);
        }
    }

    /** Runs the steps and returns the accounts; "wrong" counts violations, "first_wrong" describes the first. */
    Map<String, Object> play(int steps) throws IOException, InterruptedException {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new FaultyClient());
        }
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new FaultyWorker());
        }
        double share = Math.min(1, steps / (double) FULL_RUN_STEPS);
        for (int step = 0; step < steps; step++) {
            step();
            if (step == steps / 4) {
                disconnectAllWorkers((int) (JOBS_QUEUED_AT_WORKER_LOSS * share));
            } else if (step == steps / 2) {
                submitWithoutReading((int) (JOBS_OF_NON_READING_CLIENT * share));
            } else if (step == steps * 3 / 4) {
                openIdleConnections((int) (IDLE_CONNECTIONS * share));
            }
        }
        drain(null);
        faultsDisabled = true;
        for (int i = 0; i < 4; i++) {
            workers.add(new FaultyWorker());
        }
        long[] asked = {0};
        turnUntil("all jobs to end", () -> {
            if (System.nanoTime() - asked[0] < 100_000_000L) {
                return false;
            }
            asked[0] = System.nanoTime();
            return server.figure("alive") == 0;
        });
        turnUntil("what clients are owed", () -> clients.stream().allMatch(c -> c.unanswered.isEmpty()));
        Map<String, Object> accounts = new LinkedHashMap<>();
        accounts.put("submitted", submitted);
        for (String each : new String[] {"accepted", "served", "shed", "failed", "left", "cancelled", "lost"}) {
            accounts.put(each, server.figure(each));
        }
        long ended = accounts.entrySet().stream()
                .skip(2)
                .mapToLong(e -> (Long) e.getValue())
                .sum();
        accounts.put("ended", ended);
        accounts.put("ran_again", ranAgain.size());
        accounts.put("workers_lost", workersLost);
        accounts.put("clients_left", clientsLeft);
        accounts.put("drains", drains);
        stopInFlight();
        if (ended != (Long) accounts.get("accepted")) {
            violations.add("accepted " + accounts.get("accepted") + ", ended " + ended);
        }
        accounts.put("wrong", violations.size());
        if (!violations.isEmpty()) {
            accounts.put("first_wrong", violations.get(0));
        }
        return accounts;
    }

    /** Queues {@code queued} jobs, then disconnects all workers at once. */
    private void disconnectAllWorkers(int queued) throws IOException {
        for (int i = 0; i < queued; i++) {
            clients.get(i % CLIENTS).submit();
        }
        turnUntil("the queue to fill", () -> clients.stream().allMatch(c -> c.isForeground.isEmpty()));
        List.copyOf(workers).forEach(FaultyWorker::disconnectAndReplace);
    }

    /** Submits {@code jobs} jobs from a client that never reads its results; the server may disconnect it. */
    private void submitWithoutReading(int jobs) throws IOException {
        FaultyClient client = new FaultyClient() {
            @Override
            protected void lost(IOException why) {
                clientsLeft++; // the server may disconnect a client that does not read
            }
        };
        client.pauseReading(true);
        for (int i = 0; i < jobs; i++) {
            client.submit();
        }
        long end = System.nanoTime() + 2_000_000_000L;
        turnUntil("others to be served meanwhile", () -> System.nanoTime() > end);
        client.close();
    }

    /** Opens {@code count} connections at once and closes them without sending anything. */
    private void openIdleConnections(int count) throws IOException {
        List<Speaker> connections = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            connections.add(new FaultyClient());
            loop.turn(0);
        }
        turnUntil("them to come up", () -> connections.stream().noneMatch(Speaker::connecting));
        connections.forEach(Speaker::close);
    }

    /** Ends the current drain, then drains the workers with that client id unless {@code name} is null. */
    private void drain(String name) {
        if (drainedWorker != null) {
            server.sendAdminLine("undrain " + drainedWorker);
        }
        drainedWorker = null;
        if (name != null) {
            drains++;
            server.sendAdminLine("drain " + name);
            drainedAtNs = System.nanoTime();
            drainedWorker = name;
        }
    }

    private void step() throws IOException {
        int pick = random.nextInt(100);
        FaultyClient c = clients.get(random.nextInt(CLIENTS));
        if (pick < 90) {
            for (int i = random.nextInt(8); i >= 0; i--) {
                c.submit();
            }
        } else if (pick < 93) {
            clientsLeft++;
            c.close();
            clients.set(clients.indexOf(c), new FaultyClient());
        } else if (pick < 96) {
            workers.get(random.nextInt(workers.size())).disconnectAndReplace();
        } else if (pick == 96 && random.nextInt(5) == 0) { // all workers at once
            List.copyOf(workers).forEach(FaultyWorker::disconnectAndReplace);
        } else if (pick == 97) { // possibly while a job is retried
            drain("w" + random.nextInt(WORKERS));
        } else {
            for (int i = 0; i < 20; i++) { // connections that close without sending anything
                Speaker connection = new FaultyClient();
                loop.turn(0);
                connection.close();
            }
        }
        loop.turn(1_000_000L);
    }

    /** Sends SIGTERM while jobs are queued and running: the server must answer every foreground job and exit. */
    private void stopInFlight() throws IOException, InterruptedException {
        for (FaultyClient c : clients) {
            for (int i = 0; i < 20; i++) {
                c.submit();
            }
        }
        long endNs = System.nanoTime() + 200_000_000L;
        turnUntil("a moment", () -> System.nanoTime() > endNs);
        Thread stopping = new Thread(() -> {
            try {
                server.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        violations.removeIf(w -> w.contains("cut off"));
        int before = violations.size();
        stopping.start();
        turnUntil("the server to end", () -> !stopping.isAlive());
        violations.subList(before, violations.size()).removeIf(w -> w.contains("cut off") || w.contains("stopping"));
        for (FaultyClient c : clients) {
            if (!c.unanswered.isEmpty()) {
                violations.add("the server ended and owes " + c.unanswered.size() + " answers");
            }
        }
        String last = server.lastLine();
        if (!last.contains("\"alive\":0,")) {
            violations.add("at its end: " + last);
        }
    }

    @Override
    public void close() throws IOException {
        clients.forEach(Speaker::close);
        workers.forEach(Speaker::close);
        loop.stop();
        loop.run(); // closes the selector
    }
}
