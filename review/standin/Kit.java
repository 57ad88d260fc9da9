package standin;

import java.io.BufferedOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What all cases share: the record, the program under test as a process, and plain HTTP over sockets. */
final class Kit implements AutoCloseable {
    /** Whether the disruption takes place. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    final Path root = Path.of("").toAbsolutePath();
    final Path temp;
    private final long start = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new ArrayList<>();

    Kit(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        temp = Files.createTempDirectory("case");
        log("case", "trouble=" + trouble);
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    /** Writes a line to the record. */
    synchronized void log(String who, String what) {
        record.printf(Locale.ROOT, "%9.3f %-14s %s%n", now() / 1000.0, who, what);
        record.flush();
    }

    /** A free port below those that the system hands out, so that no other socket of the case gets it meanwhile. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // taken: try another
            }
        }
        throw new IOException("no free port");
    }

    /** The command of the deploy file with that key. */
    String deployCommand(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                String value = line.substring(key.length() + 4, line.lastIndexOf('"'));
                return value.replace("\\\"", "\"").replace("\\\\", "\\");
            }
        }
        throw new IOException("no " + key + " in the deploy file");
    }

    /** Starts a process with the deploy file's command `run`, followed by {@code arguments}. */
    Process startNode(String name, String arguments, Map<String, String> environment) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", deployCommand("run") + " " + arguments).directory(root.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
        builder.environment().put("TMPDIR", temp.toString());
        builder.environment().putAll(environment);
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(temp.resolve(name + ".log").toFile())
                .start();
        synchronized (processes) {
            processes.add(process);
        }
        log(name, "started pid=" + process.pid());
        process.onExit().thenAccept(ended -> log(name, "exited status=" + ended.exitValue()));
        return process;
    }

    /** Sends a signal to a process that this case started. */
    void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    /** Copies a process's log to the record. */
    void recordLog(String name) throws IOException {
        Path file = temp.resolve(name + ".log");
        if (Files.exists(file)) {
            for (String line : Files.readAllLines(file)) {
                log(name + ".log", line);
            }
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (processes) {
            for (Process each : processes) {
                each.destroyForcibly();
            }
            for (Process each : processes) {
                try {
                    each.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        record.close();
        deleteTemp();
    }

    private void deleteTemp() throws IOException {
        if (!Files.exists(temp)) {
            return;
        }
        try (Stream<Path> files = Files.walk(temp)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }

    /** Ends the case: 0 if the rule held, 1 if it was broken. */
    void end(boolean broken, String finding) throws IOException {
        log("case", (broken ? "BROKEN: " : "HELD: ") + finding);
        System.out.println((broken ? "BROKEN: " : "HELD: ") + finding);
        close();
        System.exit(broken ? 1 : 0);
    }

    interface Body {
        void run(Kit kit) throws Exception;
    }

    /** Runs a case; an exception means that it could not run (2). */
    static void main(String[] args, Body body) {
        Kit kit = null;
        try {
            kit = new Kit(Path.of(args[0]));
            Kit open = kit;
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                synchronized (open.processes) {
                    open.processes.forEach(Process::destroyForcibly);
                    open.processes.forEach(each -> each.onExit().join());
                }
                try {
                    open.deleteTemp();
                } catch (IOException e) {
                    e.printStackTrace();
                }
            }));
            body.run(kit);
        } catch (Throwable e) {
            e.printStackTrace();
            if (kit != null) {
                kit.log("case", "could not run: " + e);
                try {
                    kit.close();
                } catch (IOException ignored) {
                    // the process ends anyway
                }
            }
        }
        System.exit(2);
    }

    static Thread thread(Body2 body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (IOException e) {
                // the peer has gone
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Body2 {
        void run() throws IOException, InterruptedException;
    }

    /** An HTTP message: the first line, the headers by lower-case name, and the body. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.isEmpty()) {
                    return null;
                }
                throw new EOFException("closed within a line");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Reads a message whose length is told; null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("closed within a body");
        }
        return new Message(first, headers, body);
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        byte[] start = (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        out.write(all);
        out.flush();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static Socket connect(InetSocketAddress to, int timeoutMs) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(to, timeoutMs);
        return socket;
    }

    /** Asks once on a connection of its own. */
    static Message ask(InetSocketAddress to, String request, int timeoutMs) throws IOException {
        try (Socket socket = connect(to, timeoutMs)) {
            socket.setSoTimeout(timeoutMs);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            out.write(request.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            return read(socket.getInputStream());
        }
    }

    /** Waits until the node's health check succeeds. */
    void awaitReady(InetSocketAddress node) throws Exception {
        long until = now() + 30_000;
        while (now() < until) {
            try {
                if (ask(node, "GET /_health HTTP/1.1\r\nHost: n\r\n\r\n", 1000).status() == 200) {
                    log("front", "the node is ready");
                    return;
                }
            } catch (IOException | NullPointerException e) {
                // not yet
            }
            Thread.sleep(50);
        }
        throw new IOException("the node does not become ready");
    }

    /** Sends a line to an admin address and returns the first line of the answer. */
    static String call(InetSocketAddress to, String line) throws IOException {
        try (Socket socket = connect(to, 2000)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(bytes(line + "\n"));
            return readLine(socket.getInputStream());
        }
    }
}
