package beechseam.net;

import java.io.IOException;
import java.nio.channels.ReadableByteChannel;

/**
 * The read memory of one connection: its buffer, and the wait for a larger one when its {@link BufferShare} has no
 * memory left. During a wait the input stays in the kernel.
 */
final class ReadMemory {
    private final Connection connection;
    final InboundBuffer inbound;
    /** The quota that the connection waits for; null if it does not wait. */
    private BufferQuota awaited;

    private long waitsSinceNs;
    /** Whether the input that the kernel held at the start of a wait may not be read in full yet. */
    private boolean backlogged;

    private boolean endOfStream;

    ReadMemory(Connection connection, int maxBytes) {
        this.connection = connection;
        inbound = new InboundBuffer(connection.loop.buffers, maxBytes, this);
    }

    /** Makes room for input in the buffer, or begins to wait for memory and returns false. */
    boolean acquire() {
        inbound.acquire();
        BufferShare share = connection.bufferShare();
        if (inbound.ensureCapacity(share)) {
            return true;
        }
        if (!backlogged) {
            backlogged = true;
            waitsSinceNs = connection.loop.now();
        }
        awaited = connection.loop.buffers.quota(share);
        awaited.await(this);
        return false;
    }

    /**
     * Reads into the free part of the buffer, and records when the bytes arrived.
     *
     * @param untilEmpty whether to read until the kernel holds no further input; a full buffer ends the read too
     * @return the number of bytes read
     */
    int read(ReadableByteChannel channel, boolean untilEmpty) throws IOException {
        int received = 0;
        int count;
        do {
            count = inbound.readFrom(channel);
            received += Math.max(0, count);
        } while (count > 0 && inbound.hasRemaining() && untilEmpty);
        endOfStream = count < 0;
        return received;
    }

    /** Whether the last read met the end of the stream. */
    boolean endOfStream() {
        return endOfStream;
    }

    /**
     * Records when bytes arrived that were read at {@code nowNs}. Input that the kernel held during a wait counts as
     * arrived at the start of the wait, which is too early at worst.
     */
    void recordArrival(int bytes, long nowNs) {
        inbound.recordArrival(bytes, backlogged ? waitsSinceNs : nowNs);
        backlogged &= !inbound.hasRemaining();
    }

    /** Frees what the owner has consumed. Input that follows a whole message counts as arrived when it is read. */
    void compact() {
        inbound.compact();
        backlogged &= !inbound.isEmpty();
    }

    boolean waits() {
        return awaited != null;
    }

    /** How long the connection has waited, in ns; only valid during a wait. */
    long waitedNs() {
        return connection.loop.now() - waitsSinceNs;
    }

    /** Whether the connection has neither read nor written for {@code limitNs}, other than for lack of memory. */
    boolean stalled(long limitNs) {
        return !waits() && connection.loop.now() - connection.lastActivity() > limitNs;
    }

    long lastActivity() {
        return connection.lastActivity();
    }

    EventLoop loop() {
        return connection.loop;
    }

    /** Called by the quota for the first connection in its queue; returns whether the wait has ended. */
    boolean retry() {
        if (!inbound.ensureCapacity(connection.bufferShare())) {
            return false;
        }
        awaited = null;
        connection.updateInterestOps();
        return true;
    }

    /** Asks the owner to give up the memory; returns whether it has. */
    boolean reclaim() {
        connection.readMemoryNeeded();
        return connection.closed() || connection.ending();
    }

    /** Notifies the owner of a wait that lasts too long; returns whether the wait has ended. */
    boolean expire() {
        connection.readMemoryUnavailable();
        return !waits();
    }

    /** Returns the memory and ends the wait, if any. */
    void release() {
        if (waits()) {
            BufferQuota quota = awaited;
            awaited = null;
            quota.cancel(this);
        }
        inbound.release();
    }
}
