package beechseam.platform;

import beechseam.config.NodeConfig;
import beechseam.core.Timer;
import beechseam.http.Slice;
import beechseam.ops.AdminEndpoint;
import beechseam.ops.HandoverLink;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * Handover between two processes of one node. The successor waits for its predecessor's state and for discovery,
 * then listens at the same address and announces this; it has joined when the predecessor has acknowledged the
 * announcement. A predecessor that stops hands its clients over to a successor that serves them. Each wait has a
 * time limit, so that a hanging predecessor cannot keep the node from serving.
 */
final class ProcessHandover implements HandoverLink.Process {
    private static final Logger LOG = System.getLogger(ProcessHandover.class.getName());
    /** The interval at which the conditions for joining are checked, in nanoseconds. */
    private static final long JOIN_CHECK_INTERVAL_NS = 5_000_000L;
    /** The time limit for the predecessor's state and the endpoint list, in nanoseconds. */
    private static final long JOIN_TIMEOUT_NS = 3_000_000_000L;
    /** The time limit for the predecessor's acknowledgement, in nanoseconds. */
    private static final long ACKNOWLEDGEMENT_TIMEOUT_NS = 1_000_000_000L;
    /** The delay before another attempt to listen, in nanoseconds. */
    private static final long LISTEN_RETRY_NS = 1_000_000_000L;

    private final PlatformNode node;
    private final HandoverLink link;
    private final Timer joinTimer = new Timer() {
        @Override
        protected void fire() {
            advanceJoin();
        }
    };
    private boolean joined;
    private boolean handedOver;
    private boolean handlingPeerCall;
    /** When the current step of joining times out, by the event loop's clock, in nanoseconds. */
    private long joinDeadlineNs;

    ProcessHandover(PlatformNode node, NodeConfig config) {
        this.node = node;
        link = new HandoverLink(node.loop, config.state(), config.address(), this);
        joined = link.peerCount() == 0;
        joinDeadlineNs = node.loop.now() + JOIN_TIMEOUT_NS;
        if (!joined) {
            LOG.log(Level.INFO, "handover started peers=" + link.peerCount());
            node.loop.timers.set(joinTimer, node.loop.now());
        }
    }

    /** Whether clients are sent to this process: it had no predecessor, or that one has acknowledged or timed out. */
    boolean joined() {
        return joined;
    }

    /** Listens and announces this as soon as the conditions hold, and then waits for the acknowledgement. */
    private void advanceJoin() {
        long now = node.loop.now();
        if (!node.listening() && (!link.awaitsPeerState() && node.isSynced() || now >= joinDeadlineNs)) {
            node.maintenance.restore(); // later calls arrive by the link
            try {
                node.listen();
                link.ready();
                joinDeadlineNs = now + ACKNOWLEDGEMENT_TIMEOUT_NS;
            } catch (IOException e) { // the predecessor's version or configuration does not share the address
                LOG.log(Level.WARNING, "listen failed, will retry reason=" + e.getMessage());
                joinDeadlineNs = now + LISTEN_RETRY_NS;
                node.loop.timers.set(joinTimer, joinDeadlineNs);
                return;
            }
        }
        joined = node.listening() && (!link.awaitsReadyAcknowledgement() || now >= joinDeadlineNs);
        if (!joined) {
            node.loop.timers.set(joinTimer, now + JOIN_CHECK_INTERVAL_NS);
        }
    }

    /** The number of processes of this node, this one included. */
    int processCount() {
        return 1 + link.peerCount();
    }

    /** Sends the peers an admin call, without line end, that was carried out here, unless it came from a peer. */
    void notifyPeer(String call) {
        if (!handlingPeerCall) {
            link.sendCall(call);
        }
    }

    /** Whether the admin call being carried out was made at a peer. */
    boolean isHandlingPeerCall() {
        return handlingPeerCall;
    }

    /** Sends the peers a callback that belongs to no job here; false if there is no peer. */
    boolean forwardToPeer(Slice callback) {
        return link.forwardCallback(callback.bytes(), callback.from(), callback.length());
    }

    /** Tells the peers the correlation id of a request that has begun here and must not be repeated. */
    void announceBegun(String correlation) {
        if (link.peerCount() > 0) {
            byte[] event = Callbacks.begunElsewhere(correlation);
            link.forwardCallback(event, 0, event.length);
        }
    }

    /** Stops joining, since this process shuts down, and returns whether a successor serves the clients from now on. */
    boolean handOverToSuccessor() {
        node.loop.timers.cancel(joinTimer);
        handedOver = link.hasSuccessor();
        return handedOver;
    }

    /** Whether a successor serves the clients, so that the node's health no longer depends on this process. */
    boolean handedOver() {
        return handedOver;
    }

    /** Closes the link, which tells the peers that this process has ended. */
    void close() {
        node.loop.timers.cancel(joinTimer);
        link.close();
    }

    @Override
    public Iterable<String> currentState() {
        return node.standby() ? List.of("standby") : List.of();
    }

    @Override
    public Iterable<byte[]> learnedState() {
        return LearnedStateCodec.encode(node.engine.exportLearnedState());
    }

    @Override
    public void learnedStateReceived(ByteBuffer piece) {
        node.engine.importLearnedState(LearnedStateCodec.decode(piece));
    }

    @Override
    public void callReceived(String line) {
        handlingPeerCall = true;
        String answer = AdminEndpoint.answer(node, line);
        handlingPeerCall = false;
        LOG.log(Level.INFO, "peer call handled call=" + line + " answer=" + answer.strip());
    }

    @Override
    public void callbackReceived(ByteBuffer body) {
        int from = body.arrayOffset() + body.position();
        node.callbacks.handleForwarded(new Slice(body.array(), from, body.remaining()));
    }

    @Override
    public void peersChanged() {
        node.engine.correlationsInUse().forEach(this::announceBegun);
        node.allocateDescriptors();
        if (node.stopping() && handedOver != link.hasSuccessor()) {
            node.updateDrainSchedule();
        }
    }
}
