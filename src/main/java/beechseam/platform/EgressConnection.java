package beechseam.platform;

import beechseam.core.Timer;
import beechseam.http.HttpException;
import beechseam.http.HttpParser;
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
            fail(new IOException("no connection in time"));
        }
    };
    /** The exchange under way, or the one that the connection is opened for; else null. */
    private Exchange current;

    /** True within the call that opens the connection: a failure there may be this machine's. */
    private boolean opening;

    private boolean requestBegun;
    private boolean requestWritten;
    /** How long the connection was idle before the exchange under way, in nanoseconds; 0 for its first. */
    private long idleBeforeNs;

    EgressConnection(EgressPool pool, EgressTarget target) throws IOException {
        super(pool.loop, null, HttpParser.MAX_MESSAGE);
        this.pool = pool;
        this.target = target;
    }

    /** Connects, and begins the exchange once connected. */
    void open(Exchange first) {
        current = first;
        loop.timers.set(connectTimeout, loop.now() + pool.connectTimeoutNs);
        opening = true;
        connect(target.address);
        opening = false;
    }

    /** Begins an exchange on the idle connection; false where it was not wanted any more. */
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

    /** The exchange is asked at the last moment: much may have changed while it waited. */
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

    /** All queued bytes have been written: the last of the exchange under way among them, if it has begun. */
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
                if (current == null) { // a response to no request: where the next one starts is unknown
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

    /** {@code surplus}: bytes behind the response, which the next exchange would take for its own. */
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

    /** Closes without a report to the exchange under way: its response is of no interest any more. */
    void abort() {
        current = null;
        close();
    }

    /**
     * A peer that has vanished says nothing: its exchange fails. One that trickles a response without end is no
     * longer listened to once the exchange has expired.
     */
    void sweep(long nowNs, long stallTimeoutNs) {
        if (current != null && nowNs - lastActivity() > stallTimeoutNs) {
            fail(new IOException("no answer"));
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
            if (opening && cause instanceof BindException) { // out of ports: no fault of the executor's
                pool.retryLater(target, failed, cause);
                return;
            }
            if (requestBegun && idleBeforeNs > 0) {
                pool.shortenIdleTimeout(target, idleBeforeNs);
            }
            // Before its last byte has gone nothing can have run; after that it may have.
            failed.failed(!requestBegun || unwritten() > 0);
        }
    }

    @Override
    protected void released() {
        loop.timers.cancel(connectTimeout);
        pool.connectionClosed(this);
    }
}
