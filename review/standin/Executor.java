package standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** An executor: takes jobs, runs as many as it has slots, queues some, and tells the node what becomes of them. */
class Executor {
    final String id;
    final ServerSocket server;
    private final Kit kit;
    private final InetSocketAddress node;
    private final int slots;
    private final int queueLimit;
    private final long runMs;
    private final ArrayDeque<String> queue = new ArrayDeque<>();
    private final Set<String> running = new HashSet<>();
    private final Map<String, byte[]> bodies = new HashMap<>();
    private final ArrayDeque<String> events = new ArrayDeque<>();

    Executor(Kit kit, String id, InetSocketAddress node, int slots, int queueLimit, long runMs) throws IOException {
        this.kit = kit;
        this.id = id;
        this.node = node;
        this.slots = slots;
        this.queueLimit = queueLimit;
        this.runMs = runMs;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Kit.thread(() -> {
            while (true) {
                Socket socket = server.accept();
                Kit.thread(() -> serve(socket));
            }
        });
        Kit.thread(this::sendEvents);
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Kit.Message call = Kit.read(in); call != null; call = Kit.read(in)) {
                String[] words = call.first().split(" ");
                if (words[0].equals("GET")) {
                    boolean probe = words[1].equals("/_load") || words[1].equals("/ping");
                    Kit.write(
                            socket.getOutputStream(),
                            probe ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 404 Not Found\r\n",
                            words[1].equals("/_load") ? Kit.bytes(load()) : new byte[0]);
                } else if (words[0].equals("DELETE")) {
                    boolean given = giveUp(words[1].substring("/jobs/".length()));
                    Kit.write(
                            socket.getOutputStream(),
                            given ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 404 Not Found\r\n",
                            new byte[0]);
                } else {
                    String job = call.headers().get("x-correlation-id");
                    boolean taken = take(job, call.body());
                    answered(socket.getOutputStream(), job, taken);
                }
            }
        }
    }

    /** Answers a job that was taken or turned away. */
    void answered(OutputStream out, String job, boolean taken) throws IOException {
        write(out, taken);
    }

    static void write(OutputStream out, boolean taken) throws IOException {
        synchronized (out) {
            Kit.write(
                    out,
                    taken ? "HTTP/1.1 202 Accepted\r\n" : "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n",
                    new byte[0]);
        }
    }

    private synchronized boolean take(String job, byte[] body) {
        if (running.size() + queue.size() >= slots + queueLimit) {
            kit.log(id, "turns away " + job);
            return false;
        }
        kit.log(id, "takes " + job);
        bodies.put(job, body);
        queue.add(job);
        startNext();
        return true;
    }

    private void startNext() {
        while (running.size() < slots && !queue.isEmpty()) {
            String job = queue.poll();
            running.add(job);
            started(job, bodies.get(job));
            event("{\"id\":\"" + job + "\",\"from\":\"" + id + "\",\"state\":\"started\"}");
            Kit.thread(() -> {
                Thread.sleep(runMs);
                ended(job);
            });
        }
    }

    private synchronized void ended(String job) {
        if (running.remove(job)) {
            kit.log(id, "has done " + job);
            event("{\"id\":\"" + job + "\",\"from\":\"" + id + "\",\"state\":\"done\",\"result\":\"result of " + job
                    + "\",\"load\":" + load() + "}");
            startNext();
        }
    }

    private synchronized String load() {
        return "{\"utilization\":" + (double) running.size() / slots + ",\"backlog\":" + queue.size()
                + ",\"outstanding\":" + (running.size() + queue.size()) + ",\"x0\":" + (slots - running.size()) + "}";
    }

    private synchronized boolean giveUp(String job) {
        boolean held = queue.remove(job) | running.remove(job);
        kit.log(id, (held ? "gives up " : "does not hold ") + job);
        startNext();
        return held;
    }

    /** Called when a job begins to run. */
    void started(String job, byte[] body) {
        kit.log(id, "starts " + job);
    }

    private void event(String event) {
        synchronized (events) {
            events.add(event);
            events.notifyAll();
        }
    }

    /** Sends each event until it is answered, ten times at most, on a connection that is kept. */
    private void sendEvents() throws InterruptedException {
        Socket socket = null;
        InputStream in = null;
        while (true) {
            String event;
            synchronized (events) {
                while (events.isEmpty()) {
                    events.wait();
                }
                event = events.poll();
            }
            for (int i = 0; i < 10; i++) {
                try {
                    if (socket == null || socket.isClosed()) {
                        socket = Kit.connect(node, 1000);
                        socket.setSoTimeout(1000);
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    Kit.write(
                            socket.getOutputStream(),
                            "POST /v1/job-events HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n",
                            Kit.bytes(event));
                    Kit.Message answer = Kit.read(in);
                    if (answer != null && (answer.status() == 200 || answer.status() == 204)) {
                        if ("close".equals(answer.headers().get("connection"))) {
                            socket.close();
                        }
                        break;
                    }
                    socket.close();
                } catch (IOException e) {
                    kit.log(id, "try " + (i + 1) + " of a callback failed: " + e.getMessage());
                    try {
                        if (socket != null) {
                            socket.close();
                        }
                    } catch (IOException ignored) {
                        // closed all the same
                    }
                    Thread.sleep(100);
                }
            }
        }
    }
}
