import java.io.DataInputStream;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A connection of a Gearman client, worker or operator, by the published protocol. */
final class Gear implements AutoCloseable {
    static final int CAN_DO = 1;
    static final int PRE_SLEEP = 4;
    static final int NOOP = 6;
    static final int SUBMIT_JOB = 7;
    static final int JOB_CREATED = 8;
    static final int GRAB_JOB = 9;
    static final int NO_JOB = 10;
    static final int JOB_ASSIGN = 11;
    static final int WORK_COMPLETE = 13;
    static final int WORK_FAIL = 14;
    static final int GET_STATUS = 15;
    static final int SUBMIT_JOB_BG = 18;
    static final int ERROR = 19;
    static final int STATUS_RES = 20;
    static final int SET_CLIENT_ID = 22;
    static final int GRAB_JOB_UNIQ = 30;
    static final int JOB_ASSIGN_UNIQ = 31;

    /** A packet from the server. */
    record Packet(int kind, byte[] body) {
        /** The arguments; the last one takes the rest of the body. */
        List<String> args(int count) {
            List<String> args = new ArrayList<>();
            int at = 0;
            for (int i = 0; i < count - 1; i++) {
                int end = at;
                while (end < body.length && body[end] != 0) {
                    end++;
                }
                args.add(new String(body, at, end - at, StandardCharsets.UTF_8));
                at = Math.min(body.length, end + 1);
            }
            args.add(new String(body, at, body.length - at, StandardCharsets.UTF_8));
            return args;
        }
    }

    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;

    Gear(int port) throws IOException {
        this(Stand.connect(port));
    }

    /** Connects from the given loopback address. */
    Gear(int port, String from) throws IOException {
        this(Stand.connect(port, from));
    }

    private Gear(Socket socket) throws IOException {
        this.socket = socket;
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        out = socket.getOutputStream();
    }

    void timeout(int ms) throws IOException {
        socket.setSoTimeout(ms);
    }

    void send(int kind, Object... args) throws IOException {
        int length = Math.max(0, args.length - 1);
        byte[][] parts = new byte[args.length][];
        for (int i = 0; i < args.length; i++) {
            parts[i] = args[i] instanceof byte[] bytes
                    ? bytes
                    : args[i].toString().getBytes(StandardCharsets.UTF_8);
            length += parts[i].length;
        }
        ByteBuffer packet = ByteBuffer.allocate(12 + length);
        packet.put(new byte[] {0, 'R', 'E', 'Q'}).putInt(kind).putInt(length);
        for (int i = 0; i < parts.length; i++) {
            if (i > 0) {
                packet.put((byte) 0);
            }
            packet.put(parts[i]);
        }
        out.write(packet.array());
        out.flush();
    }

    Packet read() throws IOException {
        in.readInt();
        int kind = in.readInt();
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        return new Packet(kind, body);
    }

    /** An admin line whose answer is one line. */
    static String line(int port, String text) {
        try (Gear admin = new Gear(port)) {
            admin.timeout(5000);
            admin.out.write((text + "\n").getBytes(StandardCharsets.UTF_8));
            StringBuilder answer = new StringBuilder();
            for (int next = admin.in.read(); next >= 0 && next != '\n'; next = admin.in.read()) {
                answer.append((char) next);
            }
            return answer.toString();
        } catch (IOException e) {
            return "no answer: " + e.getMessage();
        }
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
