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
        HEADER,
        BODY,
        LONG_BODY,
        SKIPPING,
        BROKEN
    }

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
    private final int longest;
    private final int inPlace;
    private State state = State.HEADER;
    private Packet kind;
    private byte[] body;
    private int have;
    private long skip;

    /**
     * @param magic   of the packets that are understood, {@link Packet#REQ} or {@link Packet#RES}
     * @param longest bytes of a body at most
     * @param inPlace bytes of a body up to which it is waited for in the read buffer
     */
    public PacketDecoder(Owner owner, int magic, int longest, int inPlace) {
        this.owner = owner;
        this.magic = magic;
        this.longest = longest;
        this.inPlace = inPlace;
    }

    public State state() {
        return state;
    }

    /** Whether a packet has begun and is not whole, in an array of its own or as bytes to drop. */
    public boolean within() {
        return state == State.LONG_BODY || state == State.SKIPPING;
    }

    /** Bytes that an unfinished long packet has been given room for; 0 for none. */
    public int inHand() {
        return state == State.LONG_BODY ? body.length : 0;
    }

    /** Uses up what it can of a buffer with an array, as those of the read buffers are. */
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

    private boolean header(ByteBuffer in) {
        int at = in.position();
        // Told as soon as it shows: a peer that speaks something else may never send twelve bytes.
        for (int i = 0; i < 4 && i < in.remaining(); i++) {
            if (in.get(at + i) != (byte) (magic >>> 24 - 8 * i)) {
                return broken("BAD_MAGIC", "not a packet of this protocol, or one of the wrong direction");
            }
        }
        if (in.remaining() < Packet.HEADER) {
            return false;
        }
        int size = in.getInt(at + 8);
        if (size < 0 || size > longest) {
            return broken(
                    "TOO_LARGE",
                    "a packet of " + Integer.toUnsignedString(size) + " bytes, where " + longest + " are allowed");
        }
        int code = in.getInt(at + 4);
        kind = Packet.of(code);
        if (size > inPlace) {
            Verdict verdict = kind == null ? Verdict.SKIP : owner.longPacket(kind, size);
            if (verdict == Verdict.WAIT) {
                return false;
            }
            in.position(at + Packet.HEADER);
            if (verdict == Verdict.TAKE) {
                body = new byte[size];
                have = 0;
                state = State.LONG_BODY;
            } else {
                skip = size;
                state = State.SKIPPING;
                if (kind == null) {
                    owner.unknown(code);
                }
            }
            return true;
        }
        if (in.remaining() < Packet.HEADER + size) {
            state = State.BODY;
            return false;
        }
        state = State.HEADER;
        in.position(at + Packet.HEADER + size);
        if (kind == null) {
            owner.unknown(code);
        } else {
            owner.packet(
                    kind, Arguments.of(in.array(), in.arrayOffset() + at + Packet.HEADER, size, kind.arguments, false));
        }
        return true;
    }

    private boolean longBody(ByteBuffer in) {
        int n = Math.min(in.remaining(), body.length - have);
        in.get(body, have, n);
        have += n;
        if (have < body.length) {
            return false;
        }
        byte[] whole = body;
        body = null;
        state = State.HEADER;
        owner.packet(kind, Arguments.of(whole, 0, whole.length, kind.arguments, true));
        return true;
    }

    private boolean skip(ByteBuffer in) {
        int n = (int) Math.min(in.remaining(), skip);
        in.position(in.position() + n);
        skip -= n;
        if (skip == 0) {
            state = State.HEADER;
        }
        return skip == 0;
    }

    private boolean broken(String code, String why) {
        state = State.BROKEN;
        owner.broken(code, why);
        return false;
    }
}
