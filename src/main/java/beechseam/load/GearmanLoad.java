package beechseam.load;

import beechseam.gearman.protocol.Packet;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** Load on a job server, in scenarios, each with a server process of its own. */
public final class GearmanLoad {
    /** One line of results: what was played, and figures by name. */
    public record Row(String scenario, Map<String, Object> figures) {}

    /** What can be played. */
    public enum Scenario {
        WORKERS,
        FAIR,
        QUEUED,
        MEMORY,
        STOP,
        IDLE,
        FAULTS
    }

    private static final long LONGEST_NS = 120_000_000_000L;
    private static final String ANY = "[{\"name\":\"*\",\"effect\":\"safe\",\"deadline_ms\":3600000,\"aim_ms\":1000}]";
    private static final int LOOPS = 3;
    private static final long SEED = 4730;
    private static final long WARM_MS = 4000;
    /** Queues up to this are empty within a fraction of a second. */
    private static final int SOON_EMPTY = 10_000;

    private final double seconds;
    private final List<String> jvm;
    private final Consumer<String> progress;
    private final List<Row> rows = new ArrayList<>();

    /**
     * @param seconds  that a measurement lasts, after a third of that to warm up
     * @param jvm      options of the server's runtime
     * @param progress is told what goes on
     */
    public GearmanLoad(double seconds, List<String> jvm, Consumer<String> progress) {
        this.seconds = seconds;
        this.jvm = jvm;
        this.progress = progress;
    }

    /** An event loop on a thread of its own; connections are made on it. */
    private static final class Lane implements AutoCloseable {
        final EventLoop loop;
        private final Thread thread;

        Lane(String name) throws IOException {
            loop = new EventLoop();
            thread = new Thread(
                    () -> {
                        try {
                            loop.run();
                        } catch (IOException e) {
                            throw new IllegalStateException(e);
                        }
                    },
                    name);
            thread.setDaemon(true);
            thread.start();
        }

        <T> T call(Callable<T> task) throws IOException, InterruptedException {
            FutureTask<T> future = new FutureTask<>(task);
            loop.post(future);
            try {
                return future.get();
            } catch (ExecutionException e) {
                throw new IOException(e.getCause());
            }
        }

        @Override
        public void close() {
            loop.stop();
        }
    }

    /** Clients and workers of a run. */
    private final class Crowd implements AutoCloseable {
        final ServerProcess server;
        final List<Lane> lanes = new ArrayList<>();
        final List<Client> clients = new ArrayList<>();
        final List<Worker> workers = new ArrayList<>();
        private final List<Speaker> all = new ArrayList<>();
        final Histogram times = new Histogram(LONGEST_NS, 3);

        Crowd(ServerProcess server) throws IOException {
            this.server = server;
            for (int i = 0; i < LOOPS; i++) {
                lanes.add(new Lane("load-" + i));
            }
        }

        /** Clients have a loop to themselves, so that times are told by one clock and one histogram. */
        void clients(int count, Packet kind, String function, int bytes, long toSubmit)
                throws IOException, InterruptedException {
            lanes.get(0).call(() -> {
                for (int i = 0; i < count; i++) {
                    Client c = new Client(lanes.get(0).loop, server.address, kind, function, bytes, toSubmit, times);
                    clients.add(c);
                    all.add(c);
                }
                return null;
            });
        }

        void workers(int count, long runNs, String... functions) throws IOException, InterruptedException {
            for (int i = 0; i < count; i++) {
                Lane lane = lanes.get(1 + i % (LOOPS - 1));
                Worker w = lane.call(() -> new Worker(lane.loop, server.address, runNs, functions));
                workers.add(w);
                all.add(w);
            }
        }

        void submit(int outstanding) throws IOException, InterruptedException {
            lanes.get(0).call(() -> {
                clients.forEach(c -> c.submit(outstanding));
                return null;
            });
        }

        /** Runs for a while after warming up; gives jobs a second, CPU a job and times. */
        Map<String, Object> measure() throws IOException, InterruptedException {
            Thread.sleep((long) (seconds * 1000 / 3));
            long[] before = served();
            long cpu = server.cpuNs();
            lanes.get(0).call(() -> {
                clients.forEach(c -> c.recording = true);
                return null;
            });
            long start = System.nanoTime();
            Thread.sleep((long) (seconds * 1000));
            long[] after = served();
            long took = System.nanoTime() - start;
            long cpuUsed = server.cpuNs() - cpu;
            Map<String, Object> figures = new LinkedHashMap<>();
            lanes.get(0).call(() -> {
                long jobs = after[0] - before[0];
                long done = after[1] - before[1];
                figures.put("jobs_per_s", Math.round(jobs * 1e9 / took));
                figures.put("runs_per_s", Math.round(done * 1e9 / took));
                figures.put("cpu_us_per_run", done == 0 ? 0 : cpuUsed / 100 / done / 10.0);
                figures.put("median_ms", times.getValueAtPercentile(50) / 10_000 / 100.0);
                figures.put("p99_ms", times.getValueAtPercentile(99) / 10_000 / 100.0);
                figures.put("max_ms", times.getMaxValue() / 10_000 / 100.0);
                return null;
            });
            return figures;
        }

