package beechseam.gearman.protocol;

import java.nio.ByteBuffer;

/**
 * Takes packets out of a stream of bytes. A packet that the read buffer holds whole is handed on as slices of
 * it; a longer one is read into an array of its own size, for which the owner is asked first, so that no
 * length that lies costs memory. States: {@link State}; each step that needs more bytes than there are
 * returns. A fault of the frame ends the decoder, since nothing that follows can be understood. O(1) memory
 * besides the packet in hand.
 */
public final class PacketDecoder {
    /** What the decoder waits for. */
    public enum State {
        /** The header of the next packet. */
        HEADER,
        /** The rest of a body that fits the read buffer; the header is still unread. */
        BODY,
        /** The rest of a body that is read into an array of its own. */
        LONG_BODY,
        /** The rest of a body that is dropped. */
        SKIPPING,
        /** Nothing: a fault of the frame has ended it. */
        BROKEN
    }

    /** Where in a header the packet's number and the bytes of its body stand. */
    private static final int CODE_OFFSET = 4;

    private static final int SIZE_OFFSET = 8;

    /** What to do with a packet that does not fit the read buffer. */
    public enum Verdict {
        /** Read it into an array of its own. */
        TAKE,
        /** Not now: {@link #decode} returns with the header unread; it is asked again at the next call. */
        WAIT,
        /** Drop its bytes as they come; the stream stays in step. */
        SKIP
    }

    /** Who is told of packets. */
    public interface Owner {
        /** A packet of a known number, {@code args} null where it has too few arguments. */
        void packet(Packet kind, Arguments args);

        /** A frame that is whole and of no known number. */
        void unknown(int code);

        /** A packet longer than the read buffer is about to be read. Asked once, but for WAIT. */
        Verdict longPacket(Packet kind, int size);

        /** The stream cannot be understood: wrong magic, or a length that is negative or over the bound. */
        void broken(String code, String why);

        /** No more packets are wanted just now: what is unread stays unread. */
        boolean paused();
    }

    private final Owner owner;
    private final int magic;
    private final int maxBodyBytes;
    private final int maxInPlaceBytes;
    private State state = State.HEADER;
    private Packet kind;
    private byte[] body;
    private int bodyBytesRead;
    private long bytesToSkip;

    /**
     * @param magic           of the packets that are understood, {@link Packet#REQ} or {@link Packet#RES}
     * @param maxBodyBytes    bytes of a body at most
     * @param maxInPlaceBytes bytes of a body up to which it is waited for in the read buffer
     */
    public PacketDecoder(Owner owner, int magic, int maxBodyBytes, int maxInPlaceBytes) {
        this.owner = owner;
        this.magic = magic;
        this.maxBodyBytes = maxBodyBytes;
        this.maxInPlaceBytes = maxInPlaceBytes;
    }

    /** What it waits for now. */
    public State state() {
        return state;
    }

    /** Whether a packet has begun and is not whole, in an array of its own or as bytes to drop. */
    public boolean insideLongPacket() {
        return state == State.LONG_BODY || state == State.SKIPPING;
    }

    /** Bytes that an unfinished long packet has been given room for; 0 for none. */
    public int inHand() {
        return state == State.LONG_BODY ? body.length : 0;
    }

    /**
     * Decodes all packets that a buffer holds and leaves the rest unread.
     *
     * @param in a buffer with an array, as the read buffers are
     */
    public void decode(ByteBuffer in) {
        while (next(in)) {
            continue;
        }
    }

    /** A part of a packet, or one; false when more bytes are needed, or the owner wants to wait. */
    public boolean next(ByteBuffer in) {
        if (!in.hasRemaining() || owner.paused()) {
            return false;
        }
        return switch (state) {
            case HEADER, BODY -> header(in);
            case LONG_BODY -> longBody(in);
            case SKIPPING -> skip(in);
            case BROKEN -> false;
        };
    }

    /** Reads a header, and its body where the buffer holds that whole. */
    private boolean header(ByteBuffer in) {
        int start = in.position();
        if (!magicMatches(in, start)) {
            return broken("BAD_MAGIC", "not a packet of this protocol, or one of the wrong direction");
        }
        if (in.remaining() < Packet.HEADER) {
            return false;
        }
        int size = in.getInt(start + SIZE_OFFSET);
        if (size < 0 || size > maxBodyBytes) {
            return broken(
                    "TOO_LARGE",
                    "a packet of " + Integer.toUnsignedString(size) + " bytes, where " + maxBodyBytes + " are allowed");
        }
        int code = in.getInt(start + CODE_OFFSET);
        kind = Packet.of(code);
        if (size > maxInPlaceBytes) {
            return beginLongPacket(in, code, size);
        }
        if (in.remaining() < Packet.HEADER + size) {
            state = State.BODY;
            return false;
        }
        state = State.HEADER;
        in.position(start + Packet.HEADER + size);
        if (kind == null) {
            owner.unknown(code);
        } else {
            int bodyOffset = in.arrayOffset() + start + Packet.HEADER;
            owner.packet(kind, Arguments.of(in.array(), bodyOffset, size, kind.arguments, false));
        }
        return true;
    }

    /** Checked byte by byte as they come: a peer of another protocol may never send a whole header. */
    private boolean magicMatches(ByteBuffer in, int start) {
        for (int i = 0; i < Integer.BYTES && i < in.remaining(); i++) {
            if (in.get(start + i) != (byte) (magic >>> 24 - 8 * i)) {
                return false;
            }
        }
        return true;
    }

    /** The header of a packet that does not fit the read buffer: its owner says what becomes of the body. */
    private boolean beginLongPacket(ByteBuffer in, int code, int size) {
        Verdict verdict = kind == null ? Verdict.SKIP : owner.longPacket(kind, size);
        if (verdict == Verdict.WAIT) {
            return false;
        }
        in.position(in.position() + Packet.HEADER);
        if (verdict == Verdict.TAKE) {
            body = new byte[size];
            bodyBytesRead = 0;
            state = State.LONG_BODY;
            return true;
        }
        bytesToSkip = size;
        state = State.SKIPPING;
        if (kind == null) {
            owner.unknown(code);
        }
        return true;
    }

    private boolean longBody(ByteBuffer in) {
        int count = Math.min(in.remaining(), body.length - bodyBytesRead);
        in.get(body, bodyBytesRead, count);
        bodyBytesRead += count;
        if (bodyBytesRead < body.length) {
            return false;
        }
        byte[] whole = body;
        body = null;
        state = State.HEADER;
        owner.packet(kind, Arguments.of(whole, 0, whole.length, kind.arguments, true));
        return true;
    }

    private boolean skip(ByteBuffer in) {
        int count = (int) Math.min(in.remaining(), bytesToSkip);
        in.position(in.position() + count);
        bytesToSkip -= count;
        if (bytesToSkip == 0) {
            state = State.HEADER;
        }
        return bytesToSkip == 0;
    }

    private boolean broken(String code, String why) {
        state = State.BROKEN;
        owner.broken(code, why);
        return false;
    }
}
