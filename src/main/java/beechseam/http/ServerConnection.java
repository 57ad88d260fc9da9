package beechseam.http;

import beechseam.net.BufferShare;
import beechseam.net.Connection;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/**
 * The server side of an HTTP connection. It handles one exchange at a time and answers each once, in order.
 * {@link #sweep} enforces the time-outs: for receiving a request, for reading answers, for idling, and for closing
 * after the last answer.
 */
public abstract class ServerConnection extends Connection {
    /** Time-out for receiving a request, from its first byte, or from the accept for the first request. */
    private static final long REQUEST_TIMEOUT_NS = 2_000_000_000L;
    /** Time-out for a peer that does not read its answers. */
    private static final long WRITE_STALL_TIMEOUT_NS = 10_000_000_000L;

    /** Limit of unread answers; beyond it no further request is parsed. */
    private static final int MAX_UNREAD_ANSWER_BYTES = 64 * 1024;
    /** Idle time-out between requests. */
    private static final long IDLE_TIMEOUT_NS = 120_000_000_000L;
    /** Time-out for the peer's close after the last answer. */
    private static final long CLOSE_TIMEOUT_NS = 1_000_000_000L;

    private final HttpParser parser = new HttpParser(true);
    private final long acceptedNs;
    /** Whether a request awaits its answer; stays true after the last answer, so that no further request is parsed. */
    private boolean exchanging;

    private boolean parsing;
    private boolean keepAlive = true;
    /** Whether a part of a request has arrived, but not all of it. */
    private boolean partial;
    /** Whether at least one complete request has arrived. */
    private boolean used;

    private long partialSinceNs;
    private long requestArrivedNs;
    private long endedNs;

    /** Creates the connection of an accepted channel. */
    protected ServerConnection(EventLoop loop, SocketChannel channel) throws IOException {
        super(loop, channel, HttpParser.MAX_MESSAGE);
        acceptedNs = loop.now();
    }

    /**
     * Called with a complete request, which must be answered by one call of {@link #respond}. The slices of the request
     * are valid only during this call.
     */
    protected abstract void exchange(HttpParser request);

    /** Called after input that is not a well-formed request has been answered with the status of {@code cause}. */
    protected abstract void refused(HttpException cause);

    /** Called when there is no memory for a request; answers it with one call of {@link #respond}. */
    protected abstract void shedForMemory();

    /** Returns whether the server is shutting down; each answer then announces the close of its connection. */
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
            exchanging = true; // the start of the next request is unknown
            refused(e);
        } finally {
            parsing = false;
        }
    }

    /**
     * Answers the current exchange. Ignored if there is none or if the connection is closed.
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
            processBufferedInput(); // the next request may have arrived meanwhile
        }
    }

    /** True between exchanges, so that a client's close after its request is noticed before the request is handled. */
    @Override
    protected final boolean readsUntilPeerCloses() {
        return !exchanging;
    }

    /**
     * True during an exchange: a full buffer would otherwise stop reading, and the client's close would no longer be
     * noticed. The input after the request is discarded, and the connection closes after the answer.
     */
    @Override
    protected final boolean discardsExcessInput() {
        if (exchanging) {
            keepAlive = false;
        }
        return exchanging;
    }

    /** Parses the requests that were delayed until the client had read earlier answers. */
    @Override
    protected final void written() {
        if (!exchanging && !parsing) {
            processBufferedInput();
        }
    }

    /**
     * Returns when the last byte of the current request was read, in ns of the loop's clock. The request may have
     * waited in the buffer since then, behind another request or while the peer did not read its answers.
     */
    protected final long requestArrivedAt() {
        return requestArrivedNs;
    }

    /** Returns whether no complete request has arrived yet. */
    public final boolean unused() {
        return !used && !exchanging;
    }

    /** Returns whether a close loses nothing: no request is open or partly received, and all answers are written. */
    public final boolean idle() {
        return !exchanging && !partial && unwritten() == 0;
    }

    /**
     * Closes the connection, unless a request is still unread in the kernel; such a request is served. It may have
     * arrived in part only, or wait for read memory.
     */
    public final void closeUnlessAsked() {
        boolean wasPartial = partial;
        boolean mayHaveMore = !exchanging;
        while (mayHaveMore) { // a long request takes several reads
            mayHaveMore = catchUp() && !exchanging;
        }
        boolean requestBegun = partial && !wasPartial || awaitsReadMemory();
        if (!exchanging && unwritten() == 0 && !requestBegun) {
            close();
        }
    }

    @Override
    protected BufferShare bufferShare() {
        return BufferShare.REQUESTS;
    }

    /** Answers a request that has stalled, as its part takes memory that whole requests need. */
    @Override
    protected final void readMemoryNeeded() {
        if (partial && !exchanging) {
            HttpException cause = new HttpException(408, "the request stalled while memory was short");
            answerIncomplete(() -> respond(cause.status, "Content-Type: text/plain\r\n", text(cause.getMessage())));
            refused(cause);
        }
    }

    @Override
    protected final void readMemoryUnavailable() {
        if (!exchanging) {
            answerIncomplete(this::shedForMemory);
        }
    }

    /** Answers a request that is not complete; it is the last one of the connection, as its end is unknown. */
    private void answerIncomplete(Runnable answer) {
        partial = false;
        exchanging = true;
        keepAlive = false;
        answer.run();
    }

    /** Enforces the time-outs; the owner calls it regularly with the loop's time in ns. */
    public final void sweep(long now) {
        boolean silent = unused() && !partial && now - acceptedNs > REQUEST_TIMEOUT_NS;
        if (partial && !exchanging && !awaitsReadMemory() && now - partialSinceNs > REQUEST_TIMEOUT_NS) {
            answerIncomplete(
                    () -> respond(408, "Content-Type: text/plain\r\n", text("the request did not come in time")));
        } else if (silent || idle() && now - lastActivity() > IDLE_TIMEOUT_NS) {
            closeUnlessAsked();
        } else if (unwritten() > 0
                ? now - lastActivity() > WRITE_STALL_TIMEOUT_NS
                : ending() && now - Math.max(endedNs, lastActivity()) > CLOSE_TIMEOUT_NS) {
            // The time-out for the close starts at the last write, so that a slow reader gets the whole answer.
            fail(new IOException("the peer wastes its connection"));
        }
    }

    /** Returns the body of a plain-text answer: the message and a line feed, in UTF-8. */
    protected static byte[] text(String message) {
        return (message + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
