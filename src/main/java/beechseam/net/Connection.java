package beechseam.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/**
 * A TCP connection as an object with callbacks. States: connecting, open, closed. Bytes read are handed on
 * as a slice of the read buffer and stay there until used; bytes to write wait in order until the peer takes
 * them.
 */
public abstract class Connection implements EventLoop.Ready {
    private static final int MOST_WAITING = 512 * 1024;
    private static final int MOST_DISCARDED = 1024 * 1024;
    /** Written at once at most: the runtime copies each piece into direct memory, which is scarce. */
    private static final int PIECE = 64 * 1024;
    /** Buffers up to this are gathered into one before they are written together. */
    private static final int SMALL = 2048;

    protected final EventLoop loop;
    private final SocketChannel channel;
    private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
    private final int maxReadBytes;
    private SelectionKey key;
    private ByteBuffer in;
    private long waitingBytes;
    private boolean connecting;
    private boolean closed;
    private boolean closeWhenWritten;
    private boolean ending;
    private long discarded;
    private boolean full;
    private boolean dropping;
    private boolean offering;
    private boolean peerEnded;
    private boolean readPaused;
    private boolean flushDue;
    private long lastActivity;
    private final ArrivalTimes arrivals = new ArrivalTimes();

    /** An accepted channel, or null for one that {@link #connect} opens; {@code maxReadBytes} bytes are held. */
    protected Connection(EventLoop loop, SocketChannel channel, int maxReadBytes) throws IOException {
        this.loop = loop;
        this.maxReadBytes = maxReadBytes;
        this.channel = channel != null ? channel : SocketChannel.open();
        this.channel.configureBlocking(false);
        if (this.channel.supportedOptions().contains(StandardSocketOptions.TCP_NODELAY)) { // no Unix socket
            this.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        }
        lastActivity = loop.now();
        connecting = channel == null; // bytes written before it is up wait
        if (channel != null) {
            key = loop.register(channel, SelectionKey.OP_READ, this);
        }
    }

    // ---- Callbacks

    /** The connection asked for has come up. */
    protected void connected() {}

    /** New bytes: uses up what it can from the position on. The slice is void after the call. */
    protected abstract void received(ByteBuffer bytes);

    /** It is gone, by either side; called once, unless {@link #close} was called here. */
    protected abstract void lost(IOException why);

    /** The most bytes that may wait to be written: a peer that reads no answers must not fill the heap. */
    protected long maxUnwrittenBytes() {
        return MOST_WAITING;
    }

    /** The most that is read and dropped from a peer that goes on sending after the last answer, in bytes. */
    protected long maxDiscardedBytes() {
        return MOST_DISCARDED;
    }

    /**
     * Whether a read goes on to what the peer has sent last, its end included, before the bytes are offered:
     * an owner that acts on a request wants to know by then whether the peer has gone behind it.
     */
    protected boolean readsUntilPeerCloses() {
        return false;
    }

    /**
     * The read buffer is full and its owner uses nothing of it. False stops the reading, until some is used;
     * true drops all that is in it and that still comes, up to {@link #mostDiscarded}, so that the peer's
     * close is still noticed.
     */
    protected boolean discardsExcessInput() {
        return false;
    }

    /**
     * Whether what is written waits for the end of the loop's turn, so that many small messages of one turn
     * go out in one call of the system; more than a piece never waits.
     */
    protected boolean batchesWrites() {
        return false;
    }

    // ---- What its owner does

    /**
     * Back pressure: nothing more is read until it is called with false; what is unread then is offered
     * again.
     */
    public final void pauseReading(boolean on) {
        if (on == readPaused || closed) {
            return;
        }
        readPaused = on;
        if (!connecting) {
            interest();
        }
        if (!on) { // not within a callback of this or another connection, which may still hold the buffer
            loop.post(this::processBufferedInput);
        }
    }

    public final boolean readingPaused() {
        return readPaused;
    }

    protected final void connect(SocketAddress to) {
        try {
            boolean up = channel.connect(to);
            key = loop.register(channel, up ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this);
            if (up) {
                up();
            }
        } catch (IOException | RuntimeException e) {
            fail(e instanceof IOException io ? io : new IOException(e));
        }
    }

