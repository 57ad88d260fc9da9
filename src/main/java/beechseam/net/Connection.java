package beechseam.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * A non-blocking stream connection with callbacks, served by an {@link EventLoop}. It is connecting, open or
 * closed. Input is offered as a slice of the read buffer and stays there until consumed; a full buffer stops
 * the reading. Output waits in order until the peer accepts it, up to a bound. A connection that fails is closed
 * first and its owner told afterwards, exactly once.
 */
public abstract class Connection extends ConnectionCallbacks implements EventLoop.Ready {
    /** The loop that serves this connection. */
    protected final EventLoop loop;

    private final SocketChannel channel;
    private final OutboundQueue outbound = new OutboundQueue();
    private final InboundBuffer inbound;
    /** Null until an outgoing connection is registered. */
    private SelectionKey key;

    private ConnectionState state;
    private AfterLastWrite afterLastWrite = AfterLastWrite.STAY_OPEN;
    private InputMode inputMode = InputMode.OFFER;
    private boolean offering;
    private boolean peerEnded;
    private boolean readPaused;
    private boolean flushScheduled;
    private long discardedBytes;
    private long lastActivityNs;

    /**
     * A connection over an accepted channel, or one still to be opened by {@link #connect}.
     *
     * @param channel an accepted channel, or null
     * @param maxReadBytes the most unconsumed bytes that are held
     */
    protected Connection(EventLoop loop, SocketChannel channel, int maxReadBytes) throws IOException {
        this.loop = loop;
        this.inbound = new InboundBuffer(loop.buffers, maxReadBytes);
        this.channel = channel != null ? channel : SocketChannel.open();
        this.channel.configureBlocking(false);
        if (this.channel.supportedOptions().contains(StandardSocketOptions.TCP_NODELAY)) { // no Unix socket
            this.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        }
        lastActivityNs = loop.now();
        state = channel == null ? ConnectionState.CONNECTING : ConnectionState.OPEN;
        if (channel != null) {
            key = loop.register(channel, SelectionKey.OP_READ, this);
        }
    }

    /**
     * Back pressure: with true nothing more is read until it is called with false; unconsumed input is then
     * offered again, from a later task of the loop.
     */
    public final void pauseReading(boolean paused) {
        if (paused == readPaused || closed()) {
            return;
        }
        readPaused = paused;
        if (!connecting()) {
            updateInterestOps();
        }
        if (!paused) { // not within a callback of this or another connection, which may still hold the buffer
            loop.post(this::processBufferedInput);
        }
    }

    /** Whether {@link #pauseReading} is in effect. */
    public final boolean readingPaused() {
        return readPaused;
    }

