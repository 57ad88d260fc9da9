package beechseam.net;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/**
 * A non-blocking stream connection with callbacks, served by an {@link EventLoop}. It is connecting, open or
 * closed. Input is passed to the owner as a slice of the read buffer and stays there until the owner consumes it; a
 * full buffer stops reading. Output is queued in order until the kernel accepts it, up to a limit. A connection that
 * fails is closed first; its owner is notified afterwards, exactly once.
 */
public abstract class Connection extends ConnectionCallbacks implements EventLoop.Ready {
    /** The loop that serves this connection. */
    protected final EventLoop loop;

    private final SocketChannel channel;
    private final OutboundQueue outbound;
    private final ReadMemory readMemory;
    private final InboundBuffer inbound;
    /** Null until an outgoing connection is registered. */
    private SelectionKey key;

    private ConnectionState state;
    private AfterLastWrite afterLastWrite = AfterLastWrite.STAY_OPEN;
    private InputMode inputMode = InputMode.OFFER;
    private boolean offering;
    private boolean readPaused;
    private boolean flushScheduled;
    private long discardedBytes;
    private long lastActivityNs;

    /**
     * Creates a connection on an accepted channel, or one that {@link #connect} opens later.
     *
     * @param channel an accepted channel, or null for an outgoing connection
     * @param maxReadBytes the largest number of unconsumed bytes that the connection buffers
     */
    protected Connection(EventLoop loop, SocketChannel channel, int maxReadBytes) throws IOException {
        this(loop, channel, maxReadBytes, new OutputMemory());
    }

    /** Creates a connection as above whose queued output is counted in {@code outputMemory}. */
    protected Connection(EventLoop loop, SocketChannel channel, int maxReadBytes, OutputMemory outputMemory)
            throws IOException {
        this.loop = loop;
        this.outbound = new OutboundQueue(outputMemory);
        this.readMemory = new ReadMemory(this, maxReadBytes);
        this.inbound = readMemory.inbound;
        this.channel = channel != null ? channel : SocketChannel.open();
        this.channel.configureBlocking(false);
        if (this.channel.supportedOptions().contains(StandardSocketOptions.TCP_NODELAY)) { // Unix sockets lack it
            this.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        }
        lastActivityNs = loop.now();
        state = channel == null ? ConnectionState.CONNECTING : ConnectionState.OPEN;
        if (channel != null) {
            key = loop.register(channel, SelectionKey.OP_READ, this);
        }
    }

    /**
     * Pauses or resumes reading, to apply back pressure to the peer. After a resume a later task of the loop passes
     * the unconsumed input to {@link #received} again.
     */
    public final void pauseReading(boolean paused) {
        if (paused == readPaused || closed()) {
            return;
        }
        readPaused = paused;
        if (!connecting()) {
            updateInterestOps();
        }
        if (!paused) { // posted, since the caller may be a callback that still uses a read buffer
            loop.post(this::processBufferedInput);
        }
    }

    /** Whether {@link #pauseReading} is in effect. */
    public final boolean readingPaused() {
        return readPaused;
    }

