package beechseam.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The server under load: a separate process of this program on a free port, with a temporary configuration file. */
final class ServerProcess implements AutoCloseable {
    private static final long START_TIMEOUT_NS = 20_000_000_000L;
    final InetSocketAddress address;
    private final Process process;
    private final Path configFile;
    private final Path logFile;

    /** @param jvm JVM options, such as the heap size */
    ServerProcess(List<String> jvm, String functions) throws IOException, InterruptedException {
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        address = new InetSocketAddress("127.0.0.1", port);
        configFile = Files.createTempFile("beechseam-load", ".json");
        Files.writeString(
                configFile,
                "{\"listen\":\"127.0.0.1:" + port + "\",\"max_jobs\":3000000,\"functions\":" + functions + "}");
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(jvm);
        command.addAll(List.of(
                "-cp",
                System.getProperty("java.class.path"),
                "beechseam.cli.Main",
                "serve",
                "--gearman",
                configFile.toString(),
                "--log-level",
                "warning"));
        logFile = Files.createTempFile("beechseam-load", ".log");
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(logFile.toFile())
                .start();
        for (long end = System.nanoTime() + START_TIMEOUT_NS; !acceptsConnections(); ) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("the server under load exited or did not accept a connection in time");
            }
            Thread.sleep(50);
        }
    }

    private boolean acceptsConnections() {
        try (Socket probe = new Socket()) {
            probe.connect(address, 200);
            return true;
        } catch (IOException e) {
            return false; // not listening yet
        }
    }

    /** CPU time that the process has used, in nanoseconds. */
    long cpuNs() {
        return process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos();
    }

    /** Sends an admin line and returns the first line of the answer. */
    String sendAdminLine(String line) {
        try (Socket s = new Socket()) {
            s.connect(address, 5000);
            s.setSoTimeout(60_000);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            StringBuilder answer = new StringBuilder();
            for (int c = s.getInputStream().read();
                    c >= 0 && c != '\n';
                    c = s.getInputStream().read()) {
                answer.append((char) c);
            }
            return answer.toString();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns a figure of the server's counters line; -1 if there is none of that name. */
    long figure(String name) {
        return figure(sendAdminLine("counters"), name);
    }

    /** Returns the first figure of that name in a line of counters; -1 if there is none. */
    static long figure(String line, String name) {
        Matcher m = Pattern.compile("\"" + name + "\":(\\d+)").matcher(line);
        return m.find() ? Long.parseLong(m.group(1)) : -1;
    }

    /**
     * Bytes of the heap in use after a full garbage collection, as jcmd reports them; -1 if its output has none.
     */
    long usedHeapBytes() throws IOException, InterruptedException {
        String tool = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString();
        String pid = Long.toString(process.pid());
        new ProcessBuilder(tool, pid, "GC.run")
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
        Process p = new ProcessBuilder(tool, pid, "GC.heap_info").start();
        String text = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        p.waitFor();
        long sum = 0;
        Matcher m = Pattern.compile("(?:garbage-first heap|generation|PSYoungGen|ParOldGen).*?used (\\d+)K")
                .matcher(text);
        while (m.find()) {
            sum += Long.parseLong(m.group(1)) * 1024;
        }
        return sum == 0 ? -1 : sum;
    }

    /** Sends SIGTERM and returns the time until the process ended, in nanoseconds. */
    long stop() throws InterruptedException {
        long start = System.nanoTime();
        process.destroy();
        if (!process.waitFor(120, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
        }
        return System.nanoTime() - start;
    }

    /** Returns the last line that the process wrote, or an empty string. */
    String lastLine() throws IOException {
        List<String> lines = Files.readAllLines(logFile);
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    @Override
    public void close() throws IOException {
        if (process.isAlive()) {
            try {
                stop();
            } catch (InterruptedException e) {
                throw Interrupts.toIOException(e);
            }
        }
        Files.deleteIfExists(configFile);
        Files.deleteIfExists(logFile);
    }
}
