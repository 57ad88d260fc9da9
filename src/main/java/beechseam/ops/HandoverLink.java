package beechseam.ops;

import beechseam.net.Connection;
import beechseam.net.EventLoop;
import beechseam.net.Listener;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The link between the processes of one node while one takes over from the other. Each listens on a socket of
 * its own in the node's directory; the younger dials. Where the path is too long for a socket, the process
 * stands alone.
 */
public final class HandoverLink {
    /** What the link asks and tells of the process it serves. */
    public interface Process {
        /** Operators' calls that bring a younger process to this one's state. */
        Iterable<String> state();

        /** What this process has learned, in pieces that each fit a frame. */
        Iterable<byte[]> learned();

        /** A piece of what an older process had learned; void after the call. */
        void recall(ByteBuffer piece);

        /** A call that was made at the other process. */
        void call(String line);

        /** A call-back that came to the other process and is of no job there; void after the call. */
        void event(ByteBuffer body);

        /** A process has come or gone, or has said that it serves clients. */
        void linked();
    }

    private enum Kind {
        LEARNED,
        WELCOME,
        READY,
        SEEN,
        CALL,
        EVENT
    }

    private static final Logger LOG = System.getLogger(HandoverLink.class.getName());
    private static final int MOST_FRAME = 128 * 1024;
    private static final int HEAD = 5;
    /** The most bytes that a piece of what was learned may have. */
    public static final int MOST_PIECE = MOST_FRAME - HEAD;

    private final EventLoop loop;
    private final Process process;
    private final Set<Line> lines = new LinkedHashSet<>();
    private Listener listener;
    private Path own;

    /** {@code node}, a plain word, tells apart nodes in one directory: only processes of one are linked. */
    public HandoverLink(EventLoop loop, Path directory, String node, Process process) {
        this.loop = loop;
        this.process = process;
        String prefix = "beechseam-" + node + "-";
        String name = prefix + Integer.toHexString(ThreadLocalRandom.current().nextInt(1 << 24, 1 << 28));
        try {
            own = directory.resolve(name + ".sock");
            listener = new Listener(loop, UnixDomainSocketAddress.of(own), channel -> new Line(channel, false));
            try (DirectoryStream<Path> others = Files.newDirectoryStream(directory, prefix + "*.sock")) {
                for (Path each : others) {
                    if (!each.equals(own)) {
                        dial(each);
                    }
                }
            }
        } catch (IOException | RuntimeException e) { // the node serves all the same, but cannot be taken over
            LOG.log(Level.WARNING, "no link to other processes of this node: " + e.getMessage());
        }
    }

    private void dial(Path path) throws IOException {
        try {
            new Line(SocketChannel.open(UnixDomainSocketAddress.of(path)), true);
        } catch (IOException e) {
            LOG.log(Level.INFO, "a socket that nobody serves is removed: " + path.getFileName());
            Files.deleteIfExists(path);
        }
    }

    /** How many other processes of this node live. */
    public int others() {
        return lines.size();
    }

    /** Whether an older process lives whose state has not come yet. */
    public boolean unwelcomed() {
        return lines.stream().anyMatch(each -> each.elder && !each.welcomed);
    }

    /** Tells older processes that this one serves clients. */
    public void ready() {
        lines.stream().filter(each -> each.elder).forEach(each -> each.send(Kind.READY));
    }

    /** Whether an older process lives that has not noted {@link #ready}. */
    public boolean unseen() {
        return lines.stream().anyMatch(each -> each.elder && !each.seen);
    }

    /** Whether a younger process serves clients: it can take over. */
    public boolean successor() {
        return lines.stream().anyMatch(each -> each.ready);
    }

    /** Passes on a call that was made here. */
    public void call(String line) {
        lines.forEach(each -> each.send(Kind.CALL, line));
    }

    /** Passes on a call-back that is of no job here; false where nobody is there to take it. */
    public boolean event(byte[] text, int from, int length) {
        lines.forEach(each -> each.send(Kind.EVENT, text, from, length));
        return !lines.isEmpty();
    }

    public void close() {
        if (listener != null) {
            listener.close();
        }
        Set<Line> last = Set.copyOf(lines);
        lines.clear(); // it is this process that ends: no news to itself
        last.forEach(Connection::close);
        try {
            Files.deleteIfExists(own);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, "the socket stays behind", e);
        }
    }

    /** A connection to one other process. A frame is a kind, a length of four bytes, and as many bytes. */
    private final class Line extends Connection {
        final boolean elder;
        boolean welcomed;
        boolean ready;
        boolean seen;
        /** What this process hands over at once may wait to be read, whatever its size. */
        private long handedOver;

        Line(SocketChannel channel, boolean elder) throws IOException {
            super(HandoverLink.this.loop, channel, MOST_FRAME);
            this.elder = elder;
            lines.add(this);
            if (!elder) {
                process.state().forEach(each -> send(Kind.CALL, each));
                for (byte[] each : process.learned()) {
                    handedOver += HEAD + each.length;
                    send(Kind.LEARNED, each, 0, each.length);
                }
                send(Kind.WELCOME);
                process.linked();
            }
        }

        @Override
        protected long mostWaiting() {
            return handedOver + super.mostWaiting();
        }

        void send(Kind kind) {
            send(kind, "");
        }

        void send(Kind kind, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            send(kind, bytes, 0, bytes.length);
        }

        void send(Kind kind, byte[] text, int from, int length) {
            write(ByteBuffer.allocate(HEAD + length)
                    .put((byte) kind.ordinal())
                    .putInt(length)
                    .put(text, from, length)
                    .flip());
        }

        @Override
        protected void received(ByteBuffer in) {
            while (!closed() && in.remaining() >= HEAD) {
                int kind = in.get(in.position());
                int length = in.getInt(in.position() + 1);
                if (kind < 0 || kind >= Kind.values().length || length < 0 || length > MOST_FRAME - HEAD) {
                    fail(new IOException("not a frame")); // a process of another version
                    return;
                }
                if (in.remaining() < HEAD + length) {
                    return;
                }
                ByteBuffer body = in.slice(in.position() + HEAD, length);
                in.position(in.position() + HEAD + length);
                frame(Kind.values()[kind], body);
            }
        }

        private void frame(Kind kind, ByteBuffer body) {
            switch (kind) {
                case LEARNED -> process.recall(body);
                case WELCOME -> welcomed = true;
                case READY -> {
                    ready = true;
                    send(Kind.SEEN);
                    process.linked();
                }
                case SEEN -> seen = true;
                case CALL -> process.call(StandardCharsets.UTF_8.decode(body).toString());
                case EVENT -> process.event(body);
            }
        }

        @Override
        protected void lost(IOException why) {
            LOG.log(Level.INFO, "the other process is gone: " + why.getMessage());
        }

        @Override
        protected void released() {
            if (lines.remove(this)) {
                process.linked();
            }
        }
    }
}
