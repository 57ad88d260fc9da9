package beechseam.net;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * The callbacks that the owner of a {@link Connection} implements: events, and limits and policies that it may
 * override. All are called on the loop's thread.
 */
public abstract class ConnectionCallbacks {
    private static final int DEFAULT_MAX_UNWRITTEN_BYTES = 512 * 1024;
    private static final int DEFAULT_MAX_DISCARDED_BYTES = 1024 * 1024;

    /** Called when the outgoing connection is established. */
    protected void connected() {}

    /**
     * Called with the unconsumed input when new input has arrived. The implementation consumes bytes by advancing the
     * position. The buffer is valid only during the call.
     */
    protected abstract void received(ByteBuffer bytes);

    /**
     * Called when the connection failed or the peer closed it; at most once, and never after
     * {@link Connection#close}.
     */
    protected abstract void lost(IOException cause);

    /** Called when all output has been written. */
    protected void written() {}

    /** Called when the connection is closed, for any reason; exactly once, and before {@link #lost}. */
    protected void released() {}

    /** The limit of unwritten output, in bytes, so that a peer that does not read cannot fill the heap. */
    protected long maxUnwrittenBytes() {
        return DEFAULT_MAX_UNWRITTEN_BYTES;
    }

    /** The limit of input that is read and discarded from a peer that keeps sending, in bytes. */
    protected long maxDiscardedBytes() {
        return DEFAULT_MAX_DISCARDED_BYTES;
    }

    /** The share of the heap from which read buffers above the standard size are taken. */
    protected BufferShare bufferShare() {
        return BufferShare.UNLIMITED;
    }

    /**
     * Called while other connections wait for read memory and this one, which holds some, has stalled. An owner that
     * can end its exchange with the peer then calls {@link Connection#endWhenWritten} or {@link Connection#close}.
     */
    protected void readMemoryNeeded() {}

    /**
     * Called when this connection has waited for read memory for longer than its peer should wait for an answer. An
     * owner that can answer without the rest of the input does so and ends the connection; else the wait continues.
     */
    protected void readMemoryUnavailable() {}

    /**
     * Whether all input that the peer has sent, including the end of its output, is read before the bytes are passed to
     * {@link #received}. An owner that acts on a request needs it to learn whether the peer has closed after it.
     */
    protected boolean readsUntilPeerCloses() {
        return false;
    }

    /**
     * Called when the read buffer is full and its owner has consumed nothing. With false, reading stops until the owner
     * consumes some bytes. With true, the buffer and all later input are discarded, up to {@link #maxDiscardedBytes},
     * so that the peer's close is still noticed.
     */
    protected boolean discardsExcessInput() {
        return false;
    }

    /**
     * Whether output is written at the end of the loop's turn, so that many small messages of one turn share a system
     * call. More than {@link OutboundQueue#MAX_WRITE_BYTES} pending bytes are always written immediately.
     */
    protected boolean batchesWrites() {
        return false;
    }
}
