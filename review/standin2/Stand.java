import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/** What the cases share: the record, the project's programs as processes, waits, and small HTTP messages. */
final class Stand {
    /** Exit codes of a case. */
    static final int HELD = 0;

    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Ends a case that cannot run. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    /** The steps of a case; returns whether the rule held. */
    interface Case {
        boolean held(Stand stand, boolean trouble) throws Exception;
    }

    final Path root;
    final Path temporary;
    private final BufferedWriter record;
    private final long startedNs = System.nanoTime();
    private final Map<String, Process> processes = new LinkedHashMap<>();

    private Stand(Path root, Path folder) throws IOException {
        this.root = root;
        temporary = Files.createTempDirectory("bs");
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
    }

    /** Runs a case: the arguments are the project's root and the folder of the case. */
    static void run(String[] args, Case steps) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Stand stand = new Stand(Path.of(args[0]), Path.of(args[1]));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            stand.endProcesses();
            stand.deleteTemporary();
        }));
        Thread limit = new Thread(() -> {
            pause(115_000);
            stand.log("the case took too long");
            stand.end(COULD_NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
        int code = COULD_NOT_RUN;
        try {
            stand.log("disruption " + (trouble ? "on" : "off"));
            code = steps.held(stand, trouble) ? HELD : BROKEN;
        } catch (Exception e) {
            stand.log("could not run: " + e);
        }
        stand.end(code);
    }

    private void end(int code) {
        endProcesses();
        log(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "the case could not run");
        deleteTemporary();
        Runtime.getRuntime().halt(code);
    }

    private void deleteTemporary() {
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(each -> each.toFile().delete());
        } catch (IOException e) {
            log("temporary folder not removed: " + e.getMessage());
        }
    }

    private synchronized void endProcesses() {
        for (Process each : processes.values()) {
            each.destroyForcibly();
        }
        for (Process each : processes.values()) {
            try {
                each.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes a line to record.txt and to standard output, with the seconds since the start. */
    void log(String line) {
        String dated = String.format(Locale.ROOT, "%8.3f  %s", (System.nanoTime() - startedNs) / 1e9, line);
        synchronized (record) {
            System.out.println(dated);
            try {
                record.write(dated);
                record.newLine();
                record.flush();
            } catch (IOException e) {
                System.err.println(e.getMessage());
            }
        }
    }

    static void pause(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until the condition holds; returns false if it does not within the time. */
    static boolean until(long ms, BooleanSupplier condition) {
        long end = System.nanoTime() + ms * 1_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            pause(2);
        }
        return true;
    }

    static void must(boolean condition, String otherwise) {
        if (!condition) {
            throw new CannotRun(otherwise);
        }
    }

    /** A free port below the range from which the system gives ports to connections. */
    static int freePort() {
        Random random = new Random();
        for (int i = 0; i < 1000; i++) {
            int port = 15_000 + random.nextInt(16_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // in use
            }
        }
        throw new CannotRun("no port is free");
    }

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Starts a program of the project with the run command of the deploy file; {@code more} follows the command. */
    Process start(String name, String more, Map<String, String> environment) throws IOException {
        String command = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        must(command != null, "the deploy file has no run command");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command + more).directory(root.toFile());
        builder.environment().keySet().removeIf(key -> key.startsWith("PROXY_"));
        builder.environment().put("TMPDIR", temporary.toString());
        builder.environment().putAll(environment);
        Path log = temporary.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        synchronized (this) {
            processes.put(name, process);
        }
        this.log("started " + name + " pid=" + process.pid());
        return process;
    }

    /** Sends a signal to a program that this case has started. */
    void signal(String name, String signal) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + signal, "" + processes.get(name).pid()).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean alive(String name) {
        return processes.get(name).isAlive();
    }

    /** Copies the last lines of a program's log into the record. */
    void logOf(String name, int lines) {
        try {
            List<String> all = Files.readAllLines(temporary.resolve(name + ".log"));
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(line -> log(name + " | " + line));
        } catch (IOException e) {
            log("no log of " + name);
        }
    }

    Path file(String name, String text) throws IOException {
        return Files.writeString(temporary.resolve(name), text);
    }

    static Socket connect(int port) throws IOException {
        return connect(port, "127.0.0.1");
    }

    static Socket connect(int port, String from) throws IOException {
        Socket socket = new Socket();
        if (!from.equals("127.0.0.1")) {
            socket.bind(new InetSocketAddress(from, 0));
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 5000);
        return socket;
    }

    static boolean listens(int port) {
        try (Socket socket = connect(port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** One admin call at a node's console; returns the first line of the answer, or the reason why there is none. */
    static String call(int console, String line) {
        try (Socket socket = connect(console)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.ISO_8859_1));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            return answer.isEmpty() ? "no answer" : answer.lines().findFirst().orElse("");
        } catch (IOException e) {
            return "no connection: " + e.getMessage();
        }
    }

    /** An HTTP message. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        String word(int index) {
            String[] words = first.split(" ", 3);
            return index < words.length ? words[index] : "";
        }

        int status() {
            return Integer.parseInt(word(1));
        }
    }

    /** A connection that carries HTTP messages. */
    static final class Http implements AutoCloseable {
        final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Http(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream(), 8192);
            out = socket.getOutputStream();
        }

        void send(String first, String headers, byte[] body) throws IOException {
            byte[] head = (first + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = new byte[head.length + body.length];
            System.arraycopy(head, 0, whole, 0, head.length);
            System.arraycopy(body, 0, whole, head.length, body.length);
            out.write(whole);
            out.flush();
        }

        /** Reads one message; null at the end of the stream before its first byte. */
        Message read() throws IOException {
            String first = line();
            if (first == null) {
                return null;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = line(); line != null && !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            byte[] body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the message is cut");
            }
            return new Message(first, headers, body);
        }

        private String line() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int next = in.read();
            if (next < 0) {
                return null;
            }
            while (next != '\n') {
                if (next < 0) {
                    throw new EOFException("the line is cut");
                }
                if (next != '\r') {
                    bytes.write(next);
                }
                next = in.read();
            }
            return bytes.toString(StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }
    }
}