    /** Writes now what the peer takes, the rest later. */
    public final void write(ByteBuffer... parts) {
        if (closed || closeWhenWritten) {
            return; // nothing follows the last answer
        }
        for (ByteBuffer part : parts) {
            if (part.hasRemaining()) {
                waiting.add(part);
                waitingBytes += part.remaining();
            }
        }
        if (connecting) {
            return;
        }
        if (!batchesWrites() || waitingBytes > PIECE) {
            flush();
        } else if (!flushDue) {
            flushDue = true;
            loop.atTurnEnd(() -> {
                flushDue = false;
                if (!closed && waitingBytes > 0) {
                    flush();
                }
            });
        }
    }

    /** Bytes handed over that the peer's side has not taken yet. */
    public final long unwritten() {
        return waitingBytes;
    }

    /** Closes once all that waits is written; whatever is written after this call is dropped. */
    public final void closeWhenWritten() {
        closeWhenWritten = true;
        if (!connecting && waitingBytes == 0) {
            close();
        }
    }

    /**
     * Says no more once all that waits is written, and drops what still comes until the peer closes. Closed
     * at once, input that nobody has read would reset the connection, and the last answer would be lost with
     * it. Its owner sees to it that this does not go on for long.
     */
    public final void endWhenWritten() {
        ending = true;
        closeWhenWritten = true;
        if (!connecting && !closed && waitingBytes == 0) {
            finish();
        }
    }

    /** Whether the peer's end has been read behind the bytes on offer; it is told as a loss after these. */
    protected final boolean peerEnded() {
        return peerEnded;
    }

    /** Whether {@link #endWhenWritten} has been called. */
    public final boolean ending() {
        return ending;
    }

    private void finish() {
        try {
            if (ending) {
                channel.shutdownOutput();
                interest();
            } else {
                close();
            }
        } catch (IOException e) {
            close(); // the peer was faster
        }
    }

