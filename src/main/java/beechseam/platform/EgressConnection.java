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
    private final EgressPool.Target target;
    private final HttpParser parser = new HttpParser(false);
    private final Timer connectTimeout = new Timer() {
        @Override
        protected void fire() {
            fail(new IOException("no connection in time"));
        }
    };
    private Exchange now;
    private boolean opening;
    private boolean begun;
    private boolean whole;
    /** How long it had stood idle before the exchange under way; 0 for its first. */
    private long stoodIdleNs;

    EgressConnection(EgressPool pool, EgressPool.Target target) throws IOException {
        super(pool.loop, null, HttpParser.MAX_MESSAGE);
        this.pool = pool;
        this.target = target;
    }

    /** Opens it for an exchange. */
    void open(Exchange first) {
        now = first;
        loop.timers.set(connectTimeout, loop.now() + pool.connectTimeoutNs);
        opening = true;
        connect(target.address);
        opening = false;
    }

    /** Begins an exchange on the idle connection; false where it was not wanted any more. */
    boolean begin(Exchange next) {
        now = next;
        stoodIdleNs = loop.now() - lastActivity();
        return start();
    }

    @Override
    protected void connected() {
        loop.timers.cancel(connectTimeout);
        pool.connected();
        if (!start()) {
            pool.idle(this);
        }
    }

    /** Asked at the last moment: much may have changed while the exchange waited. */
    private boolean start() {
        begun = false;
        if (!now.wanted()) {
            now = null;
            return false;
        }
        begun = true;
        whole = false;
        now.connection = this;
        write(now.bytes());
        return true;
    }

    /** All that waited has been written: the exchange under way, if it has begun, is out to its last byte. */
    @Override
    protected void written() {
        if (now != null && begun && !whole) {
            whole = true;
            now.written();
        }
    }

    @Override
    protected void received(ByteBuffer in) {
        try {
            while (in.hasRemaining() && !closed()) {
                if (now == null) { // an answer to nothing: its frame is lost
                    close();
                    return;
                }
                if (!parser.parse(in)) {
                    return;
                }
                if (parser.status() >= 200) {
                    answered(in.hasRemaining());
                }
            }
        } catch (HttpException e) {
            fail(new IOException(e.getMessage()));
        }
    }

    /** {@code more}: bytes behind the answer, which the next exchange would take for its own. */
    private void answered(boolean more) {
        Exchange done = now;
        now = null;
        done.connection = null;
        if (parser.keepAlive() && !parser.untilClose() && unwritten() == 0 && !more) {
            pool.idle(this);
        } else {
            close();
        }
        done.answered(parser);
    }

    /** The exchange under way is of no interest any more, and its answer would come in the way. */
    void abandon() {
        now = null;
        close();
    }

    /**
     * A peer that has vanished says nothing: its exchange is broken off. One that trickles an answer without
     * end is no longer listened to once what it was asked has ended by other ways.
     */
    void sweep(long time, long stallNs) {
        if (now != null && time - lastActivity() > stallNs) {
            fail(new IOException("no answer"));
        } else if (now != null && begun && now.outlived(time)) {
            abandon();
        }
    }

    EgressPool.Target target() {
        return target;
    }

    @Override
    protected void lost(IOException why) {
        if (now != null) {
            Exchange broken = now;
            now = null;
            broken.connection = null;
            if (opening && why instanceof BindException) { // out of ports: no fault of the executor's
                pool.sendLater(target, broken, why);
                return;
            }
            if (begun && stoodIdleNs > 0) {
                pool.shortenIdleTimeout(target, stoodIdleNs);
            }
            // Before its last byte has gone nothing can have run; after that it may have.
            broken.broken(!begun || unwritten() > 0);
        }
    }

    @Override
    protected void released() {
        loop.timers.cancel(connectTimeout);
        pool.released(this);
    }
}
