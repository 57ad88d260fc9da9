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
 * Clients and workers that do everything wrong, by a seed, against a server process; and the accounts of it:
 * every job that the server took has ended once, no client was told two ends, and nothing of an unsafe
 * function ran twice.
 */
final class FaultRun implements AutoCloseable {
    static final String FUNCTIONS =
            "[{\"name\":\"safe\",\"effect\":\"safe\"},{\"name\":\"once\",\"effect\":\"unsafe\"},"
                    + "{\"name\":\"keyed\",\"effect\":\"keyed\",\"group\":\"all\",\"window_ms\":60000},"
                    + "{\"name\":\"short\",\"effect\":\"unsafe\",\"deadline_ms\":400}]";
    private static final String[] NAMES = {"safe", "once", "keyed", "short"};
    private static final int CLIENTS = 20;
    private static final int WORKERS = 30;
    private static final long PATIENCE_NS = 60_000_000_000L;
    /** What the crowds of the hard cases come to in a full run; a shorter run has its share of them. */
    private static final int FULL_RUN = 20_000;

    private static final int QUEUED_AT_THE_LOSS = 5_000;
    private static final int SILENT = 2_000;
    private static final int DUE_TO_THE_DEAF = 10_000;
    /** After an operator's drain nothing new may come later than this. */
    private static final long DRAIN_GRACE_NS = 300_000_000L;

    private static final byte[] EMPTY = {};

    private final ServerProcess server;
    private final Random random;
    private final EventLoop loop = new EventLoop();
    private final List<FaultyClient> clients = new ArrayList<>();
    private final List<FaultyWorker> workers = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Set<String> twice = new HashSet<>();
    private final List<String> wrong = new ArrayList<>();
    private boolean calm;
    private int named;
    private int submitted;
    private int dropped;
    private int left;
    private int drains;
    private String drained;
    private long drainedAt;

    FaultRun(ServerProcess server, long seed) throws IOException {
        this.server = server;
        random = new Random(seed);
    }

    /** Submits, leaves, and notes each end that it is told. */
    private class FaultyClient extends Speaker {
        final Set<String> owed = new HashSet<>();
        private final Set<String> ended = new HashSet<>();
        private final ArrayList<Boolean> waits = new ArrayList<>();

        FaultyClient() throws IOException {
            super(FaultRun.this.loop, server.address);
        }

        void submit() {
            String function = NAMES[random.nextInt(NAMES.length)];
            String key = function.equals("keyed") || random.nextInt(4) == 0 ? "k" + random.nextInt(2000) : "";
            int pick = random.nextInt(12);
            submitted++;
            waits.add(pick < 8);
            byte[] load = new byte[random.nextInt(50) == 0 ? 20_000 : 20];
            switch (pick) {
                case 8 -> say(Packet.SUBMIT_JOB_BG, function, key, load);
                case 9 -> say(Packet.SUBMIT_JOB_HIGH_BG, function, key, load);
                case 10 -> say(Packet.SUBMIT_JOB_EPOCH, function, key, System.currentTimeMillis() / 1000 + 1, load);
                case 11 -> say(Packet.SUBMIT_REDUCE_JOB_BACKGROUND, function, key, "r", load);
                case 0 -> say(Packet.SUBMIT_JOB_HIGH, function, key, load);
                case 1 -> say(Packet.SUBMIT_JOB_LOW, function, key, load);
                default -> say(Packet.SUBMIT_JOB, function, key, load);
            }
        }

        @Override
        public void packet(Packet kind, Arguments args) {
            switch (kind) {
                case JOB_CREATED -> {
                    if (waits.remove(0) && !ended.contains(args.text(0))) {
                        owed.add(args.text(0));
                    }
                }
                case WORK_COMPLETE, WORK_FAIL -> {
                    String handle = args.text(0);
                    owed.remove(handle);
                    if (!ended.add(handle)) {
                        wrong.add("two ends of " + handle);
                    }
                }
                case ERROR -> {
                    waits.remove(0);
                    wrong.add(error(args));
                }
                default -> {}
            }
        }

        @Override
        protected void lost(IOException why) {
            wrong.add("a client was cut off: " + why.getMessage());
        }
    }

