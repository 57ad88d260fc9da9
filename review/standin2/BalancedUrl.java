import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** An application asks, by calls that the library balances, for a company whose name has a reserved character. */
final class BalancedUrl {
    private static final Map<String, String> BALANCES = Map.of(
            "Smith", "belongs to Smith",
            "Smith&Sons", "belongs to Smith&Sons",
            "Smith-Sons", "belongs to Smith-Sons");

    private BalancedUrl() {}

    public static void main(String[] args) throws IOException {
        Stand.run(args, BalancedUrl::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        List<String> command = new ArrayList<>();
        Path built = stand.root.resolve("review/out/second");
        Stand.must(Files.exists(built.resolve("host/SpringHost.class")), "the application is not built");
        command.add("java");
        command.add("-Xmx128m");
        command.add("-cp");
        command.add(built.resolve("host") + ":" + stand.root.resolve("target/beechseam.jar") + ":" + built.resolve("lib")
                + "/*:" + stand.root.resolve("target/lib") + "/*");
        command.add("SpringHost");
        command.add(trouble ? "Smith&Sons" : "Smith-Sons");
        for (int i = 1; i <= 2; i++) {
            command.add("" + server(stand, "server " + i));
        }
        List<String> answers = stand.runToEnd("application", command, 60);
        boolean held = true;
        int balanced = 0;
        for (String line : answers) {
            stand.log("application: " + line);
            boolean own = line.endsWith("belongs to " + command.get(5));
            if (line.startsWith("plain ")) {
                Stand.must(own, "the plain call has not the application's own answer");
            } else if (line.startsWith("balanced ")) {
                balanced++;
                held &= own;
            }
        }
        Stand.must(balanced == 4, "the application has not made its calls");
        return held;
    }

    /** A server of balances; returns its port. */
    private static int server(Stand stand, String name) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Stand.thread(name, () -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    Stand.thread(name, () -> connection(stand, name, socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return listener.getLocalPort();
    }

    private static void connection(Stand stand, String name, Socket socket) {
        try (Stand.Http http = new Stand.Http(socket)) {
            for (Stand.Message request = http.read(); request != null; request = http.read()) {
                String target = request.word(1);
                String company = "";
                for (String each : target.substring(target.indexOf('?') + 1).split("&")) {
                    String[] pair = each.split("=", 2);
                    if (pair[0].equals("company") && pair.length == 2) {
                        company = URLDecoder.decode(pair[1], StandardCharsets.UTF_8);
                    }
                }
                stand.log(name + ": asked for " + target);
                String balance = BALANCES.getOrDefault(company, "no such company");
                http.send(
                        "HTTP/1.1 200 OK", "Content-Type: text/plain\r\n", balance.getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // the application has closed the connection
        }
    }
}