        private long[] served() throws IOException, InterruptedException {
            long[] sums = new long[2];
            lanes.get(0).call(() -> {
                clients.forEach(c -> sums[0] += c.served);
                return null;
            });
            for (Lane lane : lanes.subList(1, LOOPS)) {
                lane.call(() -> {
                    workers.stream().filter(w -> w.loop() == lane.loop).forEach(w -> sums[1] += w.done);
                    return null;
                });
            }
            return sums;
        }

        void check() throws IOException {
            for (Speaker each : clients) {
                if (each.fault != null) {
                    throw new IOException("a client: " + each.fault);
                }
            }
            for (Speaker each : workers) {
                if (each.fault != null) {
                    throw new IOException("a worker: " + each.fault);
                }
            }
        }

        @Override
        public void close() throws IOException {
            for (Lane lane : lanes) {
                try {
                    lane.call(() -> {
                        all.stream().filter(s -> s.loop() == lane.loop).forEach(Speaker::close);
                        return null;
                    });
                } catch (InterruptedException e) {
                    throw Interrupts.toIOException(e);
                }
                lane.close();
            }
        }
    }

    /** Plays a scenario and gives its rows. */
    public List<Row> play(Scenario scenario, List<Integer> sizes) throws IOException, InterruptedException {
        rows.clear();
        switch (scenario) {
            case WORKERS -> workers(sizes);
            case FAIR -> fair();
            case QUEUED -> queued(sizes);
            case MEMORY -> memory(sizes);
            case STOP -> stop(sizes);
            case IDLE -> idle(sizes);
            case FAULTS -> faults(sizes);
            default -> throw new IllegalArgumentException(scenario.name());
        }
        return List.copyOf(rows);
    }

    private void add(String scenario, Map<String, Object> figures) {
        rows.add(new Row(scenario, figures));
        StringBuilder s = new StringBuilder(String.format(Locale.ROOT, "%-32s", scenario));
        figures.forEach((name, value) -> s.append("  ").append(name).append(' ').append(value));
        progress.accept(s.toString());
    }

