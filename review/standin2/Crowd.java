import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients with small jobs, and a crowd of bad clients that each send one long job at once and go. */
final class Crowd {
    private static final int GOOD_CLIENTS = 4;
    private static final int BAD_CLIENTS = 1200;
    /** How often such a crowd comes. */
    private static final int CROWDS = 8;
    /** The longest body of a request. */
    private static final int LONGEST_BODY = 64 * 1024;

    private final Stand stand;
    private final int port;
    private final AtomicInteger good = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean ended;

    private Crowd(Stand stand, int port) {
        this.stand = stand;
        this.port = port;
    }

    public static void main(String[] args) throws IOException {
        Stand.run(args, Crowd::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        List<Plat.Executor> executors = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            executors.add(new Plat.Executor(stand, "s-0000000" + i, port, true));
            executors.get(i - 1).runMs = 200;
        }
        Plat.Discovery discovery = new Plat.Discovery(executors);
        String config =
                Plat.config(port, discovery.port, 0, 1024, discovery.list(), Plat.settings(Plat.limits(true, false)));
        Process node = stand.start(
                "node", "", Map.of("PROXY_CONFIG", stand.file("config.json", config).toString()));
        Stand.must(Stand.until(20_000, () -> Plat.health(port) == 200), "the node is not ready");
        Crowd crowd = new Crowd(stand, port);
        for (int i = 0; i < GOOD_CLIENTS; i++) {
            String name = "g" + i;
            Stand.thread(name, () -> crowd.goodClient(name));
        }
        Stand.pause(2000);
        stand.log("good clients: " + crowd.good.get() + " jobs answered, " + crowd.lost.get() + " lost");
        Stand.must(crowd.good.get() > 0 && crowd.lost.get() == 0, "the node does not serve without a disruption");
        for (int i = 0; i < CROWDS && node.isAlive(); i++) {
            if (trouble) {
                crowd.badClients();
            }
            Stand.pause(2000);
        }
        crowd.ended = true;
        Stand.pause(500);
        boolean alive = node.isAlive();
        stand.log("good clients: " + crowd.good.get() + " jobs answered, " + crowd.lost.get() + " lost");
        stand.log("jobs taken by executors: "
                + executors.stream().mapToInt(each -> each.taken).sum());
        stand.log(alive ? "the node runs" : "the node has ended by itself, exit status " + node.exitValue());
        stand.logOf("node", 30);
        return alive;
    }

    /** Sends one job after the other; a job that is sent in full and gets no answer is lost. */
    private void goodClient(String name) {
        Stand.Http http = null;
        boolean refused = false;
        for (int i = 0; !ended; i++) {
            String job = name + "-" + i;
            boolean fresh = http == null;
            try {
                http = fresh ? Plat.client(port, 7000) : http;
                Stand.Message answer = Plat.job(http, job, 5000, "", new byte[200]);
                if (answer != null) {
                    good.incrementAndGet();
                    if ("close".equals(answer.header("connection"))) {
                        http.close();
                        http = null;
                    }
                    Stand.pause(50);
                    continue;
                }
            } catch (IOException e) {
                if (http != null || !refused) {
                    stand.log(name + ": job " + job + (http == null ? " not sent: " : " got no answer: ") + e.getMessage());
                }
                refused = http == null;
            }
            if (http != null) { // on a connection that rested, a job that meets the close is sent once more
                http.close();
                http = null;
                if (fresh) {
                    lost.incrementAndGet();
                }
            } else {
                Stand.pause(200);
            }
        }
    }

    /** Each connects, sends one job with the longest body at once, and goes when it is answered or after four seconds. */
    private void badClients() throws IOException {
        byte[] body = new byte[LONGEST_BODY];
        Arrays.fill(body, (byte) 'x');
        Map<String, Integer> ends = new TreeMap<>();
        stand.log(BAD_CLIENTS + " bad clients begin, each with one job of " + LONGEST_BODY + " bytes");
        long goAt = System.nanoTime() + 4_000_000_000L;
        InetSocketAddress node = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (Selector selector = Selector.open()) {
            for (int i = 0; i < BAD_CLIENTS; i++) {
                SocketChannel channel = SocketChannel.open();
                channel.configureBlocking(false);
                String head = "POST /afford-check?key=kb" + i + " HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: b-" + i
                        + "\r\nX-Service-Class: afford-check\r\nX-Time-Left: 5000m\r\nContent-Length: " + body.length
                        + "\r\n\r\n";
                ByteBuffer[] job = {ByteBuffer.wrap(head.getBytes(StandardCharsets.ISO_8859_1)), ByteBuffer.wrap(body)};
                channel.register(selector, channel.connect(node) ? SelectionKey.OP_WRITE : SelectionKey.OP_CONNECT, job);
            }
            while (!selector.keys().isEmpty() && System.nanoTime() < goAt) {
                selector.select(
                        key -> {
                            String end = badClient(key);
                            if (end != null) {
                                ends.merge(end, 1, Integer::sum);
                                close(key);
                            }
                        },
                        50);
            }
            selector.keys().forEach(key -> {
                ends.merge("went without an answer", 1, Integer::sum);
                close(key);
            });
        }
        stand.log("bad clients have gone: " + ends);
    }

    /** Takes a bad client's next step; returns how it has ended, or null. */
    private static String badClient(SelectionKey key) {
        SocketChannel channel = (SocketChannel) key.channel();
        ByteBuffer[] job = (ByteBuffer[]) key.attachment();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE | SelectionKey.OP_READ);
            } else if (key.isReadable()) {
                ByteBuffer answer = ByteBuffer.allocate(4096);
                int read = channel.read(answer);
                return read <= 0
                        ? "closed without an answer"
                        : "answered " + new String(answer.array(), 9, 3, StandardCharsets.ISO_8859_1);
            } else if (key.isWritable()) {
                channel.write(job);
                if (!job[1].hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ);
                }
            }
            return null;
        } catch (IOException e) {
            return "refused or reset";
        }
    }

    private static void close(SelectionKey key) {
        try {
            key.cancel();
            key.channel().close();
        } catch (IOException e) {
            // closed already
        }
    }
}
