package beechseam.gearman.protocol;

import java.nio.ByteBuffer;

/**
 * Decodes packets from a stream of bytes. A packet that fits the read buffer is passed on as slices of it. A longer
 * one is read into an array of its own, after the owner has agreed, so that a false length field does not make the
 * decoder allocate memory. {@link State} lists the states; a step that needs more bytes than are available
 * returns. A malformed frame ends the decoder, since the start of the next packet is then unknown. Besides the
 * packet being read, the decoder needs O(1) memory.
 */
public final class PacketDecoder {
    /** What the decoder waits for. */
    public enum State {
        /** The header of the next packet. */
        HEADER,
        /** The rest of a body that fits the read buffer; the header has not been consumed yet. */
        BODY,
        /** The rest of a body that is read into an array of its own. */
        LONG_BODY,
        /** The rest of a body that is discarded. */
        SKIPPING,
        /** Nothing: a malformed frame has ended the decoder. */
        BROKEN
    }

    /** Offset of the packet number in a header. */
    private static final int CODE_OFFSET = 4;

    /** Offset of the body's length in a header. */
    private static final int SIZE_OFFSET = 8;

    /** The owner's decision on a packet that does not fit the read buffer. */
    public enum Verdict {
        /** Read it into an array of its own. */
        TAKE,
        /** Wait: {@link #decode} leaves the header unread, and its next call asks the owner again. */
        WAIT,
        /** Discard its bytes as they arrive and continue with the next packet. */
        SKIP
    }

    /** Receives the decoded packets and decides on long ones. */
    public interface Owner {
        /** Receives a packet of a known number; {@code args} is null if it has too few arguments. */
        void packet(Packet kind, Arguments args);

        /** Receives the number of a packet that is well-formed but of no known number. */
        void unknown(int code);

        /** Decides on a packet that is longer than the read buffer; called once, and again only after WAIT. */
        Verdict longPacket(Packet kind, int size);

        /** Reports a malformed frame: a wrong magic, or a length that is negative or above the bound. */
        void broken(String code, String why);

        /** Whether decoding is paused; unread bytes then stay in the buffer. */
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
     * @param magic           magic of the packets to decode, {@link Packet#REQ} or {@link Packet#RES}
     * @param maxBodyBytes    greatest length of a body
     * @param maxInPlaceBytes greatest length of a body that is decoded from the read buffer
     */
    public PacketDecoder(Owner owner, int magic, int maxBodyBytes, int maxInPlaceBytes) {
        this.owner = owner;
        this.magic = magic;
        this.maxBodyBytes = maxBodyBytes;
        this.maxInPlaceBytes = maxInPlaceBytes;
    }

    /** What the decoder waits for now. */
    public State state() {
        return state;
    }

    /** Whether a long packet is partly read, into an array of its own or as bytes to discard. */
    public boolean insideLongPacket() {
        return state == State.LONG_BODY || state == State.SKIPPING;
    }

    /** Bytes that are allocated for a partly read long packet; 0 for none. */
    public int allocatedBytes() {
        return state == State.LONG_BODY ? body.length : 0;
    }

    /**
     * Decodes all complete packets in a buffer and leaves the rest unread.
     *
     * @param in a buffer that is backed by an array
     */
    public void decode(ByteBuffer in) {
        while (next(in)) {
            continue;
        }
    }

    /** Decodes one packet or a part of it; false if more bytes are needed or the owner is paused or waits. */
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

    /** Reads a header, and the body if the buffer contains all of it. */
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

    /** Checks the bytes of the magic that have arrived: a peer of another protocol may never send a whole header. */
    private boolean magicMatches(ByteBuffer in, int start) {
        for (int i = 0; i < Integer.BYTES && i < in.remaining(); i++) {
            if (in.get(start + i) != (byte) (magic >>> 24 - 8 * i)) {
                return false;
            }
        }
        return true;
    }

    /** Begins a packet that does not fit the read buffer; the owner decides whether to read or discard its body. */
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
