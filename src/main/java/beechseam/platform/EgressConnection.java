package beechseam.platform;

import beechseam.core.Timer;
import beechseam.http.HttpException;
import beechseam.http.HttpParser;
import beechseam.net.BufferShare;
import beechseam.net.Connection;
import java.io.IOException;
import java.net.BindException;
import java.nio.ByteBuffer;

/** A connection to an executor: connecting, idle in its pool, or busy with one exchange. */
final class EgressConnection extends Connection {
    private final EgressPool pool;
    private final EgressTarget target;
    private final HttpParser parser = new HttpParser(false);
    private final Timer connectTimeout = new Timer() {
        @Override
        protected void fire() {
            fail(new IOException("connect timed out"));
        }
    };
    /** The exchange in progress, or the one for which the connection is being opened; null if idle. */
    private Exchange current;

    /** True during the call that opens the connection, where this machine may be the cause of a failure. */
    private boolean opening;

    private boolean requestBegun;
    private boolean requestWritten;
    /** How long the connection was idle before the current exchange, in nanoseconds; 0 for its first exchange. */
    private long idleBeforeNs;

    EgressConnection(EgressPool pool, EgressTarget target) throws IOException {
        super(pool.loop, null, HttpParser.MAX_MESSAGE);
        this.pool = pool;
        this.target = target;
    }

    @Override
    protected BufferShare bufferShare() {
        return BufferShare.RESPONSES;
    }

    /** Connects, and begins the exchange when the connection is established. */
    void open(Exchange first) {
        current = first;
        loop.timers.set(connectTimeout, loop.now() + pool.connectTimeoutNs);
        opening = true;
        connect(target.address);
        opening = false;
    }

    /** Begins an exchange on the idle connection; returns false if the exchange was no longer wanted. */
    boolean begin(Exchange next) {
        current = next;
        idleBeforeNs = loop.now() - lastActivity();
        return beginCurrent();
    }

    @Override
    protected void connected() {
        loop.timers.cancel(connectTimeout);
        pool.connectionEstablished();
        if (!beginCurrent()) {
            pool.connectionIdle(this);
        }
    }

    /** Asks the exchange just before its first byte whether to send it, since it may have waited for long. */
    private boolean beginCurrent() {
        requestBegun = false;
        if (!current.tryBegin()) {
            current = null;
            return false;
        }
        requestBegun = true;
        requestWritten = false;
        current.connection = this;
        write(current.encodeRequest());
        return true;
    }

    /** Called when all queued bytes have been written, including the whole current request if it has begun. */
    @Override
    protected void written() {
        if (current != null && requestBegun && !requestWritten) {
            requestWritten = true;
            current.requestWritten();
        }
    }

    @Override
    protected void received(ByteBuffer in) {
        try {
            while (in.hasRemaining() && !closed()) {
                if (current == null) { // an unsolicited response: the boundary of the next one is unknown
                    close();
                    return;
                }
                if (!parser.parse(in)) {
                    return;
                }
                if (parser.status() >= 200) {
                    responseReceived(in.hasRemaining());
                }
            }
        } catch (HttpException e) {
            fail(new IOException(e.getMessage()));
        }
    }

    /**
     * Completes the current exchange, and keeps the connection only if it can be reused.
     *
     * @param surplus whether bytes follow the response, which would be taken for the response to the next request
     */
    private void responseReceived(boolean surplus) {
        Exchange completed = current;
        current = null;
        completed.connection = null;
        if (parser.keepAlive() && !parser.untilClose() && unwritten() == 0 && !surplus) {
            pool.connectionIdle(this);
        } else {
            close();
        }
        completed.responseReceived(parser);
    }

    /** Closes without notifying the current exchange, whose response is no longer needed. */
    void abort() {
        current = null;
        close();
    }

    /**
     * Applies the timeouts. If the peer has sent nothing for the stall timeout, the exchange fails. If the peer
     * keeps sending parts of a response without completing it, the connection is closed once the exchange has
     * expired.
     */
    void sweep(long nowNs, long stallTimeoutNs) {
        if (current != null && nowNs - lastActivity() > stallTimeoutNs) {
            fail(new IOException("no progress within the stall timeout"));
        } else if (current != null && requestBegun && current.hasExpired(nowNs)) {
            abort();
        }
    }

    EgressTarget target() {
        return target;
    }

    @Override
    protected void lost(IOException cause) {
        if (current != null) {
            Exchange failed = current;
            current = null;
            failed.connection = null;
            if (opening && cause instanceof BindException) { // out of ports: not the executor's fault
                pool.retryLater(target, failed, cause);
                return;
            }
            if (requestBegun && idleBeforeNs > 0) {
                pool.shortenIdleTimeout(target, idleBeforeNs);
            }
            // The request cannot have run before its last byte was written; after that it may have.
            failed.failed(!requestBegun || unwritten() > 0);
        }
    }

    @Override
    protected void released() {
        loop.timers.cancel(connectTimeout);
        pool.connectionClosed(this);
    }
}
