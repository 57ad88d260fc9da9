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
 * The link between the processes of one node while one takes over from another. Each process listens on its own Unix
 * socket in the node's state directory. A process that starts connects to every socket in that directory, so the
 * connecting side is always the successor and the accepting side the predecessor. The predecessor sends its state
 * immediately; the successor reports when it serves clients. If no socket can be opened, for example because the path
 * is too long, the process runs without a link and no successor can take over from it.
 *
 * <p>Not thread-safe: everything runs on the event loop.
 */
public final class HandoverLink {
    /** The process at this end of the link: it provides the state to send and receives the peers' messages. */
    public interface Process {
        /** Returns the admin calls, without line ends, that give a successor this process's state; may be empty. */
        Iterable<String> currentState();

        /** Returns the learned state in pieces of at most {@link #MAX_PIECE_BYTES} bytes; may be empty. */
        Iterable<byte[]> learnedState();

        /** Called with a piece of a predecessor's learned state, backed by an array and valid only during the call. */
        void learnedStateReceived(ByteBuffer piece);

        /** Called with an admin call, without line end, that a peer has received. */
        void callReceived(String line);

        /** Called with a callback that is for no job of the peer, backed by an array and valid only during the call. */
        void callbackReceived(ByteBuffer body);

        /** Called when a peer has connected, has disconnected, or has reported that it serves clients. */
        void peersChanged();
    }

    /**
     * The kinds of frames. The ordinal is the first byte of the frame on the wire and is read by processes of other
     * versions, so the order must never change and a new kind must be added at the end.
     */
    private enum Kind {
        /** A piece of the predecessor's learned state. */
        LEARNED_STATE,
        /** The predecessor has sent all its state; no body. */
        STATE_COMPLETE,
        /** The successor serves clients; no body. */
        READY,
        /** The predecessor has processed {@link #READY}; no body. */
        READY_ACKNOWLEDGED,
        /** An admin call in UTF-8, without line end. */
        CALL,
        /** A callback that belongs to no job of the sender. */
        CALLBACK;

        private static final List<Kind> BY_ORDINAL = List.of(values());
    }

    private static final Logger LOG = System.getLogger(HandoverLink.class.getName());
    private static final int MAX_FRAME_BYTES = 128 * 1024;
    /** One byte for the kind, then four for the length of the body in big-endian order. */
    private static final int FRAME_HEADER_BYTES = 5;

    private static final String SOCKET_SUFFIX = ".sock";
    /** Socket names contain a random number of seven hexadecimal digits. */
    private static final int MIN_SOCKET_NUMBER = 1 << 24;

    private static final int MAX_SOCKET_NUMBER = 1 << 28;
    /** The largest body of a frame, and so the largest piece of learned state, in bytes. */
    public static final int MAX_PIECE_BYTES = MAX_FRAME_BYTES - FRAME_HEADER_BYTES;

    /** The callbacks that a process may send at once when a peer connects, in bytes. */
    private static final long MAX_INITIAL_CALLBACK_BYTES = 4L * 1024 * 1024;

    private final EventLoop loop;
    private final Process process;
    private final Set<PeerConnection> peers = new LinkedHashSet<>();
    private Listener listener;
    /** Null if the directory and the node's name do not form a valid path. */
    private Path socketFile;

    /**
     * Opens this process's socket and connects to the node's other processes. A failure is logged and not thrown; the
     * process then runs without peers.
     *
     * @param loop      the event loop on which the link runs
     * @param directory the state directory of the node
     * @param node      identifies the node among those that share the directory; must be valid in a file name
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
        } catch (IOException | RuntimeException e) { // the node serves clients without a link
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

    /** Returns the number of connected processes of this node, not counting this one. */
    public int peerCount() {
        return peers.size();
    }

    /** Returns whether a connected predecessor has not yet sent all its state. */
    public boolean awaitsPeerState() {
        return peers.stream().anyMatch(each -> each.predecessor && !each.stateReceived);
    }

    /** Notifies the predecessors that this process serves clients. */
    public void ready() {
        peers.stream().filter(each -> each.predecessor).forEach(each -> each.send(Kind.READY));
    }

    /** Returns whether a connected predecessor has not yet acknowledged {@link #ready}. */
    public boolean awaitsReadyAcknowledgement() {
        return peers.stream().anyMatch(each -> each.predecessor && !each.readyAcknowledged);
    }

    /** Returns whether a connected successor serves clients, so that it can take over. */
    public boolean hasSuccessor() {
        return peers.stream().anyMatch(each -> each.servesClients);
    }

    /** Sends all peers an admin call, without line end, that this process has received. */
    public void sendCall(String line) {
        peers.forEach(each -> each.send(Kind.CALL, line));
    }

    /**
     * Sends all peers a callback that belongs to no job of this process.
     *
     * @param bytes  the array that contains the callback
     * @param from   the index of its first byte
     * @param length the number of its bytes
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
        peers.clear(); // emptied first, so that the closing connections report no change
        connected.forEach(Connection::close);
        try {
            Files.deleteIfExists(socketFile);
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, "handover socket not removed file=" + socketFile, e);
        }
    }

    /** A connection to one other process, which carries frames in both directions. */
    private final class PeerConnection extends Connection {
        private final boolean predecessor;
        /** Whether the peer is a predecessor and all its state has arrived. */
        private boolean stateReceived;
        /** Whether the peer is a predecessor and has acknowledged that this process serves clients. */
        private boolean readyAcknowledged;
        /** Whether the peer is a successor and has reported that it serves clients. */
        private boolean servesClients;
        /** Bytes of learned state, all queued at the start; the limit of unwritten bytes is raised by them. */
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
            return learnedStateBytes + MAX_INITIAL_CALLBACK_BYTES + super.maxUnwrittenBytes();
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
                    // The peer may run another version that has further frame kinds or longer frames.
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