    /** Opens an outgoing connection. A failure is reported to {@link #lost}, possibly before this method returns. */
    protected final void connect(SocketAddress address) {
        try {
            boolean established = channel.connect(address);
            key = loop.register(channel, established ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (established) {
                handleConnected();
            }
        } catch (IOException | RuntimeException e) {
            fail(e instanceof IOException io ? io : new IOException(e));
        }
    }

    /**
     * Writes as many bytes as the kernel accepts now and queues the rest; while still connecting, it queues all. The
     * caller must not change the buffers until they are written. Ignored once the connection is closed or closing.
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

    /** Returns the number of bytes passed to {@link #write} that the kernel has not accepted, also after a close. */
    public final long unwritten() {
        return outbound.pendingBytes();
    }

    /** Closes the connection once all queued output is written; later calls of {@link #write} are ignored. */
    public final void closeWhenWritten() {
        if (afterLastWrite == AfterLastWrite.STAY_OPEN) {
            afterLastWrite = AfterLastWrite.CLOSE;
        }
        if (!connecting() && outbound.pendingBytes() == 0) {
            close();
        }
    }

    /**
     * Shuts down the output once all of it is written, and discards input until the peer closes. An immediate close
     * with unread input would reset the connection and lose the last answer. The owner must limit the time this takes.
     */
    public final void endWhenWritten() {
        afterLastWrite = AfterLastWrite.HALF_CLOSE;
        if (!offering) {
            readMemory.release();
        }
        if (state == ConnectionState.OPEN && outbound.pendingBytes() == 0) {
            finish();
        }
    }

    /** Whether the end of the input has been read; {@link #lost} is then called after {@link #received}. */
    protected final boolean peerEnded() {
        return readMemory.endOfStream();
    }

    /** Returns whether {@link #endWhenWritten} has been called. */
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
            close(); // the peer has closed or reset the connection already
        }
    }

    /** Closes the connection immediately, without a call of {@link #lost}; a closed connection stays unchanged. */
    public final void close() {
        if (closed()) {
            return;
        }
        state = ConnectionState.CLOSED;
        readMemory.release();
        outbound.clear();
        EventLoop.closeQuietly(channel);
        loop.descriptorFreed();
        released();
    }

    /** Returns whether the connection is closed, by either side. */
    public final boolean closed() {
        return state == ConnectionState.CLOSED;
    }

    /** Returns whether the connection is still being established. */
    public final boolean connecting() {
        return state == ConnectionState.CONNECTING;
    }

    /** Returns the time of the last read or write, in ns of the loop's clock; initially the time of creation. */
    public final long lastActivity() {
        return lastActivityNs;
    }

    /** Returns the peer's IP address in text form, or "?" if it has none. */
    public final String peer() {
        return PeerAddress.text(channel);
    }

    /**
     * Reads once the input that the peer has already sent. An owner calls it before it closes an idle connection, since
     * the close would lose a request that is still unread in the kernel.
     *
     * @return whether bytes, or the end of the peer's output, had arrived
     */
    public final boolean catchUp() {
        boolean canRead = state == ConnectionState.OPEN && !readPaused && inputMode != InputMode.FULL && !peerEnded();
        if (!canRead || ending() || offering || awaitsReadMemory()) {
            return false;
        }
        try {
            return read();
        } catch (IOException e) {
            fail(e);
            return true;
        }
    }

    /** Passes input that was read but not consumed to {@link #received} again. */
    public final void processBufferedInput() {
        if (!closed() && !readPaused && !inbound.isEmpty()) {
            offer();
            if (!closed()) {
                updateInterestOps();
            }
        }
    }

    /** Returns when the byte with {@code followingBytes} bytes after it was read, in ns of the loop's clock. */
    protected final long arrivedAt(int followingBytes) {
        return inbound.arrivedAt(followingBytes, lastActivityNs);
    }

    /** Returns whether input stays in the kernel for lack of memory; it may be a whole request. */
    public final boolean awaitsReadMemory() {
        return readMemory.waits();
    }

    /** Returns whether input has been read that is not consumed. */
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

    /** Closes the connection after an exception in a callback; its owner is notified and can discard its state. */
    @Override
    public final void fault(SelectionKey ignored, Exception cause) {
        fail(new IOException("exception in a callback", cause));
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

    /** Reads the input that has arrived and passes it to the owner; returns whether there were any bytes. */
    private boolean read() throws IOException {
        boolean discards = ending() || inputMode == InputMode.DISCARD;
        if (discards) {
            inbound.discard();
        }
        if (!readMemory.acquire()) {
            updateInterestOps();
            return false;
        }
        int received = readMemory.read(channel, readsUntilPeerCloses());
        if (peerEnded() && received == 0) {
            throw new IOException("closed by the peer");
        }
        if (received > 0 && discards) {
            countDiscarded(received);
        } else if (received > 0) {
            lastActivityNs = loop.now();
            readMemory.recordArrival(received, lastActivityNs);
            offer();
        } else if (inbound.isEmpty()) {
            inbound.release();
        }
        if (peerEnded() && !closed()) {
            throw new IOException("closed by the peer");
        }
        if (!closed()) {
            updateInterestOps();
        }
        return received > 0;
    }

    private void countDiscarded(int bytes) throws IOException {
        inbound.discard();
        discardedBytes += bytes;
        if (discardedBytes > maxDiscardedBytes()) {
            if (!ending()) {
                throw new IOException("the peer sent more bytes than may be discarded");
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
        if (ending()) {
            inbound.release();
        } else if (!closed()) {
            readMemory.compact();
        }
    }

    /** Registers for the operations that the connection is ready for. */
    final void updateInterestOps() {
        if (inputMode != InputMode.DISCARD) {
            inputMode = inbound.isFull() && !ending() ? InputMode.FULL : InputMode.OFFER;
        }
        if (inputMode == InputMode.FULL && !offering && discardsExcessInput()) {
            inputMode = InputMode.DISCARD;
            inbound.release();
        }
        if (key != null && key.isValid()) {
            boolean reads = inputMode != InputMode.FULL && !awaitsReadMemory() && (!readPaused || ending());
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
            fail(new IOException("the peer does not read: the limit of unwritten bytes is exceeded"));
        } else if (outbound.pendingBytes() == 0 && afterLastWrite != AfterLastWrite.STAY_OPEN) {
            finish();
        } else if (!closed()) {
            updateInterestOps();
            if (outbound.pendingBytes() == 0) {
                written();
            }
        }
    }

    /** Closes the connection, unless it is closed already, and reports the cause to {@link #lost}. */
    protected final void fail(IOException cause) {
        if (!closed()) {
            close();
            lost(cause);
        }
    }
}
