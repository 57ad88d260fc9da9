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

/** Load scenarios for the Gearman job server; each scenario starts its own server process. */
public final class GearmanLoad {
    /** One line of results: the scenario that ran and its figures by name. */
    public record Row(String scenario, Map<String, Object> figures) {}

    /** The scenarios that can run. */
    public enum Scenario {
        WORKERS,
        FAIR,
        QUEUED,
        MEMORY,
        STOP,
        IDLE,
        FAULTS
    }

    private static final long MAX_RECORDED_NS = 120_000_000_000L;
    private static final String ANY = "[{\"name\":\"*\",\"effect\":\"safe\",\"deadline_ms\":3600000,\"aim_ms\":1000}]";
    private static final int LOOP_COUNT = 3;
    private static final long SEED = 4730;
    private static final long WARM_UP_MS = 4000;
    /** Largest queue, in jobs, that workers empty within a fraction of a second, too fast to measure. */
    private static final int MAX_UNMEASURABLE_QUEUE = 10_000;

    private final double seconds;
    private final List<String> jvm;
    private final Consumer<String> progress;
    private final List<Row> rows = new ArrayList<>();

    /**
     * @param seconds  duration of a measurement, which follows a warm-up of a third of that
     * @param jvm      JVM options of the server process
     * @param progress receives a line of text for each result
     */
    public GearmanLoad(double seconds, List<String> jvm, Consumer<String> progress) {
        this.seconds = seconds;
        this.jvm = jvm;
        this.progress = progress;
    }

    /** An event loop on its own thread. Connections are opened and used on this thread only. */
    private static final class LoopThread implements AutoCloseable {
        final EventLoop loop;
        private final Thread thread;

