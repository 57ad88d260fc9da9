package beechseam.http;

import beechseam.net.Connection;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * The serving end of an HTTP connection: one exchange at a time, each answered once and in order. A peer that
 * wastes it is cut off: one that says nothing, or not all, or reads no answers, or goes on after its last.
 */
public abstract class ServerConnection extends Connection {
    /** A request comes whole in this time: from its first byte, or from the accept where it is the first. */
    private static final long REQUEST_NS = 2_000_000_000L;
    /** Answers that are not read: so long for one, and no further request before most have been taken. */
    private static final long STALL_NS = 10_000_000_000L;

    private static final int MOST_UNREAD = 64 * 1024;
    /** A connection that has served may stand idle. */
    private static final long IDLE_NS = 120_000_000_000L;
    /** After the last answer the peer has this long to close. */
    private static final long END_NS = 1_000_000_000L;

    private final HttpParser parser = new HttpParser(true);
    private final long acceptedAt;
    private boolean busy;
    private boolean reading;
    private boolean keepAlive = true;
    private boolean partial;
    private boolean used;
    private long partialSince;
    private long requestArrivedAt;
    private long endedAt;

    protected ServerConnection(EventLoop loop, SocketChannel channel) throws IOException {
        super(loop, channel, HttpParser.MAX_MESSAGE);
        acceptedAt = loop.now();
    }

    /** A request has come; it is owed one {@link #respond}. Its slices are void after the call. */
    protected abstract void exchange(HttpParser request);

    /** Input that was no proper request; it has been answered. */
    protected abstract void refused(HttpException why);

    /** Whether answers are to ask the client to go elsewhere. */
    protected abstract boolean stopping();

    @Override
    protected final void received(ByteBuffer in) {
        reading = true;
        try {
            while (!busy && !closed() && in.hasRemaining() && unwritten() < MOST_UNREAD) {
                if (!parser.parse(in)) {
                    partialSince = partial ? partialSince : used ? loop.now() : acceptedAt;
                    partial = true;
                    break;
                }
                partial = false;
                used = true;
                busy = true;
                keepAlive = parser.keepAlive();
                requestArrivedAt = arrivedAt(in.remaining());
                exchange(parser);
            }
        } catch (HttpException e) {
            partial = false;
            busy = true;
            keepAlive = false;
            respond(e.status, "Content-Type: text/plain\r\n", text(e.getMessage()));
            busy = true; // whatever follows on this connection has lost its frame
            refused(e);
        } finally {
            reading = false;
        }
    }

    /** The answer to the exchange under way. */
    protected final void respond(int status, String headers, byte[] body) {
        if (!busy || closed()) {
            return;
        }
        busy = false;
        boolean close = !keepAlive || stopping() || peerEnded();
        write(HttpWriter.response(status, headers, body, close));
        if (close) {
            busy = true;
            endedAt = loop.now();
            endWhenWritten();
        } else if (!reading) {
            processBufferedInput(); // the next request may have come meanwhile
        }
    }

    /** A request is acted on: its client may have gone behind it, as far as that has come. */
    @Override
    protected final boolean readsUntilPeerCloses() {
        return !busy;
    }

    /**
     * Behind a request that is under way so much has come that reading would stop, and the client's close
     * would not be noticed any more. What follows is dropped, and the connection ends with the answer.
     */
    @Override
    protected final boolean discardsExcessInput() {
        if (busy) {
            keepAlive = false;
        }
        return busy;
    }

    /** Requests that waited until answers were taken. */
    @Override
    protected final void written() {
        if (!busy && !reading) {
            processBufferedInput();
        }
    }

    /**
     * When the last byte of the request under way was read: it may have waited here behind another request,
     * or while this one's peer took no answers.
     */
    protected final long requestArrivedAt() {
        return requestArrivedAt;
    }

    /** Has not sent a whole request yet, and owes one. */
    public final boolean unused() {
        return !used && !busy;
    }

    /** Between requests: closing it now breaks nothing. */
    public final boolean idle() {
        return !busy && !partial && unwritten() == 0;
    }

    /** Closes it, unless a request has come that nobody has read yet: that one is taken. */
    public final void closeUnlessAsked() {
        if (!busy) {
            catchUp();
        }
        if (!busy && unwritten() == 0) {
            close();
        }
    }

    /** Ends the connection of a peer that wastes it. */
    public final void sweep(long now) {
        boolean silent = unused() && !partial && now - acceptedAt > REQUEST_NS;
        if (partial && !busy && now - partialSince > REQUEST_NS) {
            busy = true;
            keepAlive = false;
            respond(408, "Content-Type: text/plain\r\n", text("the request did not come in time"));
        } else if (silent || idle() && now - lastActivity() > IDLE_NS) {
            closeUnlessAsked();
        } else if (unwritten() > 0
                ? now - lastActivity() > STALL_NS
                : ending() && now - Math.max(endedAt, lastActivity()) > END_NS) {
            // The time to close counts from when the last answer is out, however slowly it was read.
            fail(new IOException("the peer wastes its connection"));
        }
    }

    protected static byte[] text(String message) {
        return (message + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
