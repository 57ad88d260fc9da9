package beechseam.platform;

import beechseam.net.Listener;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections from clients and from executors that call back, within the bound on descriptors. Over the
 * bound the connection that is missed least is closed, and if all are owed an answer no more are accepted.
 */
final class IngressTable {
    /** A connection just accepted is likely to bring its request in the next turns. */
    private static final long FRESH_NS = 100_000_000L;
    /** One that has carried nothing for so long has no request on its way. */
    private static final long QUIET_NS = 200_000_000L;

    private final PlatformNode node;
    private final Set<IngressConnection> connections = new LinkedHashSet<>(); // in the order of their accepts
    private Listener listener;
    private int bound;
    private int jobs;

    IngressTable(PlatformNode node) {
        this.node = node;
    }

    /** Where connections come from, once the node listens. */
    void listener(Listener theListener) {
        listener = theListener;
    }

    /** How many connections there may be; a lower bound is come down to as connections end or stand idle. */
    void bound(int most) {
        bound = most;
        resumeAccepting();
    }

    /**
     * How many there may be now: the bound, but always room for call-backs beside the jobs held. These may be
     * more than the bound allows where another process of the node has just taken half of it.
     */
    private int room() {
        return Math.max(bound, jobs + bound / 4);
    }

    void accept(SocketChannel channel) throws IOException {
        // More than one where the bound has been lowered: else the listener would stay shut beside idle ones.
        IngressConnection least = connections.size() >= room() ? leastOfUse() : null;
        while (least != null) {
            if (least.ending()) {
                least.close();
            } else {
                least.closeUnlessAsked(); // if it has asked meanwhile the next choice is another
            }
            least = connections.size() >= room() ? leastOfUse() : null;
        }
        connections.add(new IngressConnection(node, channel));
        if (connections.size() > room()) {
            listener.accepting(false); // the next wait in the kernel until one here ends
        }
    }

    /**
     * The connection that is missed least, or null where all are owed an answer: one that has had its last
     * answer; one that was opened and says nothing; one that has served and is idle, longest first; one whose
     * first request is still not whole.
     */
    private IngressConnection leastOfUse() {
        long now = node.loop.now();
        IngressConnection idlest = null;
        IngressConnection unused = null;
        for (IngressConnection each : connections) {
            if (each.ending() && each.unwritten() == 0) {
                return each;
            }
            if (each.unused()) {
                if (each.idle() && now - each.lastActivity() > FRESH_NS) {
                    return each;
                }
                unused = unused == null ? each : unused;
            } else if (each.idle() && (idlest == null || each.lastActivity() < idlest.lastActivity())) {
                idlest = each;
            }
        }
        return idlest != null ? idlest : unused;
    }

    /** Whether so many jobs are open that another would take the place of call-backs and health checks. */
    boolean crowded() {
        return jobs >= bound * 3 / 4;
    }

    /** A connection begins to hold a job ({@code 1}), or holds it no more ({@code -1}). */
    void jobs(int change) {
        jobs += change;
    }

    void released(IngressConnection connection) {
        connections.remove(connection);
        resumeAccepting();
    }

    private void resumeAccepting() {
        if (listener != null && connections.size() < room()) {
            listener.accepting(true);
        }
    }

    /** Cuts off whoever wastes a connection. */
    void sweep(long now) {
        for (IngressConnection each : List.copyOf(connections)) {
            each.sweep(now);
        }
    }

    /**
     * Closes what is idle. One just accepted looks idle until its first bytes are read: a call-back may be on
     * its way.
     *
     * @param sparesCallbacks whether connections that have carried call-backs stay open
     */
    void closeIdle(long now, boolean sparesCallbacks) {
        List.copyOf(connections).stream()
                .filter(each -> each.idle() && now - each.lastActivity() > QUIET_NS)
                .filter(each -> !(each.callbacks() && sparesCallbacks))
                .forEach(IngressConnection::closeUnlessAsked);
    }

    /** Whether none is left, but for idle ones of call-backs where these are spared. */
    boolean drained(boolean sparesCallbacks) {
        return connections.stream().allMatch(each -> each.callbacks() && sparesCallbacks && each.idle());
    }

    void closeAll() {
        List.copyOf(connections).forEach(IngressConnection::close);
    }
}
