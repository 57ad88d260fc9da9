package beechseam.platform;

import beechseam.config.Json;
import beechseam.config.NodeConfig;
import beechseam.core.Timer;
import beechseam.dispatch.LearnedState;
import beechseam.http.Slice;
import beechseam.ops.AdminEndpoint;
import beechseam.ops.HandoverLink;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One node of two processes: how the younger joins, and when the elder may hand over to it. */
final class ProcessHandover implements HandoverLink.Process {
    private static final Logger LOG = System.getLogger(ProcessHandover.class.getName());
    private static final long CHECK_NS = 5_000_000L;
    /** So long the elder's state and discovery's list are waited for, then this one serves by what it has. */
    private static final long JOIN_NS = 3_000_000_000L;
    /** So long the elder may take to note that it has a successor. */
    private static final long NOTE_NS = 1_000_000_000L;

    /** Pieces are filled up to this part of a frame, since the estimate of their size is rough. */
    private static final int PIECE_BYTES = HandoverLink.MAX_PIECE_BYTES / 2;
    /** A figure as JSON, with its comma. */
    private static final int FIGURE_BYTES = 25;

    private final PlatformNode node;
    private final HandoverLink link;
    private final Timer join = new Timer() {
        @Override
        protected void fire() {
            join();
        }
    };
    private boolean joined;
    private boolean handedOver;
    private boolean handlingPeerCall;
    private long joinBy;

    ProcessHandover(PlatformNode node, NodeConfig config) {
        this.node = node;
        link = new HandoverLink(node.loop, config.state(), config.address(), this);
        joined = link.peerCount() == 0;
        joinBy = node.loop.now() + JOIN_NS;
        if (!joined) {
            LOG.log(Level.INFO, "takes over from another process of this node");
            node.loop.timers.set(join, node.loop.now());
        }
    }

    /** Whether this process is one that clients are sent to: the first, or one that its elder knows of. */
    boolean joined() {
        return joined;
    }

    private void join() {
        long now = node.loop.now();
        if (!node.listening() && (!link.awaitsPeerState() && node.isSynced() || now >= joinBy)) {
            node.maintenance.restore(); // what is said from now on comes by the link
            try {
                node.listen();
                link.ready();
                joinBy = now + NOTE_NS;
            } catch (IOException e) { // an elder of a version, or a configuration, that does not share it
                LOG.log(Level.WARNING, "cannot listen yet: " + e.getMessage());
                joinBy = now + NOTE_NS;
                node.loop.timers.set(join, joinBy);
                return;
            }
        }
        joined = node.listening() && (!link.awaitsReadyAcknowledgement() || now >= joinBy);
        if (!joined) {
            node.loop.timers.set(join, now + CHECK_NS);
        }
    }

    int processCount() {
        return 1 + link.peerCount();
    }

    /** A call that was carried out here, unless it came from there. */
    void notifyPeer(String call) {
        if (!handlingPeerCall) {
            link.sendCall(call);
        }
    }

    /** Whether the call under way was made at another process. */
    boolean isHandlingPeerCall() {
        return handlingPeerCall;
    }

    boolean forwardToPeer(Slice event) {
        return link.forwardCallback(event.bytes(), event.from(), event.length());
    }

    /** At the end of this process: whether another takes the clients now. */
    boolean begin() {
        node.loop.timers.cancel(join);
        handedOver = link.hasSuccessor();
        return handedOver;
    }

    /** Whether clients are another process's: this one's health does not speak for the node. */
    boolean handedOver() {
        return handedOver;
    }

    void close() {
        node.loop.timers.cancel(join);
        link.close();
    }

    @Override
    public Iterable<String> currentState() {
        return node.standby() ? List.of("standby") : List.of();
    }

    @Override
    public Iterable<byte[]> learnedState() {
        return pieces(node.engine.exportLearnedState().entries());
    }

    /** The figures by name as JSON, in as many pieces as frames of the link need. */
    static List<byte[]> pieces(Map<String, double[]> learned) {
        List<byte[]> pieces = new ArrayList<>();
        Map<String, double[]> piece = new LinkedHashMap<>();
        int bytes = 0;
        for (Map.Entry<String, double[]> each : learned.entrySet()) {
            int more = each.getKey().length() + FIGURE_BYTES * (each.getValue().length + 1);
            if (bytes + more > PIECE_BYTES) {
                add(pieces, piece);
                bytes = 0;
            }
            piece.put(each.getKey(), each.getValue());
            bytes += more;
        }
        add(pieces, piece);
        return pieces;
    }

    private static void add(List<byte[]> pieces, Map<String, double[]> piece) {
        try {
            byte[] text = Json.bytes(piece);
            if (text.length <= HandoverLink.MAX_PIECE_BYTES) {
                pieces.add(text);
            } else {
                LOG.log(Level.WARNING, "not handed over, too long: " + piece.keySet());
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "what was learned cannot be handlingPeerCall: " + e.getMessage());
        }
        piece.clear();
    }

    @Override
    public void learnedStateReceived(ByteBuffer piece) {
        node.engine.importLearnedState(new LearnedState(decode(piece)));
    }

    /** The entries of a piece; none where it cannot be read, which is logged. */
    static Map<String, double[]> decode(ByteBuffer piece) {
        Map<String, double[]> learned = new LinkedHashMap<>();
        try {
            int from = piece.arrayOffset() + piece.position();
            if (Json.parse(piece.array(), from, piece.remaining()) instanceof Map<?, ?> map) {
                map.forEach((name, list) -> learned.put((String) name, figures(list)));
            }
        } catch (IOException e) {
            LOG.log(Level.WARNING, "what the other process had learned cannot be read: " + e.getMessage());
        }
        return learned;
    }

    /** The list's figures; none where it is no such list. */
    private static double[] figures(Object list) {
        return list instanceof List<?> all && all.stream().allMatch(each -> each instanceof Number)
                ? all.stream()
                        .mapToDouble(each -> ((Number) each).doubleValue())
                        .toArray()
                : new double[0];
    }

    @Override
    public void callReceived(String line) {
        handlingPeerCall = true;
        String answer = AdminEndpoint.answer(node, line);
        handlingPeerCall = false;
        LOG.log(Level.INFO, "handlingPeerCall by the other process: " + line + ": " + answer.strip());
    }

    @Override
    public void callbackReceived(ByteBuffer body) {
        int from = body.arrayOffset() + body.position();
        node.callbacks.handleForwarded(new Slice(body.array(), from, body.remaining()));
    }

    @Override
    public void peersChanged() {
        node.allocateDescriptors();
        if (node.stopping() && handedOver != link.hasSuccessor()) {
            node.updateDrainSchedule();
        }
    }
}