    /** One server for all, warm, since a fresh runtime costs the more the fewer jobs a size does. */
    private void workers(List<Integer> sizes) throws IOException, InterruptedException {
        try (ServerProcess server = new ServerProcess(jvm, ANY)) {
            warm(server);
            for (int count : sizes) {
                try (Crowd crowd = new Crowd(server)) {
                    crowd.workers(count, 0, "f");
                    crowd.clients(64, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
                    crowd.submit(64);
                    Map<String, Object> figures = crowd.measure();
                    crowd.check();
                    add("workers " + count + ", 64 clients x 64", figures);
                }
            }
        }
    }

    /** The runtime compiles what is used: a load like the one to be measured, until that is done. */
    private void warm(ServerProcess server) throws IOException, InterruptedException {
        try (Crowd crowd = new Crowd(server)) {
            crowd.workers(64, 0, "warm");
            crowd.clients(64, Packet.SUBMIT_JOB, "warm", 32, Long.MAX_VALUE);
            crowd.submit(16);
            Thread.sleep(WARM_MS);
            crowd.check();
        }
    }

    private void fair() throws IOException, InterruptedException {
        try (ServerProcess server = new ServerProcess(jvm, ANY);
                Crowd crowd = new Crowd(server)) {
            warm(server);
            crowd.workers(64, 0, "f");
            crowd.clients(64, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
            crowd.submit(64);
            Map<String, Object> figures = crowd.measure();
            crowd.check();
            figures.put(
                    "p99_to_median",
                    Math.round((double) figures.get("p99_ms") / (double) figures.get("median_ms") * 100) / 100.0);
            add("64 clients x 64, 64 workers", figures);
        }
    }

    /** Workers of a function that nobody asks for beside 64 that work. */
    private void idle(List<Integer> sizes) throws IOException, InterruptedException {
        try (ServerProcess server = new ServerProcess(jvm, ANY)) {
            warm(server);
            for (int count : sizes) {
                try (Crowd crowd = new Crowd(server)) {
                    crowd.workers(count, 0, "nobody-asks");
                    crowd.workers(64, 0, "f");
                    crowd.clients(64, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
                    crowd.submit(64);
                    Map<String, Object> figures = crowd.measure();
                    crowd.check();
                    add("64 workers, " + count + " of another function", figures);
                }
            }
        }
    }

    /**
     * Fills the queue with background jobs that nobody can do yet, or that few workers do beside the rest.
     */
    private static void fill(Crowd crowd, int queued, String function) throws IOException, InterruptedException {
        int clients = 8;
        crowd.clients(clients, Packet.SUBMIT_JOB_BG, function, 32, queued / clients);
        List<Client> filling = List.copyOf(crowd.clients);
        crowd.submit(256);
        long target = (long) queued / clients * clients;
        long created = 0;
        while (created < target) {
            Thread.sleep(20);
            long[] sum = {0};
            crowd.lanes.get(0).call(() -> {
                filling.forEach(c -> sum[0] += c.created);
                return null;
            });
            created = sum[0];
            crowd.check();
        }
        crowd.clients.clear();
    }

    private void queued(List<Integer> sizes) throws IOException, InterruptedException {
        for (int queued : sizes) {
            try (ServerProcess server = new ServerProcess(jvm, ANY);
                    Crowd crowd = new Crowd(server)) {
                warm(server);
                fill(crowd, queued, "f");
                crowd.workers(8, 0, "f");
                crowd.clients(8, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
                crowd.submit(1);
                Map<String, Object> figures = crowd.measure();
                crowd.check();
                figures.put("still_queued", server.figure("alive"));
                add(queued + " queued, 8 clients x 1 beside", figures);
            }
            if (queued <= SOON_EMPTY) { // taken down before it can be measured: clients keep as many waiting
                try (ServerProcess server = new ServerProcess(jvm, ANY);
                        Crowd crowd = new Crowd(server)) {
                    warm(server);
                    crowd.workers(8, 0, "f");
                    crowd.clients(8, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
                    crowd.submit(queued / 8);
                    Map<String, Object> figures = crowd.measure();
                    crowd.check();
                    add(queued + " kept waiting, 8 workers", figures);
                }
                continue;
            }
            try (ServerProcess server = new ServerProcess(jvm, ANY);
                    Crowd crowd = new Crowd(server)) {
                warm(server);
                fill(crowd, queued, "f");
                long before = server.figure("served");
                long cpu = server.cpuNs();
                long start = System.nanoTime();
                crowd.workers(8, 0, "f");
                long done;
                long took;
                do {
                    Thread.sleep(50);
                    done = server.figure("served") - before;
                    took = System.nanoTime() - start;
                } while (took < seconds * 1e9 && server.figure("alive") > queued / 10);
                Map<String, Object> figures = new LinkedHashMap<>();
                figures.put("runs_per_s", Math.round(done * 1e9 / took));
                figures.put("cpu_us_per_run", done == 0 ? 0 : (server.cpuNs() - cpu) / 100 / done / 10.0);
                add(queued + " queued, taken down by 8", figures);
            }
        }
    }

    private void memory(List<Integer> sizes) throws IOException, InterruptedException {
        for (int queued : sizes) {
            try (ServerProcess server = new ServerProcess(jvm, ANY);
                    Crowd crowd = new Crowd(server)) {
                fill(crowd, 8, "f"); // classes are loaded, tables made
                long before = server.heap();
                fill(crowd, queued, "g");
                long after = server.heap();
                add(queued + " queued of 32 bytes", Map.of("bytes_per_job", (after - before) / queued));
            }
        }
    }

    private void faults(List<Integer> sizes) throws IOException, InterruptedException {
        for (int steps : sizes) {
            try (ServerProcess server = new ServerProcess(jvm, FaultRun.FUNCTIONS);
                    FaultRun run = new FaultRun(server, SEED)) {
                add(steps + " steps of faults, seed " + SEED, run.play(steps));
            }
        }
    }

    private void stop(List<Integer> sizes) throws IOException, InterruptedException {
        for (int queued : sizes) {
            try (ServerProcess server = new ServerProcess(jvm, ANY);
                    Crowd crowd = new Crowd(server)) {
                fill(crowd, queued, "f");
                add("SIGTERM with " + queued + " queued", Map.of("ms_to_end", server.stop() / 1_000_000));
            }
        }
    }
}
