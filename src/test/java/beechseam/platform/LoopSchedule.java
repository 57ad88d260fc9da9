package beechseam.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What the kernel's scheduler says of the event loop's thread of a program under test: how long it ran and how long it
 * was ready to run and got no processor. A thread of the test samples it. Without {@code /proc} all times are 0.
 */
final class LoopSchedule implements AutoCloseable {
    private static final long SAMPLE_INTERVAL_MS = 5;
    private static final long NS_PER_MS = 1_000_000L;
    /** The launcher's first thread waits for the second one, which runs the main method and so the event loop. */
    private static final int MAIN_THREAD_INDEX = 1;

    /** The times of the thread since its start, in nanoseconds. */
    private record Sample(long ranNs, long waitedNs) {}

    private final Path threads;
    private final TreeMap<Long, Sample> samples = new TreeMap<>();
    private final Thread sampler = new Thread(this::sample, "loop-schedule");
    private volatile boolean closed;

    /** Begins to sample the program with this process id. */
    LoopSchedule(long pid) {
        threads = Path.of("/proc", Long.toString(pid), "task");
        sampler.setDaemon(true);
        sampler.start();
    }

    private void sample() {
        Path thread = null;
        while (!closed) {
            try {
                thread = thread == null ? mainThread() : thread;
                if (thread != null) {
                    String[] times =
                            Files.readString(thread.resolve("schedstat")).split(" ");
                    add(new Sample(Long.parseLong(times[0]), Long.parseLong(times[1])));
                }
                Thread.sleep(SAMPLE_INTERVAL_MS);
            } catch (IOException | InterruptedException e) {
                return; // the program has ended
            }
        }
    }

    private synchronized void add(Sample sample) {
        samples.put(System.nanoTime(), sample);
    }

    /** Returns the directory of the thread that runs the main method, or null before it exists. */
    private Path mainThread() throws IOException {
        try (Stream<Path> all = Files.list(threads)) {
            List<Path> byId = all.sorted((a, b) -> Long.compare(id(a), id(b))).toList();
            return byId.size() > MAIN_THREAD_INDEX ? byId.get(MAIN_THREAD_INDEX) : null;
        }
    }

    private static long id(Path thread) {
        return Long.parseLong(thread.getFileName().toString());
    }

    /** How long the thread was ready and got no processor since a time of {@link System#nanoTime}, in milliseconds. */
    synchronized long waitedMsSince(long fromNs) {
        return samples.isEmpty() ? 0 : (samples.lastEntry().getValue().waitedNs - at(fromNs).waitedNs) / NS_PER_MS;
    }

    /** How long the thread ran since a time of {@link System#nanoTime}, in milliseconds. */
    synchronized long ranMsSince(long fromNs) {
        return samples.isEmpty() ? 0 : (samples.lastEntry().getValue().ranNs - at(fromNs).ranNs) / NS_PER_MS;
    }

    private Sample at(long timeNs) {
        var entry = samples.floorEntry(timeNs);
        return (entry == null ? samples.firstEntry() : entry).getValue();
    }

    @Override
    public void close() {
        closed = true;
    }
}
