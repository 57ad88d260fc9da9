package beechseam.http;

import beechseam.net.Connection;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * The server side of an HTTP connection: one exchange at a time, each answered once and in order. {@link #sweep}
 * enforces the time-outs: for a whole request, for reading answers, for idling, and for closing after the last
 * answer.
 */
public abstract class ServerConnection extends Connection {
    /** Time-out of a request, from its first byte, or from the accept where it is the first. */
    private static final long REQUEST_TIMEOUT_NS = 2_000_000_000L;
    /** Time-out of a peer that does not read its answers. */
    private static final long WRITE_STALL_TIMEOUT_NS = 10_000_000_000L;

    /** With more unread answers than this no further request is parsed. */
    private static final int MAX_UNREAD_ANSWER_BYTES = 64 * 1024;
    /** Idle time-out between requests. */
    private static final long IDLE_TIMEOUT_NS = 120_000_000_000L;
    /** Time for the peer to close after the last answer. */
    private static final long CLOSE_TIMEOUT_NS = 1_000_000_000L;

    private final HttpParser parser = new HttpParser(true);
    private final long acceptedNs;
    /** Also true after the last answer, so that no further request is parsed. */
    private boolean exchanging;

    private boolean parsing;
    private boolean keepAlive = true;
    /** A part of a request has come, and not all. */
    private boolean partial;
    /** At least one whole request has come. */
    private boolean used;

    private long partialSinceNs;
    private long requestArrivedNs;
    private long endedNs;

    /** Serves an accepted channel. */
    protected ServerConnection(EventLoop loop, SocketChannel channel) throws IOException {
        super(loop, channel, HttpParser.MAX_MESSAGE);
        acceptedNs = loop.now();
    }

    /** Callback: a request has come, to be answered by one {@link #respond}. Its slices are void after the call. */
    protected abstract void exchange(HttpParser request);

    /** Callback: input that is no well-formed request; it has been answered with the status of {@code why}. */
    protected abstract void refused(HttpException why);

    /** Whether the server is shutting down: each answer then announces the close of its connection. */
    protected abstract boolean stopping();

    @Override
    protected final void received(ByteBuffer in) {
        parsing = true;
        try {
            while (!exchanging && !closed() && in.hasRemaining() && unwritten() < MAX_UNREAD_ANSWER_BYTES) {
                if (!parser.parse(in)) {
                    partialSinceNs = partial ? partialSinceNs : used ? loop.now() : acceptedNs;
                    partial = true;
                    break;
                }
                partial = false;
                used = true;
                exchanging = true;
                keepAlive = parser.keepAlive();
                requestArrivedNs = arrivedAt(in.remaining());
                exchange(parser);
            }
        } catch (HttpException e) {
            partial = false;
            exchanging = true;
            keepAlive = false;
            respond(e.status, "Content-Type: text/plain\r\n", text(e.getMessage()));
            exchanging = true; // where a next request would begin is unknown
            refused(e);
        } finally {
            parsing = false;
        }
    }

    /**
     * Answers the exchange under way; ignored where there is none or the connection is closed.
     *
     * @param headers further header lines, each with its CR LF; may be empty
     */
    protected final void respond(int status, String headers, byte[] body) {
        if (!exchanging || closed()) {
            return;
        }
        exchanging = false;
        boolean close = !keepAlive || stopping() || peerEnded();
        write(HttpWriter.response(status, headers, body, close));
        if (close) {
            exchanging = true;
            endedNs = loop.now();
            endWhenWritten();
        } else if (!parsing) {
            processBufferedInput(); // the next request may have come meanwhile
        }
    }

    /** Between exchanges, so that a client that has closed behind its request is noticed before this is acted on. */
    @Override
    protected final boolean readsUntilPeerCloses() {
        return !exchanging;
    }

    /**
     * During an exchange a full buffer would stop the reading, and the client's close would not be noticed any
     * more. What follows the request is dropped, and the connection ends with the answer.
     */
    @Override
    protected final boolean discardsExcessInput() {
        if (exchanging) {
            keepAlive = false;
        }
        return exchanging;
    }

    /** Parses requests that waited until answers were read. */
    @Override
    protected final void written() {
        if (!exchanging && !parsing) {
            processBufferedInput();
        }
    }

    /**
     * When the last byte of the request under way was read, in ns of the loop's clock: it may have waited in the
     * buffer behind another request, or while the peer read no answers.
     */
    protected final long requestArrivedAt() {
        return requestArrivedNs;
    }

    /** Whether no whole request has come yet. */
    public final boolean unused() {
        return !used && !exchanging;
    }

    /** Whether it is between requests with all answers written, so that a close breaks nothing. */
    public final boolean idle() {
        return !exchanging && !partial && unwritten() == 0;
    }

    /** Closes it, unless a request waits unread in the kernel: that one is served. */
    public final void closeUnlessAsked() {
        if (!exchanging) {
            catchUp();
        }
        if (!exchanging && unwritten() == 0) {
            close();
        }
    }

    /** Enforces the time-outs; to be called regularly with the time of the loop in ns. */
    public final void sweep(long now) {
        boolean silent = unused() && !partial && now - acceptedNs > REQUEST_TIMEOUT_NS;
        if (partial && !exchanging && now - partialSinceNs > REQUEST_TIMEOUT_NS) {
            exchanging = true;
            keepAlive = false;
            respond(408, "Content-Type: text/plain\r\n", text("the request did not come in time"));
        } else if (silent || idle() && now - lastActivity() > IDLE_TIMEOUT_NS) {
            closeUnlessAsked();
        } else if (unwritten() > 0
                ? now - lastActivity() > WRITE_STALL_TIMEOUT_NS
                : ending() && now - Math.max(endedNs, lastActivity()) > CLOSE_TIMEOUT_NS) {
            // The time to close counts from the last write, however slowly the answer was read.
            fail(new IOException("the peer wastes its connection"));
        }
    }

    /** The body of a plain-text answer: the message and a line feed, in UTF-8. */
    protected static byte[] text(String message) {
        return (message + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