    /** Closes without a callback. */
    public final void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (in != null) {
            loop.buffers.give(in);
            in = null;
        }
        waiting.clear();
        EventLoop.closeQuietly(channel);
        loop.descriptorFreed();
        released();
    }

    /** All that waited has been written. */
    protected void written() {}

    /** Closed, for whatever reason: the owner counts it out. */
    protected void released() {}

    public final boolean closed() {
        return closed;
    }

    public final boolean connecting() {
        return connecting && !closed;
    }

    /** When bytes last came or went. */
    public final long lastActivity() {
        return lastActivity;
    }

    public final String peer() {
        try {
            return channel.getRemoteAddress() instanceof InetSocketAddress a
                    ? a.getAddress().getHostAddress()
                    : "?";
        } catch (IOException e) {
            return "?";
        }
    }

    /**
     * Takes in what the peer has sent already. To be called before a connection that looks idle is closed: a
     * request that waits unread in the kernel would be lost with it, and on a slow node it may wait for long.
     * Reads once: whether bytes, or the peer's end, had come.
     */
    public final boolean catchUp() {
        if (connecting || closed || ending || readPaused || full || offering || peerEnded) {
            return false;
        }
        try {
            return read();
        } catch (IOException e) {
            fail(e);
            return true;
        }
    }

    /** Bytes read and not used up are offered again. */
    public final void processBufferedInput() {
        if (in != null && !closed && !readPaused && in.position() > 0) {
            offer();
            if (!closed) {
                interest();
            }
        }
    }

    /** When the byte was read that {@code behind} others on offer have come behind, on the loop's clock. */
    protected final long arrivedAt(int behind) {
        return arrivals.of(behind, lastActivity);
    }

    protected final boolean hasUnused() {
        return in != null && in.position() > 0;
    }

    // ---- The loop's side

    @Override
    public final void ready(SelectionKey ignored) {
        try {
            if (connecting) {
                if (!channel.finishConnect()) {
                    return;
                }
                up();
                return;
            }
            if (key.isValid() && key.isReadable()) {
                read();
            }
            if (!closed && key.isValid() && key.isWritable()) {
                flush();
            }
        } catch (IOException e) {
            fail(e);
        }
    }

    /** A fault in a callback costs this connection: its owner is told, so that nothing of it is kept. */
    @Override
    public final void fault(SelectionKey ignored, Exception why) {
        fail(new IOException("fault in a callback", why));
    }

    private void up() {
        connecting = false;
        lastActivity = loop.now();
        interest();
        connected();
        if (!closed) {
            flush();
        }
    }

    private boolean read() throws IOException {
        if (in == null) {
            in = loop.buffers.take();
        }
        if (ending || dropping) {
            in.clear();
        }
        if (!in.hasRemaining()) {
            ByteBuffer larger = loop.buffers.larger(in, Math.min(maxReadBytes, in.capacity() * 2));
            if (larger == null) {
                throw new IOException("no room for so long a message");
            }
            in = larger;
        }
        int sum = 0;
        int n;
        do { // a buffer that is filled is offered first: what comes behind a long message may wait
            n = channel.read(in);
            sum += Math.max(0, n);
        } while (n > 0 && in.hasRemaining() && readsUntilPeerCloses());
        peerEnded = n < 0;
        if (peerEnded && sum == 0) {
            throw new IOException("closed by the peer");
        }
        if (sum > 0 && (ending || dropping)) {
            in.clear();
            discarded += sum;
            if (discarded > maxDiscardedBytes()) {
                if (ending) {
                    close();
                } else {
                    throw new IOException("the peer sends on and on");
                }
            }
        } else if (sum > 0) {
            lastActivity = loop.now();
            arrivals.read(sum, lastActivity);
            offer();
        } else if (in.position() == 0) { // nothing has come: the buffer is not kept for it
            loop.buffers.give(in);
            in = null;
        }
        if (peerEnded && !closed) {
            throw new IOException("closed by the peer");
        }
        if (!closed) {
            interest();
        }
        return sum > 0;
    }

    private void offer() {
        in.flip();
        offering = true;
        try {
            received(in);
        } finally {
            offering = false;
        }
        if (closed) {
            return;
        }
        if (in.position() == 0 && in.hasRemaining()) { // nothing was used: no need to move what may be much
            in.position(in.limit()).limit(in.capacity());
        } else {
            in.compact();
        }
        arrivals.keep(in.position());
        if (in.position() == 0) {
            loop.buffers.give(in);
            in = null;
        }
    }

    private void interest() {
        full = in != null && in.position() >= maxReadBytes && !ending && !dropping;
        if (full && !offering && discardsExcessInput()) {
            dropping = true;
            full = false;
            loop.buffers.give(in);
            in = null;
        }
        if (key != null && key.isValid()) {
            // A full buffer that nobody uses up stops the reading, not the heap.
            key.interestOps((full || readPaused && !ending ? 0 : SelectionKey.OP_READ)
                    | (waitingBytes > 0 ? SelectionKey.OP_WRITE : 0));
        }
    }

    /** Small buffers that wait next to each other become one. */
    private void gather() {
        if (waiting.size() < 2 || waiting.peekFirst().remaining() > SMALL) {
            return;
        }
        int sum = 0;
        int count = 0;
        for (ByteBuffer each : waiting) {
            if (each.remaining() > SMALL || sum + each.remaining() > PIECE) {
                break;
            }
            sum += each.remaining();
            count++;
        }
        if (count > 1) {
            ByteBuffer all = ByteBuffer.allocate(sum);
            for (int i = 0; i < count; i++) {
                all.put(waiting.pollFirst());
            }
            waiting.addFirst(all.flip());
        }
    }

    private void flush() {
        try {
            while (!waiting.isEmpty()) {
                gather();
                ByteBuffer next = waiting.peekFirst();
                int end = next.limit();
                next.limit(Math.min(end, next.position() + PIECE));
                int n = channel.write(next);
                boolean taken = !next.hasRemaining();
                next.limit(end);
                waitingBytes -= n;
                if (n > 0) {
                    lastActivity = loop.now();
                }
                if (!taken) {
                    break;
                }
                if (!next.hasRemaining()) {
                    waiting.removeFirst();
                }
            }
        } catch (IOException e) {
            fail(e);
            return;
        }
        if (waitingBytes > maxUnwrittenBytes()) {
            fail(new IOException("the peer does not read"));
        } else if (waitingBytes == 0 && closeWhenWritten) {
            finish();
        } else if (!closed) {
            interest();
            if (waitingBytes == 0) {
                written();
            }
        }
    }

    /** It has failed: closed, and its owner is told. */
    protected final void fail(IOException why) {
        if (!closed) {
            close();
            lost(why);
        }
    }
}