    /** Takes jobs and does one of many things with them. */
    private final class FaultyWorker extends Speaker {
        private final String name = "w" + ++named % WORKERS;
        private boolean doomed;

        FaultyWorker() throws IOException {
            super(FaultRun.this.loop, server.address);
            say(Packet.SET_CLIENT_ID, name);
            for (String each : NAMES) {
                if (calm || random.nextInt(4) > 0) {
                    if (!calm && random.nextInt(4) == 0) {
                        say(Packet.CAN_DO_TIMEOUT, each, "1");
                    } else {
                        say(Packet.CAN_DO, each);
                    }
                }
            }
            say(Packet.GRAB_JOB);
        }

        @Override
        public void packet(Packet kind, Arguments args) {
            switch (kind) {
                case NO_JOB -> say(Packet.PRE_SLEEP);
                case NOOP -> {
                    if (calm || random.nextInt(40) > 0) { // else called in vain
                        say(Packet.GRAB_JOB);
                    } else {
                        after(1500, () -> say(Packet.GRAB_JOB));
                    }
                }
                case JOB_ASSIGN -> run(args.text(0), args.text(1));
                default -> {}
            }
        }

        private void run(String handle, String function) {
            if (name.equals(drained) && System.nanoTime() - drainedAt > DRAIN_GRACE_NS) {
                wrong.add("a drained worker was given " + handle);
            }
            int times = runs.merge(handle, 1, Integer::sum);
            if (times > 1) {
                twice.add(handle);
                if (function.equals("once") || function.equals("short")) {
                    wrong.add(handle + " of " + function + " ran " + times + " times");
                }
            }
            int pick = calm ? 0 : random.nextInt(100);
            if (pick < 55) {
                end(Packet.WORK_COMPLETE, handle, EMPTY);
            } else if (pick < 75) {
                after(1 + random.nextInt(20), () -> end(Packet.WORK_COMPLETE, handle, EMPTY));
            } else if (pick < 80) {
                end(Packet.WORK_FAIL, handle);
            } else if (pick < 84) {
                say(Packet.WORK_EXCEPTION, handle, "no end follows");
                say(Packet.GRAB_JOB);
            } else if (pick < 88) {
                say(Packet.WORK_DATA, handle, new byte[30_000]);
                say(Packet.WORK_STATUS, handle, "1", "2");
                end(Packet.WORK_COMPLETE, handle, new byte[10_000]);
            } else if (pick < 92) {
                // past its own time, or its deadline
                after(1200, () -> end(Packet.WORK_COMPLETE, handle, EMPTY));
            } else if (pick < 96) {
                say(Packet.GRAB_JOB); // another beside it
                after(30, () -> end(Packet.WORK_COMPLETE, handle, EMPTY));
            } else if (!doomed) {
                doomed = true;
                after(random.nextInt(10), this::drop);
            }
        }

        private void end(Packet kind, Object... args) {
            say(kind, args);
            say(Packet.GRAB_JOB);
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

        void drop() {
            dropped++;
            close();
            workers.remove(this);
            try {
                workers.add(new FaultyWorker());
            } catch (IOException e) {
                wrong.add(e.getMessage());
            }
        }

        @Override
        protected void lost(IOException why) {
            wrong.add("a worker was cut off: " + why.getMessage());
        }
    }

    private void until(String what, BooleanSupplier holds) throws IOException {
        for (long end = System.nanoTime() + PATIENCE_NS; !holds.getAsBoolean(); ) {
            if (System.nanoTime() > end) {
                wrong.add("in vain: " + what);
                return;
            }
            loop.turn(5_000_000L);
        }
    }

