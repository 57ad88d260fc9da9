package beechseam.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * What the owner of a {@link Connection} implements: the events it is told of, and the limits and policies that
 * it may change. All are called on the loop's thread.
 */
public abstract class ConnectionCallbacks {
    private static final int DEFAULT_MAX_UNWRITTEN_BYTES = 512 * 1024;
    private static final int DEFAULT_MAX_DISCARDED_BYTES = 1024 * 1024;

    /** Callback: the outgoing connection is established. */
    protected void connected() {}

    /** Callback: new input. Consumes what it can from the position on. The slice is void after the call. */
    protected abstract void received(ByteBuffer bytes);

    /**
     * Callback: the connection failed or the peer closed it; at most once, and never after
     * {@link Connection#close}.
     */
    protected abstract void lost(IOException why);

    /** Callback: all output has been written. */
    protected void written() {}

    /** Callback: the connection is closed, for whatever reason; exactly once, before {@link #lost}. */
    protected void released() {}

    /** The most bytes of unwritten output: a peer that does not read must not fill the heap. */
    protected long maxUnwrittenBytes() {
        return DEFAULT_MAX_UNWRITTEN_BYTES;
    }

    /** The most bytes read and discarded from a peer that goes on sending. */
    protected long maxDiscardedBytes() {
        return DEFAULT_MAX_DISCARDED_BYTES;
    }

    /**
     * Whether a read continues through all that the peer has sent, its end included, before the bytes are
     * offered: an owner that acts on a request needs to know by then whether the peer has closed behind it.
     */
    protected boolean readsUntilPeerCloses() {
        return false;
    }

    /**
     * Asked when the read buffer is full and its owner consumes nothing. False stops the reading until some is
     * consumed; true discards the buffer and all later input, up to {@link #maxDiscardedBytes}, so that the
     * peer's close is still noticed.
     */
    protected boolean discardsExcessInput() {
        return false;
    }

    /**
     * Whether output waits for the end of the loop's turn, so that many small messages of one turn share a
     * system call; more than {@link OutboundQueue#MAX_WRITE_BYTES} never waits.
     */
    protected boolean batchesWrites() {
        return false;
    }
}
