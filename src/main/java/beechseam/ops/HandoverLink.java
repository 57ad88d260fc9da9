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
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The link between the processes of one node while one takes over from another. Each process listens on a Unix
 * socket of its own in the node's state directory; a process that starts connects to every socket it finds there,
 * so the connecting side is always the successor and the accepting side the predecessor. The predecessor sends
 * its state at once; the successor says when it serves clients. If no socket can be opened, for example since
 * the path is too long, the process runs without a link and cannot be taken over.
 *
 * <p>Not thread-safe: everything runs on the event loop.
 */
public final class HandoverLink {
    /** The process at this end: the source of what the link sends, and the receiver of what arrives. */
    public interface Process {
        /** Admin calls, without line ends, that bring a successor to this process's state; may be empty. */
        Iterable<String> currentState();

        /** The learned state in pieces of at most {@link #MAX_PIECE_BYTES} bytes; may be empty. */
        Iterable<byte[]> learnedState();

        /** A piece of a predecessor's learned state, backed by an array; valid only during the call. */
        void learnedStateReceived(ByteBuffer piece);

        /** An admin call, without line end, that was made at a peer. */
        void callReceived(String line);

        /** A callback that belongs to no job of the peer, backed by an array; valid only during the call. */
        void callbackReceived(ByteBuffer body);

        /** A peer has connected or disconnected, or has said that it serves clients. */
        void peersChanged();
    }

    /**
     * What a frame holds. The ordinal is the first byte of the frame on the wire, which processes of other versions
     * read: the order must never change, and a new kind goes to the end.
     */
    private enum Kind {
        /** A piece of the predecessor's learned state. */
        LEARNED_STATE,
        /** The predecessor has sent all its state; no body. */
        STATE_COMPLETE,
        /** The successor serves clients; no body. */
        READY,
        /** The predecessor has noted {@link #READY}; no body. */
        READY_ACKNOWLEDGED,
        /** An admin call in UTF-8, without line end. */
        CALL,
        /** A callback that belongs to no job of the sender. */
        CALLBACK;

        private static final List<Kind> BY_ORDINAL = List.of(values());
    }

    private static final Logger LOG = System.getLogger(HandoverLink.class.getName());
    private static final int MAX_FRAME_BYTES = 128 * 1024;
    /** One byte for the kind, four for the length of the body, most significant first. */
    private static final int FRAME_HEADER_BYTES = 5;

    private static final String SOCKET_SUFFIX = ".sock";
    /** Socket names carry a random number of seven hexadecimal digits. */
    private static final int MIN_SOCKET_NUMBER = 1 << 24;

    private static final int MAX_SOCKET_NUMBER = 1 << 28;
    /** The most bytes of a frame's body, and so of a piece of learned state. */
    public static final int MAX_PIECE_BYTES = MAX_FRAME_BYTES - FRAME_HEADER_BYTES;

    private final EventLoop loop;
    private final Process process;
    private final Set<PeerConnection> peers = new LinkedHashSet<>();
    private Listener listener;
    /** Null if the directory gives no valid path for it. */
    private Path socketFile;

    /**
     * Opens this process's socket and connects to the node's other processes. A failure is logged, not thrown:
     * the process then has no peers.
     *
     * @param loop      the event loop on which the link runs
     * @param directory the state directory of the node
     * @param node      tells apart nodes that share the directory; must be valid in a file name
     * @param process   the process at this end
     */
    public HandoverLink(EventLoop loop, Path directory, String node, Process process) {
        this.loop = loop;
        this.process = process;
        String prefix = "beechseam-" + node + "-";
        int number = ThreadLocalRandom.current().nextInt(MIN_SOCKET_NUMBER, MAX_SOCKET_NUMBER);
        try {
            socketFile = directory.resolve(prefix + Integer.toHexString(number) + SOCKET_SUFFIX);
            listener = new Listener(
                    loop, UnixDomainSocketAddress.of(socketFile), channel -> new PeerConnection(channel, false));
            try (DirectoryStream<Path> others = Files.newDirectoryStream(directory, prefix + "*" + SOCKET_SUFFIX)) {
                for (Path each : others) {
                    if (!each.equals(socketFile)) {
                        connect(each);
                    }
                }
            }
        } catch (IOException | RuntimeException e) { // the node serves without a link
            LOG.log(Level.WARNING, "handover link unavailable reason=" + e.getMessage());
        }
    }

    private void connect(Path path) throws IOException {
        try {
            new PeerConnection(SocketChannel.open(UnixDomainSocketAddress.of(path)), true);
        } catch (IOException e) {
            LOG.log(Level.INFO, "stale handover socket removed file=" + path.getFileName());
            Files.deleteIfExists(path);
        }
    }

    /** The number of connected processes of this node, without this one. */
    public int peerCount() {
        return peers.size();
    }

    /** Whether a predecessor is connected whose state has not arrived in full. */
    public boolean awaitsPeerState() {
        return peers.stream().anyMatch(each -> each.predecessor && !each.stateReceived);
    }

