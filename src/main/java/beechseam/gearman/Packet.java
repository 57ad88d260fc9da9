package beechseam.gearman;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** The packets of Gearman's binary protocol, and the frame around them. */
enum Packet {
    CAN_DO(1, 1), CANT_DO(2, 1), RESET_ABILITIES(3, 0), PRE_SLEEP(4, 0), NOOP(6, 0), SUBMIT_JOB(7, 3),
    JOB_CREATED(8, 1), GRAB_JOB(9, 0), NO_JOB(10, 0), JOB_ASSIGN(11, 3), WORK_STATUS(12, 3),
    WORK_COMPLETE(13, 2), WORK_FAIL(14, 1), GET_STATUS(15, 1), ECHO_REQ(16, 1), ECHO_RES(17, 1),
    SUBMIT_JOB_BG(18, 3), ERROR(19, 2), STATUS_RES(20, 5), SUBMIT_JOB_HIGH(21, 3), SET_CLIENT_ID(22, 1),
    CAN_DO_TIMEOUT(23, 2), ALL_YOURS(24, 0), WORK_EXCEPTION(25, 2), OPTION_REQ(26, 1), OPTION_RES(27, 1),
    WORK_DATA(28, 2), WORK_WARNING(29, 2), GRAB_JOB_UNIQ(30, 0), JOB_ASSIGN_UNIQ(31, 4),
    SUBMIT_JOB_HIGH_BG(32, 3), SUBMIT_JOB_LOW(33, 3), SUBMIT_JOB_LOW_BG(34, 3), GRAB_JOB_ALL(39, 0),
    JOB_ASSIGN_ALL(40, 5), GET_STATUS_UNIQUE(41, 1), STATUS_RES_UNIQUE(42, 6);

    static final int HEADER = 12;
    static final int REQ = 0x00524551;
    static final int RES = 0x00524553;
    private static final Map<Integer, Packet> BY_CODE = new HashMap<>();

    static {
        for (Packet each : values()) {
            BY_CODE.put(each.code, each);
        }
    }

    final int code;
    /** How many arguments it has; NULs part them, and the last may hold any bytes. */
    final int arguments;

    Packet(int code, int arguments) {
        this.code = code;
        this.arguments = arguments;
    }

    /** The packet of a number, or null. */
    static Packet of(int code) {
        return BY_CODE.get(code);
    }

    ByteBuffer response(Object... args) {
        return frame(RES, args);
    }

    ByteBuffer request(Object... args) {
        return frame(REQ, args);
    }

    /** Arguments are texts or bytes. */
    private ByteBuffer frame(int magic, Object... args) {
        byte[][] parts = new byte[args.length][];
        int size = Math.max(0, args.length - 1);
        for (int i = 0; i < args.length; i++) {
            parts[i] = args[i] instanceof byte[] bytes ? bytes
                : args[i].toString().getBytes(StandardCharsets.UTF_8);
            size += parts[i].length;
        }
        ByteBuffer out = ByteBuffer.allocate(HEADER + size).putInt(magic).putInt(code).putInt(size);
        for (int i = 0; i < parts.length; i++) {
            if (i > 0) {
                out.put((byte) 0);
            }
            out.put(parts[i]);
        }
        return out.flip();
    }
}
