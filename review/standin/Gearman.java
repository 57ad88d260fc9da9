package standin;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A connection of a client or a worker that speaks the Gearman protocol. */
final class Gearman implements AutoCloseable {
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
    static final int SUBMIT_JOB_BG = 18;
    static final int ERROR = 19;
    static final int SET_CLIENT_ID = 22;
    static final int WORK_DATA = 28;
    static final int GRAB_JOB_UNIQ = 30;
    static final int JOB_ASSIGN_UNIQ = 31;

    record Packet(int kind, byte[] body) {
        /** The arguments, of which the last may contain NULs. */
        List<String> args(int count) {
            List<String> args = new ArrayList<>();
            int at = 0;
            for (int i = 0; i < count - 1; i++) {
                int end = at;
                while (end < body.length && body[end] != 0) {
                    end++;
                }
                args.add(new String(body, at, end - at, StandardCharsets.UTF_8));
                at = end + 1;
            }
            args.add(new String(body, Math.min(at, body.length), Math.max(0, body.length - at), StandardCharsets.UTF_8));
            return args;
        }
    }

    final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;

    Gearman(InetSocketAddress server) throws IOException {
        this(server, 0);
    }

    /** Connects; {@code receiveBuffer} is the size of the socket's receive buffer, 0 for the system's own choice. */
    Gearman(InetSocketAddress server, int receiveBuffer) throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(server, 2000);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        out = socket.getOutputStream();
    }

    synchronized void send(int kind, String... args) throws IOException {
        byte[] body = String.join("\0", args).getBytes(StandardCharsets.UTF_8);
        out.write(ByteBuffer.allocate(12 + body.length)
                .put((byte) 0)
                .put(new byte[] {'R', 'E', 'Q'})
                .putInt(kind)
                .putInt(body.length)
                .put(body)
                .array());
        out.flush();
    }

    /** Waits for the next packet; null at the end of the stream. */
    Packet receive() throws IOException {
        try {
            in.readInt();
        } catch (EOFException e) {
            return null;
        }
        int kind = in.readInt();
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        return new Packet(kind, body);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
