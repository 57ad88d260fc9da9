package beechseam.gearman.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The packet types of Gearman's binary protocol in the order of its published list, with the side that may send
 * each and its number of arguments. The protocol does not assign number 5.
 */
public enum Packet {
    CAN_DO(1, 1, Side.WORKER),
    CANT_DO(2, 1, Side.WORKER),
    RESET_ABILITIES(3, 0, Side.WORKER),
    PRE_SLEEP(4, 0, Side.WORKER),
    NOOP(6, 0, Side.SERVER),
    SUBMIT_JOB(7, 3, Side.CLIENT),
    JOB_CREATED(8, 1, Side.SERVER),
    GRAB_JOB(9, 0, Side.WORKER),
    NO_JOB(10, 0, Side.SERVER),
    JOB_ASSIGN(11, 3, Side.SERVER),
    WORK_STATUS(12, 3, Side.WORKER),
    WORK_COMPLETE(13, 2, Side.WORKER),
    WORK_FAIL(14, 1, Side.WORKER),
    GET_STATUS(15, 1, Side.CLIENT),
    ECHO_REQ(16, 1, Side.BOTH),
    ECHO_RES(17, 1, Side.SERVER),
    SUBMIT_JOB_BG(18, 3, Side.CLIENT),
    ERROR(19, 2, Side.SERVER),
    STATUS_RES(20, 5, Side.SERVER),
    SUBMIT_JOB_HIGH(21, 3, Side.CLIENT),
    SET_CLIENT_ID(22, 1, Side.BOTH),
    CAN_DO_TIMEOUT(23, 2, Side.WORKER),
    ALL_YOURS(24, 0, Side.WORKER),
    WORK_EXCEPTION(25, 2, Side.WORKER),
    OPTION_REQ(26, 1, Side.BOTH),
    OPTION_RES(27, 1, Side.SERVER),
    WORK_DATA(28, 2, Side.WORKER),
    WORK_WARNING(29, 2, Side.WORKER),
    GRAB_JOB_UNIQ(30, 0, Side.WORKER),
    JOB_ASSIGN_UNIQ(31, 4, Side.SERVER),
    SUBMIT_JOB_HIGH_BG(32, 3, Side.CLIENT),
    SUBMIT_JOB_LOW(33, 3, Side.CLIENT),
    SUBMIT_JOB_LOW_BG(34, 3, Side.CLIENT),
    SUBMIT_JOB_SCHED(35, 8, Side.CLIENT),
    SUBMIT_JOB_EPOCH(36, 4, Side.CLIENT),
    SUBMIT_REDUCE_JOB(37, 4, Side.CLIENT),
    SUBMIT_REDUCE_JOB_BACKGROUND(38, 4, Side.CLIENT),
    GRAB_JOB_ALL(39, 0, Side.WORKER),
    JOB_ASSIGN_ALL(40, 5, Side.SERVER),
    GET_STATUS_UNIQUE(41, 1, Side.CLIENT),
    STATUS_RES_UNIQUE(42, 6, Side.SERVER);

    /** The side that sends a packet. */
    public enum Side {
        CLIENT,
        WORKER,
        BOTH,
        SERVER
    }

    /** Length of the packet header in bytes: magic, packet number and body length. */
    public static final int HEADER = 12;
    /** The magic of packets to a server, {@code \0REQ}. */
    public static final int REQ = 0x00524551;

    /** The magic of packets from a server, {@code \0RES}. */
    public static final int RES = 0x00524553;

    private static final Packet[] BY_CODE = new Packet[43];

    static {
        for (Packet each : values()) {
            BY_CODE[each.code] = each;
        }
    }

    public final int code;
    /** Number of arguments; they are separated by NULs, and the last may contain any bytes. */
    public final int arguments;

    public final Side side;

    Packet(int code, int arguments, Side side) {
        this.code = code;
        this.arguments = arguments;
        this.side = side;
    }

    /** The packet type with that number, or null. */
    public static Packet of(int code) {
        return code >= 0 && code < BY_CODE.length ? BY_CODE[code] : null;
    }

    /** Encodes a complete packet from a server. An argument is a byte array or an object that is sent as text. */
    public ByteBuffer response(Object... args) {
        return frame(RES, 0, args);
    }

    /** Encodes a complete packet to a server. */
    public ByteBuffer request(Object... args) {
        return frame(REQ, 0, args);
    }

    /**
     * Encodes a packet from a server without its last argument, which the caller writes after it from another
     * buffer, so that it is not copied.
     *
     * @param last length of the last argument in bytes
     */
    public ByteBuffer responseBefore(int last, Object... args) {
        return frame(RES, last, args);
    }

    private ByteBuffer frame(int magic, int last, Object... args) {
        byte[][] parts = new byte[args.length][];
        // Counts the NULs between the arguments and before a separate last one.
        int size = last == 0 ? Math.max(0, args.length - 1) : args.length;
        for (int i = 0; i < args.length; i++) {
            parts[i] =
                    args[i] instanceof byte[] bytes ? bytes : args[i].toString().getBytes(StandardCharsets.UTF_8);
            size += parts[i].length;
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER + size);
        out.putInt(magic).putInt(code).putInt(size + last);
        for (int i = 0; i < parts.length; i++) {
            if (i > 0) {
                out.put((byte) 0);
            }
            out.put(parts[i]);
        }
        if (last > 0 && args.length > 0) {
            out.put((byte) 0);
        }
        return out.flip();
    }
}
