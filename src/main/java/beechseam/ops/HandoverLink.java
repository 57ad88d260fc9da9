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
        Iterable<String> currentState();

        /** What this process has learned, in pieces that each fit a frame. */
        Iterable<byte[]> learnedState();

        /** A piece of what an older process had learned; void after the call. */
        void learnedStateReceived(ByteBuffer piece);

        /** A call that was made at the other process. */
        void callReceived(String line);

        /** A call-back that came to the other process and is of no job there; void after the call. */
        void callbackReceived(ByteBuffer body);

        /** A process has come or gone, or has said that it serves clients. */
        void peersChanged();
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
    private static final int MAX_FRAME_BYTES = 128 * 1024;
    private static final int FRAME_HEADER_BYTES = 5;
    /** The most bytes that a piece of what was learned may have. */
    public static final int MAX_PIECE_BYTES = MAX_FRAME_BYTES - FRAME_HEADER_BYTES;

    private final EventLoop loop;
    private final Process process;
    private final Set<PeerConnection> peers = new LinkedHashSet<>();
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
            listener =
                    new Listener(loop, UnixDomainSocketAddress.of(own), channel -> new PeerConnection(channel, false));
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
            new PeerConnection(SocketChannel.open(UnixDomainSocketAddress.of(path)), true);
        } catch (IOException e) {
            LOG.log(Level.INFO, "a socket that nobody serves is removed: " + path.getFileName());
            Files.deleteIfExists(path);
        }
    }

    /** How many other processes of this node live. */
    public int peerCount() {
        return peers.size();
    }

    /** Whether an older process lives whose state has not come yet. */
    public boolean awaitsPeerState() {
        return peers.stream().anyMatch(each -> each.elder && !each.welcomed);
    }

    /** Tells older processes that this one serves clients. */
    public void ready() {
        peers.stream().filter(each -> each.elder).forEach(each -> each.send(Kind.READY));
    }

    /** Whether an older process lives that has not noted {@link #ready}. */
    public boolean awaitsReadyAcknowledgement() {
        return peers.stream().anyMatch(each -> each.elder && !each.seen);
    }

    /** Whether a younger process serves clients: it can take over. */
    public boolean hasSuccessor() {
        return peers.stream().anyMatch(each -> each.ready);
    }

    /** Passes on a call that was made here. */
    public void sendCall(String line) {
        peers.forEach(each -> each.send(Kind.CALL, line));
    }

    /** Passes on a call-back that is of no job here; false where nobody is there to take it. */
    public boolean forwardCallback(byte[] text, int from, int length) {
        peers.forEach(each -> each.send(Kind.EVENT, text, from, length));
        return !peers.isEmpty();
    }

    public void close() {
        if (listener != null) {
            listener.close();
        }
        Set<PeerConnection> last = Set.copyOf(peers);
        peers.clear(); // it is this process that ends: no news to itself
        last.forEach(Connection::close);
        try {
            Files.deleteIfExists(own);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, "the socket stays behind", e);
        }
    }

    /** A connection to one other process. A frame is a kind, a length of four bytes, and as many bytes. */
    private final class PeerConnection extends Connection {
        final boolean elder;
        boolean welcomed;
        boolean ready;
        boolean seen;
        /** What this process hands over at once may wait to be read, whatever its size. */
        private long handedOver;

        PeerConnection(SocketChannel channel, boolean elder) throws IOException {
            super(HandoverLink.this.loop, channel, MAX_FRAME_BYTES);
            this.elder = elder;
            peers.add(this);
            if (!elder) {
                process.currentState().forEach(each -> send(Kind.CALL, each));
                for (byte[] each : process.learnedState()) {
                    handedOver += FRAME_HEADER_BYTES + each.length;
                    send(Kind.LEARNED, each, 0, each.length);
                }
                send(Kind.WELCOME);
                process.peersChanged();
            }
        }

        @Override
        protected long maxUnwrittenBytes() {
            return handedOver + super.maxUnwrittenBytes();
        }

        void send(Kind kind) {
            send(kind, "");
        }

        void send(Kind kind, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            send(kind, bytes, 0, bytes.length);
        }

        void send(Kind kind, byte[] text, int from, int length) {
            write(ByteBuffer.allocate(FRAME_HEADER_BYTES + length)
                    .put((byte) kind.ordinal())
                    .putInt(length)
                    .put(text, from, length)
                    .flip());
        }

        @Override
        protected void received(ByteBuffer in) {
            while (!closed() && in.remaining() >= FRAME_HEADER_BYTES) {
                int kind = in.get(in.position());
                int length = in.getInt(in.position() + 1);
                if (kind < 0
                        || kind >= Kind.values().length
                        || length < 0
                        || length > MAX_FRAME_BYTES - FRAME_HEADER_BYTES) {
                    fail(new IOException("not a frame")); // a process of another version
                    return;
                }
                if (in.remaining() < FRAME_HEADER_BYTES + length) {
                    return;
                }
                ByteBuffer body = in.slice(in.position() + FRAME_HEADER_BYTES, length);
                in.position(in.position() + FRAME_HEADER_BYTES + length);
                frame(Kind.values()[kind], body);
            }
        }

        private void frame(Kind kind, ByteBuffer body) {
            switch (kind) {
                case LEARNED -> process.learnedStateReceived(body);
                case WELCOME -> welcomed = true;
                case READY -> {
                    ready = true;
                    send(Kind.SEEN);
                    process.peersChanged();
                }
                case SEEN -> seen = true;
                case CALL ->
                    process.callReceived(StandardCharsets.UTF_8.decode(body).toString());
                case EVENT -> process.callbackReceived(body);
            }
        }

        @Override
        protected void lost(IOException why) {
            LOG.log(Level.INFO, "the other process is gone: " + why.getMessage());
        }

        @Override
        protected void released() {
            if (peers.remove(this)) {
                process.peersChanged();
            }
        }
    }
}
