package beechseam.gearman;

import beechseam.config.GearmanConfig.Mode;
import beechseam.net.Connection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;

/** A connection of a client, a worker, both, or an operator who types admin lines. */
final class GearmanConnection extends Connection {
    private static final int MAX_LINE = 1024;
    private static final long STALL_NS = 30_000_000_000L;

    /** Jobs that this client waits for. */
    final Set<GearmanJob> waitsFor = new LinkedHashSet<>();
    private final GearmanServer server;
    private final int maxPacket;
    private GearmanWorker worker;
    private String clientId = "-";
    private boolean exceptions;

    GearmanConnection(GearmanServer server, SocketChannel channel, int maxPacket) throws IOException {
        super(server.loop, channel, maxPacket + Packet.HEADER);
        this.server = server;
        this.maxPacket = maxPacket;
    }

    boolean wantsExceptions() {
        return exceptions;
    }

    String clientId() {
        return clientId;
    }

    GearmanWorker worker() {
        return worker;
    }

    @Override
    protected void received(ByteBuffer in) {
        while (in.hasRemaining() && !closed()) {
            boolean whole = in.get(in.position()) == 0 ? packet(in) : line(in);
            if (!whole) {
                return;
            }
        }
    }

    private boolean line(ByteBuffer in) {
        for (int i = in.position(); i < in.limit(); i++) {
            byte c = in.get(i);
            if (c == '\n') {
                byte[] text = new byte[i - in.position()];
                in.get(text).get();
                write(ByteBuffer.wrap(server.admin(new String(text, StandardCharsets.ISO_8859_1).trim())
                    .getBytes(StandardCharsets.UTF_8)));
                return true;
            }
            if (c < ' ' && c != '\r' && c != '\t' || i - in.position() > MAX_LINE) {
                refuse("BAD_MAGIC", "neither a packet nor an admin line");
                return false;
            }
        }
        return false;
    }

    private boolean packet(ByteBuffer in) {
        if (in.remaining() < Packet.HEADER) {
            return false;
        }
        int at = in.position();
        int magic = in.getInt(at);
        int size = in.getInt(at + 8);
        if (magic != Packet.REQ) {
            refuse("BAD_MAGIC", "not a request packet");
            return false;
        }
        if (size < 0 || size > maxPacket) {
            refuse("TOO_LARGE", "a packet holds at most " + maxPacket + " bytes");
            return false;
        }
        if (in.remaining() < Packet.HEADER + size) {
            return false;
        }
        in.position(at + Packet.HEADER);
        ByteBuffer body = in.slice().limit(size);
        in.position(at + Packet.HEADER + size);
        Packet kind = Packet.of(in.getInt(at + 4));
        if (kind == null) {
            error("UNKNOWN_COMMAND", "a packet of no known kind");
            return true;
        }
        byte[][] args = arguments(body, kind.arguments);
        if (args == null) {
            error("BAD_ARGUMENTS", kind + " needs " + kind.arguments + " arguments");
        } else {
            handle(kind, args);
        }
        return true;
    }

    /** Copies of the arguments; null when there are too few. */
    private static byte[][] arguments(ByteBuffer body, int count) {
        byte[][] args = new byte[count][];
        for (int i = 0; i < count; i++) {
            int length = body.remaining();
            if (i < count - 1) {
                length = 0;
                while (length < body.remaining() && body.get(body.position() + length) != 0) {
                    length++;
                }
                if (length == body.remaining()) {
                    return null;
                }
            }
            args[i] = new byte[length];
            body.get(args[i]);
            if (i < count - 1) {
                body.get();
            }
        }
        return args;
    }

    private void handle(Packet kind, byte[][] args) {
        switch (kind) {
            case SUBMIT_JOB -> server.submit(this, args, Mode.NORMAL, false);
            case SUBMIT_JOB_HIGH -> server.submit(this, args, Mode.HIGH, false);
            case SUBMIT_JOB_LOW -> server.submit(this, args, Mode.LOW, false);
            case SUBMIT_JOB_BG, SUBMIT_JOB_HIGH_BG, SUBMIT_JOB_LOW_BG ->
                server.submit(this, args, Mode.BACKGROUND, true);
            case GET_STATUS -> server.status(this, text(args[0]), false);
            case GET_STATUS_UNIQUE -> server.status(this, text(args[0]), true);
            case ECHO_REQ -> write(Packet.ECHO_RES.response(args[0]));
            case OPTION_REQ -> option(text(args[0]));
            case SET_CLIENT_ID -> {
                clientId = text(args[0]).replaceAll("\\s", "_");
                if (worker != null) {
                    server.renamed(worker);
                }
            }
            case CAN_DO -> server.canDo(asWorker(), text(args[0]), 0);
            case CAN_DO_TIMEOUT -> canDo(text(args[0]), text(args[1]));
            case CANT_DO -> server.cantDo(asWorker(), text(args[0]));
            case RESET_ABILITIES -> server.reset(asWorker());
            case PRE_SLEEP -> server.preSleep(asWorker());
            case GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL -> server.grab(asWorker(), kind);
            case WORK_STATUS, WORK_DATA, WORK_WARNING, WORK_EXCEPTION, WORK_COMPLETE, WORK_FAIL ->
                server.work(asWorker(), kind, args);
            case ALL_YOURS -> { } // a promise that needs no answer
            default -> error("UNKNOWN_COMMAND", kind + " is not for a job server");
        }
    }

    private void canDo(String function, String seconds) {
        if (!seconds.matches("\\d{1,8}")) {
            error("BAD_ARGUMENTS", "CAN_DO_TIMEOUT needs a whole number of seconds");
        } else {
            server.canDo(asWorker(), function, Integer.parseInt(seconds));
        }
    }

    private void option(String name) {
        if (name.equals("exceptions")) {
            exceptions = true;
            write(Packet.OPTION_RES.response(name));
        } else {
            error("UNKNOWN_OPTION", "the only option is 'exceptions'");
        }
    }

    private GearmanWorker asWorker() {
        if (worker == null) {
            worker = server.newWorker(this);
        }
        return worker;
    }

    void error(String code, String message) {
        server.counters().badInput++;
        write(Packet.ERROR.response(code, message));
    }

    /** The frame is lost: nothing that follows can be understood. */
    private void refuse(String code, String message) {
        error(code, message);
        closeWhenWritten();
        if (!closed()) {
            close();
        }
    }

    /** A peer that stops within a packet, or takes nothing that is written, is cut off; idle ones stay. */
    void sweep(long now) {
        if ((hasUnused() || unwritten() > 0) && now - lastActivity() > STALL_NS) {
            close();
        }
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    static boolean same(byte[] bytes, String text) {
        return Arrays.equals(bytes, text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    protected void lost(IOException why) {
        // Both ends of a connection's life come by released().
    }

    @Override
    protected void released() {
        server.gone(this);
    }
}