    /** Plays and gives the accounts; "wrong" counts what must not be, and its first case is told. */
    Map<String, Object> play(int steps) throws IOException, InterruptedException {
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new FaultyClient());
        }
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new FaultyWorker());
        }
        double share = Math.min(1, steps / (double) FULL_RUN);
        for (int step = 0; step < steps; step++) {
            step();
            if (step == steps / 4) {
                lossOfAll((int) (QUEUED_AT_THE_LOSS * share));
            } else if (step == steps / 2) {
                deaf((int) (DUE_TO_THE_DEAF * share));
            } else if (step == steps * 3 / 4) {
                silent((int) (SILENT * share));
            }
        }
        drain(null);
        calm = true;
        for (int i = 0; i < 4; i++) {
            workers.add(new FaultyWorker());
        }
        long[] asked = {0};
        until("all jobs to end", () -> {
            if (System.nanoTime() - asked[0] < 100_000_000L) {
                return false;
            }
            asked[0] = System.nanoTime();
            return server.figure("alive") == 0;
        });
        until("what clients are owed", () -> clients.stream().allMatch(c -> c.owed.isEmpty()));
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
        accounts.put("ran_again", twice.size());
        accounts.put("workers_lost", dropped);
        accounts.put("clients_left", left);
        accounts.put("drains", drains);
        stopInFlight();
        if (ended != (Long) accounts.get("accepted")) {
            wrong.add("accepted " + accounts.get("accepted") + ", ended " + ended);
        }
        accounts.put("wrong", wrong.size());
        if (!wrong.isEmpty()) {
            accounts.put("first_wrong", wrong.get(0));
        }
        return accounts;
    }

    /** All workers lost at one instant, with so many jobs queued. */
    private void lossOfAll(int queued) throws IOException {
        for (int i = 0; i < queued; i++) {
            clients.get(i % CLIENTS).submit();
        }
        until("the queue to fill", () -> clients.stream().allMatch(c -> c.waits.isEmpty()));
        List.copyOf(workers).forEach(FaultyWorker::drop);
    }

    /** A client that reads nothing, with so many results due; the server may cut it off. */
    private void deaf(int jobs) throws IOException {
        FaultyClient deaf = new FaultyClient() {
            @Override
            protected void lost(IOException why) {
                left++; // as may be
            }
        };
        deaf.pauseReading(true);
        for (int i = 0; i < jobs; i++) {
            deaf.submit();
        }
        long end = System.nanoTime() + 2_000_000_000L;
        until("others to be served meanwhile", () -> System.nanoTime() > end);
        deaf.close();
    }

    /** Connections that open together, say nothing and go. */
    private void silent(int count) throws IOException {
        List<Speaker> silent = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            silent.add(new FaultyClient());
            loop.turn(0);
        }
        until("them to come up", () -> silent.stream().noneMatch(Speaker::connecting));
        silent.forEach(Speaker::close);
    }

    /** An operator drains the workers of a name, or (null) lets the drained ones serve again. */
    private void drain(String name) {
        if (drained != null) {
            server.ask("undrain " + drained);
        }
        drained = null;
        if (name != null) {
            drains++;
            server.ask("drain " + name);
            drainedAt = System.nanoTime();
            drained = name;
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
            left++;
            c.close();
            clients.set(clients.indexOf(c), new FaultyClient());
        } else if (pick < 96) {
            workers.get(random.nextInt(workers.size())).drop();
        } else if (pick == 96 && random.nextInt(5) == 0) { // all at one instant
            List.copyOf(workers).forEach(FaultyWorker::drop);
        } else if (pick == 97) { // as it may be, during a retry
            drain("w" + random.nextInt(WORKERS));
        } else {
            for (int i = 0; i < 20; i++) { // connections that say nothing and go
                Speaker silent = new FaultyClient();
                loop.turn(0);
                silent.close();
            }
        }
        loop.turn(1_000_000L);
    }

    /** SIGTERM with jobs waiting and running: each that is waited for is answered, and the server ends. */
    private void stopInFlight() throws IOException, InterruptedException {
        for (FaultyClient c : clients) {
            for (int i = 0; i < 20; i++) {
                c.submit();
            }
        }
        long until = System.nanoTime() + 200_000_000L;
        until("a moment", () -> System.nanoTime() > until);
        Thread stopping = new Thread(() -> {
            try {
                server.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        wrong.removeIf(w -> w.contains("cut off"));
        int before = wrong.size();
        stopping.start();
        until("the server to end", () -> !stopping.isAlive());
        wrong.subList(before, wrong.size()).removeIf(w -> w.contains("cut off") || w.contains("stopping"));
        for (FaultyClient c : clients) {
            if (!c.owed.isEmpty()) {
                wrong.add("the server ended and owes " + c.owed.size() + " answers");
            }
        }
        String last = server.lastLine();
        if (!last.contains("\"alive\":0,")) {
            wrong.add("at its end: " + last);
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
