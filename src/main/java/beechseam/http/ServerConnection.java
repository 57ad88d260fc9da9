package beechseam.http;

import beechseam.net.Connection;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;

/** The serving end of an HTTP connection: one exchange at a time, each answered once. */
public abstract class ServerConnection extends Connection {
    private final HttpParser parser = new HttpParser(true);
    private boolean busy;
    private boolean reading;
    private boolean keepAlive = true;
    private boolean partial;
    private long partialSince;

    protected ServerConnection(EventLoop loop, SocketChannel channel) throws IOException {
        super(loop, channel, HttpParser.MAX_MESSAGE);
    }

    /** A request has come; it is owed one {@link #respond}. Its slices are void after the call. */
    protected abstract void exchange(HttpParser request);

    /** Input that was no proper request; it has been answered. */
    protected abstract void refused(HttpException why);

    /** Whether answers are to ask the client to go elsewhere. */
    protected abstract boolean stopping();

    @Override
    protected final void received(ByteBuffer in) {
        reading = true;
        try {
            while (!busy && !closed() && in.hasRemaining()) {
                if (!parser.parse(in)) {
                    partialSince = partial ? partialSince : loop.now();
                    partial = true;
                    break;
                }
                partial = false;
                busy = true;
                keepAlive = parser.keepAlive();
                exchange(parser);
            }
        } catch (HttpException e) {
            partial = false;
            busy = true;
            keepAlive = false;
            respond(e.status, "Content-Type: text/plain\r\n", text(e.getMessage()));
            busy = true; // whatever follows on this connection has lost its frame
            refused(e);
        } finally {
            reading = false;
        }
    }

    /** The answer to the exchange under way. */
    protected final void respond(int status, String headers, byte[] body) {
        if (!busy || closed()) {
            return;
        }
        busy = false;
        boolean close = !keepAlive || stopping();
        write(HttpWriter.response(status, headers, body, close));
        if (close) {
            busy = true;
            closeWhenWritten();
        } else if (!reading) {
            again(); // the next request may have come meanwhile
        }
    }

    /** Between requests: closing it now breaks nothing. */
    public final boolean idle() {
        return !busy && !partial && unwritten() == 0;
    }

    /** Ends the connection of a peer that began a request and does not go on, or takes no answer. */
    public final void sweep(long now, long stallNs, long idleNs) {
        if (partial && !busy && now - partialSince > stallNs) {
            busy = true;
            keepAlive = false;
            respond(408, "Content-Type: text/plain\r\n", text("the request did not come in time"));
        } else if (unwritten() > 0 && now - lastActivity() > stallNs
            || idle() && now - lastActivity() > idleNs) {
            close();
        }
    }

    protected static byte[] text(String message) {
        return (message + "\n").getBytes(StandardCharsets.UTF_8);
    }
}