    /** Opens an outgoing connection. A failure is reported by {@link #lost}, possibly before this returns. */
    protected final void connect(SocketAddress to) {
        try {
            boolean established = channel.connect(to);
            key = loop.register(channel, established ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (established) {
                handleConnected();
            }
        } catch (IOException | RuntimeException e) {
            fail(e instanceof IOException io ? io : new IOException(e));
        }
    }

    /**
     * Writes now what the peer accepts, and the rest later, also what is handed over while still connecting.
     * The buffers must not be changed until written. Ignored once closed or closing.
     */
    public final void write(ByteBuffer... parts) {
        if (closed() || afterLastWrite != AfterLastWrite.STAY_OPEN) {
            return;
        }
        for (ByteBuffer part : parts) {
            outbound.add(part);
        }
        if (connecting()) {
            return;
        }
        if (!batchesWrites() || outbound.pendingBytes() > OutboundQueue.MAX_WRITE_BYTES) {
            flush();
        } else if (!flushScheduled) {
            flushScheduled = true;
            loop.atTurnEnd(this::flushAtTurnEnd);
        }
    }

    private void flushAtTurnEnd() {
        flushScheduled = false;
        if (!closed() && outbound.pendingBytes() > 0) {
            flush();
        }
    }

    /** Bytes handed over that the kernel has not accepted; still counted after a close. */
    public final long unwritten() {
        return outbound.pendingBytes();
    }

    /** Closes once all output is written; whatever is written after this call is dropped. */
    public final void closeWhenWritten() {
        if (afterLastWrite == AfterLastWrite.STAY_OPEN) {
            afterLastWrite = AfterLastWrite.CLOSE;
        }
        if (!connecting() && outbound.pendingBytes() == 0) {
            close();
        }
    }

    /**
     * Shuts the output down once all is written, and discards input until the peer closes. A close at once
     * over unread input would reset the connection, and the last answer would be lost with it. The owner
     * bounds how long this lasts.
     */
    public final void endWhenWritten() {
        afterLastWrite = AfterLastWrite.HALF_CLOSE;
        if (state == ConnectionState.OPEN && outbound.pendingBytes() == 0) {
            finish();
        }
    }

    /** Whether the peer's end has been read behind the bytes on offer; {@link #lost} follows these. */
    protected final boolean peerEnded() {
        return peerEnded;
    }

    /** Whether {@link #endWhenWritten} has been called. */
    public final boolean ending() {
        return afterLastWrite == AfterLastWrite.HALF_CLOSE;
    }

    private void finish() {
        try {
            if (ending()) {
                channel.shutdownOutput();
                updateInterestOps();
            } else {
                close();
            }
        } catch (IOException e) {
            close(); // the peer was faster
        }
    }

    /** Closes at once, without {@link #lost}; no effect on a closed connection. */
    public final void close() {
        if (closed()) {
            return;
        }
        state = ConnectionState.CLOSED;
        inbound.release();
        outbound.clear();
        EventLoop.closeQuietly(channel);
        loop.descriptorFreed();
        released();
    }

    /** Whether it is closed, by either side. */
    public final boolean closed() {
        return state == ConnectionState.CLOSED;
    }

    /** Whether it is still being established. */
    public final boolean connecting() {
        return state == ConnectionState.CONNECTING;
    }

    /** When bytes were last read or written, in ns of the loop's clock; at first the time of creation. */
    public final long lastActivity() {
        return lastActivityNs;
    }

    /** The peer's IP address in text form, or "?" where there is none. */
    public final String peer() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress address
                    ? address.getAddress().getHostAddress()
                    : "?";
        } catch (IOException e) {
            return "?";
        }
    }

    /**
     * Reads once what the peer has sent already. To be called before an idle connection is closed: a request
     * that waits unread in the kernel would be lost with it, and on a slow node it may wait for long.
     *
     * @return whether bytes, or the peer's end, had come
     */
    public final boolean catchUp() {
        boolean canRead = state == ConnectionState.OPEN && !readPaused && inputMode != InputMode.FULL && !peerEnded;
        if (!canRead || ending() || offering) {
            return false;
        }
        try {
            return read();
        } catch (IOException e) {
            fail(e);
            return true;
        }
    }

    /** Offers input again that was read and not consumed. */
    public final void processBufferedInput() {
        if (!closed() && !readPaused && !inbound.isEmpty()) {
            offer();
            if (!closed()) {
                updateInterestOps();
            }
        }
    }

    /** When the byte on offer was read that {@code behind} others have followed, in ns of the loop's clock. */
    protected final long arrivedAt(int behind) {
        return inbound.arrivedAt(behind, lastActivityNs);
    }

    /** Whether input has been read that is not consumed. */
    protected final boolean hasUnused() {
        return !inbound.isEmpty();
    }

    @Override
    public final void ready(SelectionKey ignored) {
        try {
            if (connecting()) {
                if (channel.finishConnect()) {
                    handleConnected();
                }
                return;
            }
            if (key.isValid() && key.isReadable()) {
                read();
            }
            if (!closed() && key.isValid() && key.isWritable()) {
                flush();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    /** An exception from a callback costs this connection: its owner is told, so that nothing of it is kept. */
    @Override
    public final void fault(SelectionKey ignored, Exception why) {
        fail(new IOException("fault in a callback", why));
    }

    private void handleConnected() {
        state = ConnectionState.OPEN;
        lastActivityNs = loop.now();
        updateInterestOps();
        connected();
        if (!closed()) {
            flush();
        }
    }

    /** Reads what has come and passes it on; true where it was anything. */
    private boolean read() throws IOException {
        inbound.acquire();
        boolean discards = ending() || inputMode == InputMode.DISCARD;
        if (discards) {
            inbound.discard();
        }
        inbound.ensureCapacity();
        int received = fillBuffer();
        if (peerEnded && received == 0) {
            throw new IOException("closed by the peer");
        }
        if (received > 0 && discards) {
            countDiscarded(received);
        } else if (received > 0) {
            lastActivityNs = loop.now();
            inbound.recordArrival(received, lastActivityNs);
            offer();
        } else if (inbound.isEmpty()) {
            inbound.release();
        }
        if (peerEnded && !closed()) {
            throw new IOException("closed by the peer");
        }
        if (!closed()) {
            updateInterestOps();
        }
        return received > 0;
    }

    private int fillBuffer() throws IOException {
        int received = 0;
        int count;
        do { // a buffer that is filled is offered first: what comes behind a long message may wait
            count = inbound.readFrom(channel);
            received += Math.max(0, count);
        } while (count > 0 && inbound.hasRemaining() && readsUntilPeerCloses());
        peerEnded = count < 0;
        return received;
    }

    private void countDiscarded(int bytes) throws IOException {
        inbound.discard();
        discardedBytes += bytes;
        if (discardedBytes > maxDiscardedBytes()) {
            if (!ending()) {
                throw new IOException("the peer sends on and on");
            }
            close();
        }
    }

    private void offer() {
        offering = true;
        try {
            received(inbound.flip());
        } finally {
            offering = false;
        }
        if (!closed()) {
            inbound.compact();
        }
    }

    private void updateInterestOps() {
        if (inputMode != InputMode.DISCARD) {
            inputMode = inbound.isFull() && !ending() ? InputMode.FULL : InputMode.OFFER;
        }
        if (inputMode == InputMode.FULL && !offering && discardsExcessInput()) {
            inputMode = InputMode.DISCARD;
            inbound.release();
        }
        if (key != null && key.isValid()) {
            boolean reads = inputMode != InputMode.FULL && (!readPaused || ending());
            key.interestOps(
                    (reads ? SelectionKey.OP_READ : 0) | (outbound.pendingBytes() > 0 ? SelectionKey.OP_WRITE : 0));
        }
    }

    private void flush() {
        try {
            boolean accepted = true;
            while (accepted && !outbound.isEmpty()) {
                long pendingBefore = outbound.pendingBytes();
                accepted = outbound.writeNext(channel);
                if (outbound.pendingBytes() < pendingBefore) {
                    lastActivityNs = loop.now();
                }
            }
        } catch (IOException e) {
            fail(e);
            return;
        }
        if (outbound.pendingBytes() > maxUnwrittenBytes()) {
            fail(new IOException("the peer does not read"));
        } else if (outbound.pendingBytes() == 0 && afterLastWrite != AfterLastWrite.STAY_OPEN) {
            finish();
        } else if (!closed()) {
            updateInterestOps();
            if (outbound.pendingBytes() == 0) {
                written();
            }
        }
    }

    /** Closes a connection that is not closed yet, and reports the reason to {@link #lost}. */
    protected final void fail(IOException why) {
        if (!closed()) {
            close();
            lost(why);
        }
    }
}
