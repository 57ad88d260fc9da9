package beechseam.platform;

import beechseam.net.Listener;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections from clients and from executors that call back, within a bound on descriptors. At the bound
 * a new connection evicts one that is owed nothing; where all are owed a response the listener pauses, and
 * further ones wait in the kernel. Eviction is O(n) in the connections.
 */
final class IngressTable {
    /** A connection just accepted is likely to bring its request within this time. */
    private static final long FIRST_REQUEST_GRACE_NS = 100_000_000L;
    /** A connection without traffic for so long has no request on its way. */
    private static final long QUIET_NS = 200_000_000L;

    private final PlatformNode node;
    private final Set<IngressConnection> connections = new LinkedHashSet<>(); // in the order of their accepts
    /** Null until the node listens. */
    private Listener listener;

    private int maxConnections;
    private int openJobs;

    IngressTable(PlatformNode node) {
        this.node = node;
    }

    /** The listener to pause and resume, once the node listens. */
    void attach(Listener attachedListener) {
        listener = attachedListener;
    }

    /** Bounds the connections. Those above a lowered bound end as they become idle. */
    void setMaxConnections(int max) {
        maxConnections = max;
        resumeAccepting();
    }

    /**
     * How many connections there may be now: the bound, but always room for call-backs beside the open jobs.
     * These may be more than the bound allows where another process of the node has just taken half of it.
     */
    private int capacity() {
        return Math.max(maxConnections, openJobs + maxConnections / 4);
    }

    /** Takes a connection that the listener has accepted. */
    void accept(SocketChannel channel) throws IOException {
        // More than one where the bound has been lowered: else the listener would stay paused beside idle ones.
        IngressConnection victim = evictionCandidate();
        while (victim != null) {
            if (victim.ending()) {
                victim.close();
            } else {
                victim.closeUnlessAsked(); // if a request has come meanwhile the next candidate is another
            }
            victim = evictionCandidate();
        }
        connections.add(new IngressConnection(node, channel));
        if (connections.size() > capacity()) {
            listener.accepting(false); // the next wait in the kernel until one here ends
        }
    }

    /**
     * The connection that is missed least; null below capacity, or where all are owed a response. In this
     * order: one that has had its last response; one that was opened and says nothing; one that has served and
     * is idle, longest first; one whose first request is not complete.
     */
    private IngressConnection evictionCandidate() {
        if (connections.size() < capacity()) {
            return null;
        }
        long now = node.loop.now();
        IngressConnection longestIdle = null;
        IngressConnection unused = null;
        for (IngressConnection each : connections) {
            if (each.ending() && each.unwritten() == 0) {
                return each;
            }
            if (each.unused()) {
                if (each.idle() && now - each.lastActivity() > FIRST_REQUEST_GRACE_NS) {
                    return each;
                }
                unused = unused == null ? each : unused;
            } else if (each.idle() && (longestIdle == null || each.lastActivity() < longestIdle.lastActivity())) {
                longestIdle = each;
            }
        }
        return longestIdle != null ? longestIdle : unused;
    }

    /** Whether so many jobs are open that another would take the place of call-backs and health checks. */
    boolean isOverloaded() {
        return openJobs >= maxConnections * 3 / 4;
    }

    /** A connection holds a job from now on. */
    void jobOpened() {
        openJobs++;
    }

    /** A connection holds its job no more. */
    void jobClosed() {
        openJobs--;
    }

    /** A connection has closed. */
    void connectionClosed(IngressConnection connection) {
        connections.remove(connection);
        resumeAccepting();
    }

    private void resumeAccepting() {
        if (listener != null && connections.size() < capacity()) {
            listener.accepting(true);
        }
    }

    /** Applies the timeouts of all connections; called periodically, {@code nowNs} on the loop's clock. */
    void sweep(long nowNs) {
        for (IngressConnection each : List.copyOf(connections)) {
            each.sweep(nowNs);
        }
    }

    /**
     * Closes idle connections. One just accepted looks idle until its first bytes are read: a call-back may be
     * on its way.
     *
     * @param nowNs the time on the loop's clock
     * @param sparesCallbacks whether connections that have carried call-backs stay open
     */
    void closeIdle(long nowNs, boolean sparesCallbacks) {
        List.copyOf(connections).stream()
                .filter(each -> each.idle() && nowNs - each.lastActivity() > QUIET_NS)
                .filter(each -> !(each.carriesCallbacks() && sparesCallbacks))
                .forEach(IngressConnection::closeUnlessAsked);
    }

    /** Whether no connection is left, but for idle ones of call-backs where these are spared. */
    boolean isDrained(boolean sparesCallbacks) {
        return connections.stream().allMatch(each -> each.carriesCallbacks() && sparesCallbacks && each.idle());
    }

    void closeAll() {
        List.copyOf(connections).forEach(IngressConnection::close);
    }
}
