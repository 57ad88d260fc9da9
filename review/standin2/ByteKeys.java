import java.io.IOException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Two clients whose keys differ, in the bytes of an 8-bit character set, submit at the same time. */
final class ByteKeys {
    private static final String FUNCTION = "plan-lookup";
    private static final Charset LATIN = StandardCharsets.ISO_8859_1;

    private ByteKeys() {}

    public static void main(String[] args) throws IOException {
        Stand.run(args, ByteKeys::play);
    }

    private static boolean play(Stand stand, boolean trouble) throws Exception {
        int port = Stand.freePort();
        String settings = "{\"listen\":\"127.0.0.1:" + port + "\",\"name\":\"perth\",\"zone\":\"kewdale\",\"attempts\":6,"
                + "\"functions\":[{\"name\":\"" + FUNCTION + "\",\"aim_ms\":2000,\"stretch\":1.75,\"deadline_ms\":5000,"
                + "\"worth\":3,\"effect\":\"safe\"}],"
                + "\"workers\":[{\"client_id\":\"kewdale-2-*\",\"zone\":\"kewdale\",\"cell\":2}]}";
        stand.start("server", " --gearman " + stand.file("gearman.json", settings), Map.of());
        Stand.must(Stand.until(20_000, () -> Stand.listens(port)), "the job server does not listen");
        List<String> ran = Collections.synchronizedList(new ArrayList<>());
        Stand.thread("kewdale-2-a", () -> worker(stand, port, ran));
        Stand.pause(500);
        // In ISO 8859-1 the last letters of the first two are one byte each, 0xE9 and 0xE8.
        String[] keys = trouble ? new String[] {"Ren\u00e9", "Ren\u00e8"} : new String[] {"Rene1", "Rene2"};
        List<Gear> clients = new ArrayList<>();
        for (String key : keys) {
            Gear client = new Gear(port);
            client.timeout(10_000);
            client.send(Gear.SUBMIT_JOB, FUNCTION, key.getBytes(LATIN), ("plan of " + key).getBytes(LATIN));
            stand.log("client " + hex(key) + ": submits, answer " + client.read().args(1).get(0));
            clients.add(client);
        }
        boolean held = true;
        for (int i = 0; i < keys.length; i++) {
            Gear.Packet end = clients.get(i).read();
            String body = new String(end.body(), LATIN);
            String result = body.substring(body.indexOf('\0') + 1);
            boolean own = end.kind() == Gear.WORK_COMPLETE && result.equals("result of plan of " + keys[i]);
            stand.log("client " + hex(keys[i]) + ": packet " + end.kind() + ", result \"" + hex(result) + "\", "
                    + (own ? "its own" : "not its own"));
            held &= own || end.kind() == Gear.WORK_FAIL;
        }
        stand.log("jobs that ran: " + ran);
        return held;
    }

    /** The text with characters that are not ASCII as the bytes that travel. */
    private static String hex(String text) {
        StringBuilder shown = new StringBuilder();
        for (char each : text.toCharArray()) {
            shown.append(each < 128 ? String.valueOf(each) : String.format("<%02X>", (int) each));
        }
        return shown.toString();
    }

    private static void worker(Stand stand, int port, List<String> ran) {
        try (Gear worker = new Gear(port)) {
            worker.send(Gear.SET_CLIENT_ID, "kewdale-2-a");
            worker.send(Gear.CAN_DO, FUNCTION);
            worker.send(Gear.GRAB_JOB);
            while (true) {
                Gear.Packet packet = worker.read();
                if (packet.kind() == Gear.NO_JOB) {
                    worker.send(Gear.PRE_SLEEP);
                } else if (packet.kind() == Gear.NOOP) {
                    worker.send(Gear.GRAB_JOB);
                } else if (packet.kind() == Gear.JOB_ASSIGN) {
                    String body = new String(packet.body(), LATIN);
                    String handle = body.substring(0, body.indexOf('\0'));
                    String workload = body.substring(body.lastIndexOf('\0') + 1);
                    stand.log("worker: runs \"" + hex(workload) + "\"");
                    ran.add(hex(workload));
                    Stand.pause(500);
                    worker.send(Gear.WORK_COMPLETE, handle, ("result of " + workload).getBytes(LATIN));
                    worker.send(Gear.GRAB_JOB);
                }
            }
        } catch (IOException e) {
            stand.log("worker: " + e.getMessage());
        }
    }
}