        LoopThread(String name) throws IOException {
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

    /** The clients and workers of one run, spread over several event loops. */
    private final class LoadGroup implements AutoCloseable {
        final ServerProcess server;
        final List<LoopThread> loops = new ArrayList<>();
        final List<Client> clients = new ArrayList<>();
        final List<Worker> workers = new ArrayList<>();
        private final List<Speaker> all = new ArrayList<>();
        final Histogram times = new Histogram(MAX_RECORDED_NS, 3);

        LoadGroup(ServerProcess server) throws IOException {
            this.server = server;
            for (int i = 0; i < LOOP_COUNT; i++) {
                loops.add(new LoopThread("load-" + i));
            }
        }

        /** Opens clients. All share the first loop, so that one clock and one histogram measure their jobs. */
        void clients(int count, Packet kind, String function, int bytes, long toSubmit)
                throws IOException, InterruptedException {
            loops.get(0).call(() -> {
                for (int i = 0; i < count; i++) {
                    Client c = new Client(loops.get(0).loop, server.address, kind, function, bytes, toSubmit, times);
                    clients.add(c);
                    all.add(c);
                }
                return null;
            });
        }

        void workers(int count, long runNs, String... functions) throws IOException, InterruptedException {
            for (int i = 0; i < count; i++) {
                LoopThread loopThread = loops.get(1 + i % (LOOP_COUNT - 1));
                Worker w = loopThread.call(() -> new Worker(loopThread.loop, server.address, runNs, functions));
                workers.add(w);
                all.add(w);
            }
        }

        void submit(int outstanding) throws IOException, InterruptedException {
            loops.get(0).call(() -> {
                clients.forEach(c -> c.submit(outstanding));
                return null;
            });
        }

        /** Measures after a warm-up and returns the throughput, the CPU time per job and the job durations. */
        Map<String, Object> measure() throws IOException, InterruptedException {
            Thread.sleep((long) (seconds * 1000 / 3));
            long[] before = served();
            long cpu = server.cpuNs();
            loops.get(0).call(() -> {
                clients.forEach(c -> c.recording = true);
                return null;
            });
            long start = System.nanoTime();
            Thread.sleep((long) (seconds * 1000));
            long[] after = served();
            long elapsedNs = System.nanoTime() - start;
            long cpuUsed = server.cpuNs() - cpu;
            Map<String, Object> figures = new LinkedHashMap<>();
            loops.get(0).call(() -> {
                long jobs = after[0] - before[0];
                long done = after[1] - before[1];
                figures.put("jobs_per_s", Math.round(jobs * 1e9 / elapsedNs));
                figures.put("runs_per_s", Math.round(done * 1e9 / elapsedNs));
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
            loops.get(0).call(() -> {
                clients.forEach(c -> sums[0] += c.served);
                return null;
            });
            for (LoopThread loopThread : loops.subList(1, LOOP_COUNT)) {
                loopThread.call(() -> {
                    workers.stream().filter(w -> w.loop() == loopThread.loop).forEach(w -> sums[1] += w.done);
                    return null;
                });
            }
            return sums;
        }

        void checkForFaults() throws IOException {
            for (Speaker each : clients) {
                if (each.fault != null) {
                    throw new IOException("load client failed: " + each.fault);
                }
            }
            for (Speaker each : workers) {
                if (each.fault != null) {
                    throw new IOException("load worker failed: " + each.fault);
                }
            }
        }

        @Override
        public void close() throws IOException {
            for (LoopThread loopThread : loops) {
                try {
                    loopThread.call(() -> {
                        all.stream().filter(s -> s.loop() == loopThread.loop).forEach(Speaker::close);
                        return null;
                    });
                } catch (InterruptedException e) {
                    throw Interrupts.toIOException(e);
                }
                loopThread.close();
            }
        }
    }

    /** Runs a scenario with each of the sizes and returns its result rows. */
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

    /** Uses one warmed-up server for all sizes: a cold JVM distorts a size more the fewer jobs it runs. */
    private void workers(List<Integer> sizes) throws IOException, InterruptedException {
        try (ServerProcess server = new ServerProcess(jvm, ANY)) {
            warmUp(server);
            for (int count : sizes) {
                try (LoadGroup group = new LoadGroup(server)) {
                    group.workers(count, 0, "f");
                    group.clients(64, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
                    group.submit(64);
                    Map<String, Object> figures = group.measure();
                    group.checkForFaults();
                    add("workers " + count + ", 64 clients x 64", figures);
                }
            }
        }
    }

    /** Runs a load like the measured one, long enough for the JVM to compile the code that it uses. */
    private void warmUp(ServerProcess server) throws IOException, InterruptedException {
        try (LoadGroup group = new LoadGroup(server)) {
            group.workers(64, 0, "warm");
            group.clients(64, Packet.SUBMIT_JOB, "warm", 32, Long.MAX_VALUE);
            group.submit(16);
            Thread.sleep(WARM_UP_MS);
            group.checkForFaults();
        }
    }

    private void fair() throws IOException, InterruptedException {
        try (ServerProcess server = new ServerProcess(jvm, ANY);
                LoadGroup group = new LoadGroup(server)) {
            warmUp(server);
            group.workers(64, 0, "f");
            group.clients(64, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
            group.submit(64);
            Map<String, Object> figures = group.measure();
            group.checkForFaults();
            figures.put(
                    "p99_to_median",
                    Math.round((double) figures.get("p99_ms") / (double) figures.get("median_ms") * 100) / 100.0);
            add("64 clients x 64, 64 workers", figures);
        }
    }

    /** Measures 64 busy workers beside idle workers of a function that no client submits jobs to. */
    private void idle(List<Integer> sizes) throws IOException, InterruptedException {
        try (ServerProcess server = new ServerProcess(jvm, ANY)) {
            warmUp(server);
            for (int count : sizes) {
                try (LoadGroup group = new LoadGroup(server)) {
                    group.workers(count, 0, "nobody-asks");
                    group.workers(64, 0, "f");
                    group.clients(64, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
                    group.submit(64);
                    Map<String, Object> figures = group.measure();
                    group.checkForFaults();
                    add("64 workers, " + count + " of another function", figures);
                }
            }
        }
    }

    /** Queues background jobs, which no worker or only a few can run, and waits until the server has created all. */
    private static void fill(LoadGroup group, int queued, String function) throws IOException, InterruptedException {
        int clients = 8;
        group.clients(clients, Packet.SUBMIT_JOB_BG, function, 32, queued / clients);
        List<Client> submitters = List.copyOf(group.clients);
        group.submit(256);
        long target = (long) queued / clients * clients;
        long created = 0;
        while (created < target) {
            Thread.sleep(20);
            long[] sum = {0};
            group.loops.get(0).call(() -> {
                submitters.forEach(c -> sum[0] += c.created);
                return null;
            });
            created = sum[0];
            group.checkForFaults();
        }
        group.clients.clear();
    }

    private void queued(List<Integer> sizes) throws IOException, InterruptedException {
        for (int queued : sizes) {
            try (ServerProcess server = new ServerProcess(jvm, ANY);
                    LoadGroup group = new LoadGroup(server)) {
                warmUp(server);
                fill(group, queued, "f");
                group.workers(8, 0, "f");
                group.clients(8, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
                group.submit(1);
                Map<String, Object> figures = group.measure();
                group.checkForFaults();
                figures.put("still_queued", server.figure("alive"));
                add(queued + " queued, 8 clients x 1 beside", figures);
            }
            if (queued <= MAX_UNMEASURABLE_QUEUE) { // clients keep the queue at this length instead
                try (ServerProcess server = new ServerProcess(jvm, ANY);
                        LoadGroup group = new LoadGroup(server)) {
                    warmUp(server);
                    group.workers(8, 0, "f");
                    group.clients(8, Packet.SUBMIT_JOB, "f", 32, Long.MAX_VALUE);
                    group.submit(queued / 8);
                    Map<String, Object> figures = group.measure();
                    group.checkForFaults();
                    add(queued + " kept waiting, 8 workers", figures);
                }
                continue;
            }
            try (ServerProcess server = new ServerProcess(jvm, ANY);
                    LoadGroup group = new LoadGroup(server)) {
                warmUp(server);
                fill(group, queued, "f");
                long before = server.figure("served");
                long cpu = server.cpuNs();
                long start = System.nanoTime();
                group.workers(8, 0, "f");
                long done;
                long elapsedNs;
                do {
                    Thread.sleep(50);
                    done = server.figure("served") - before;
                    elapsedNs = System.nanoTime() - start;
                } while (elapsedNs < seconds * 1e9 && server.figure("alive") > queued / 10);
                Map<String, Object> figures = new LinkedHashMap<>();
                figures.put("runs_per_s", Math.round(done * 1e9 / elapsedNs));
                figures.put("cpu_us_per_run", done == 0 ? 0 : (server.cpuNs() - cpu) / 100 / done / 10.0);
                add(queued + " queued, taken down by 8", figures);
            }
        }
    }

    private void memory(List<Integer> sizes) throws IOException, InterruptedException {
        for (int queued : sizes) {
            try (ServerProcess server = new ServerProcess(jvm, ANY);
                    LoadGroup group = new LoadGroup(server)) {
                fill(group, 8, "f"); // loads classes and allocates tables before the baseline is taken
                long before = server.usedHeapBytes();
                fill(group, queued, "g");
                long after = server.usedHeapBytes();
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
                    LoadGroup group = new LoadGroup(server)) {
                fill(group, queued, "f");
                add("SIGTERM with " + queued + " queued", Map.of("ms_to_end", server.stop() / 1_000_000));
            }
        }
    }
}