    /** Tells the predecessors that this process serves clients. */
    public void ready() {
        peers.stream().filter(each -> each.predecessor).forEach(each -> each.send(Kind.READY));
    }

    /** Whether a predecessor is connected that has not acknowledged {@link #ready}. */
    public boolean awaitsReadyAcknowledgement() {
        return peers.stream().anyMatch(each -> each.predecessor && !each.readyAcknowledged);
    }

    /** Whether a successor is connected and serves clients, so that it can take over. */
    public boolean hasSuccessor() {
        return peers.stream().anyMatch(each -> each.servesClients);
    }

    /** Sends all peers an admin call, without line end, that was made here. */
    public void sendCall(String line) {
        peers.forEach(each -> each.send(Kind.CALL, line));
    }

    /**
     * Sends all peers a callback that belongs to no job here.
     *
     * @param bytes  holds the callback
     * @param from   where it starts
     * @param length how many bytes it has
     * @return false if there is no peer
     */
    public boolean forwardCallback(byte[] bytes, int from, int length) {
        peers.forEach(each -> each.send(Kind.CALLBACK, bytes, from, length));
        return !peers.isEmpty();
    }

    /** Disconnects from all peers, without {@link Process#peersChanged}, and removes this process's socket. */
    public void close() {
        if (listener != null) {
            listener.close();
        }
        Set<PeerConnection> connected = Set.copyOf(peers);
        peers.clear(); // so that a connection that closes reports no change
        connected.forEach(Connection::close);
        try {
            Files.deleteIfExists(socketFile);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, "handover socket not removed file=" + socketFile, e);
        }
    }

    /** A connection to one other process, over which frames go both ways. */
    private final class PeerConnection extends Connection {
        private final boolean predecessor;
        /** As a predecessor: all its state has arrived. */
        private boolean stateReceived;
        /** As a predecessor: it has noted that this process serves clients. */
        private boolean readyAcknowledged;
        /** As a successor: it has said that it serves clients. */
        private boolean servesClients;
        /** Bytes of learned state queued at once: they may wait to be written in addition to the usual limit. */
        private long learnedStateBytes;

        PeerConnection(SocketChannel channel, boolean predecessor) throws IOException {
            super(HandoverLink.this.loop, channel, MAX_FRAME_BYTES);
            this.predecessor = predecessor;
            peers.add(this);
            if (!predecessor) {
                process.currentState().forEach(each -> send(Kind.CALL, each));
                for (byte[] each : process.learnedState()) {
                    learnedStateBytes += FRAME_HEADER_BYTES + each.length;
                    send(Kind.LEARNED_STATE, each, 0, each.length);
                }
                send(Kind.STATE_COMPLETE);
                process.peersChanged();
            }
        }

        @Override
        protected long maxUnwrittenBytes() {
            return learnedStateBytes + super.maxUnwrittenBytes();
        }

        void send(Kind kind) {
            send(kind, "");
        }

        void send(Kind kind, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            send(kind, bytes, 0, bytes.length);
        }

        void send(Kind kind, byte[] bytes, int from, int length) {
            write(ByteBuffer.allocate(FRAME_HEADER_BYTES + length)
                    .put((byte) kind.ordinal())
                    .putInt(length)
                    .put(bytes, from, length)
                    .flip());
        }

        @Override
        protected void received(ByteBuffer in) {
            while (!closed() && in.remaining() >= FRAME_HEADER_BYTES) {
                int kind = in.get(in.position());
                int length = in.getInt(in.position() + 1);
                if (kind < 0 || kind >= Kind.BY_ORDINAL.size() || length < 0 || length > MAX_PIECE_BYTES) {
                    // A process of another version.
                    fail(new IOException("invalid frame, kind " + kind + ", length " + length));
                    return;
                }
                if (in.remaining() < FRAME_HEADER_BYTES + length) {
                    return;
                }
                ByteBuffer body = in.slice(in.position() + FRAME_HEADER_BYTES, length);
                in.position(in.position() + FRAME_HEADER_BYTES + length);
                frameReceived(Kind.BY_ORDINAL.get(kind), body);
            }
        }

        private void frameReceived(Kind kind, ByteBuffer body) {
            switch (kind) {
                case LEARNED_STATE -> process.learnedStateReceived(body);
                case STATE_COMPLETE -> stateReceived = true;
                case READY -> {
                    servesClients = true;
                    send(Kind.READY_ACKNOWLEDGED);
                    process.peersChanged();
                }
                case READY_ACKNOWLEDGED -> readyAcknowledged = true;
                case CALL ->
                    process.callReceived(StandardCharsets.UTF_8.decode(body).toString());
                case CALLBACK -> process.callbackReceived(body);
            }
        }

        @Override
        protected void lost(IOException cause) {
            LOG.log(Level.INFO, "handover peer disconnected reason=" + cause.getMessage());
        }

        @Override
        protected void released() {
            if (peers.remove(this)) {
                process.peersChanged();
            }
        }
    }
}
