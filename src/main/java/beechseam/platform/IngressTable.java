package beechseam.platform;

import beechseam.net.Listener;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections from clients and from executors that send callbacks, limited in number to save file descriptors.
 * At the limit a new connection evicts one that awaits no response. If all of them await a response, the listener
 * pauses and further connections wait in the kernel. Eviction takes O(n) time in the number of connections.
 */
final class IngressTable {
    /** A client usually sends its first request within this time after the accept. */
    private static final long FIRST_REQUEST_GRACE_NS = 100_000_000L;
    /** A connection without traffic for this long is assumed to have no request in transit. */
    private static final long QUIET_NS = 200_000_000L;

    private final PlatformNode node;
    private final Set<IngressConnection> connections = new LinkedHashSet<>(); // in the order of acceptance
    /** Null until the node listens. */
    private Listener listener;

    private int maxConnections;
    private int openJobs;

    IngressTable(PlatformNode node) {
        this.node = node;
    }

    /** Sets the listener that is paused and resumed; called when the node starts to listen. */
    void attach(Listener attachedListener) {
        listener = attachedListener;
    }

    /** Sets the limit. Connections in excess of a lowered limit are evicted when they are idle. */
    void setMaxConnections(int max) {
        maxConnections = max;
        resumeAccepting();
    }

    /**
     * The number of connections allowed now: the limit or, if larger, one for each open job plus a quarter of the
     * limit for callbacks. Open jobs alone can exceed the limit just after another process of the node has started
     * and taken half of the file descriptors.
     */
    private int capacity() {
        return Math.max(maxConnections, openJobs + maxConnections / 4);
    }

    /** Adds a connection that the listener has accepted, and evicts others if the table is full. */
    void accept(SocketChannel channel) throws IOException {
        // After the limit was lowered, several must go, or the listener would stay paused despite idle connections.
        IngressConnection victim = evictionCandidate();
        while (victim != null) {
            if (victim.ending()) {
                victim.close();
            } else {
                victim.closeUnlessAsked(); // stays open if a request has arrived; the next candidate is another
            }
            victim = evictionCandidate();
        }
        connections.add(new IngressConnection(node, channel));
        if (connections.size() > capacity()) {
            listener.accepting(false); // further connections wait in the kernel until one here closes
        }
    }

    /**
     * Returns the connection whose close does the least harm; null below capacity, or if all await a response. First
     * choice is the oldest that has received its last response or whose first request is overdue; second, the one
     * that has been idle longest after a request; last, the oldest whose first request has not arrived in full.
     */
    private IngressConnection evictionCandidate() {
        if (connections.size() < capacity()) {
            return null;
        }
        long now = node.loop.now();
        IngressConnection longestIdle = null;
        IngressConnection unused = null;
        for (IngressConnection each : connections) {
            if (each.awaitsReadMemory()) {
                continue; // its request may have been sent in full
            }
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

    /** Whether so many jobs are open that another one would take connections needed for callbacks and health checks. */
    boolean isOverloaded() {
        return openJobs >= maxConnections * 3 / 4;
    }

    /** Counts a job that a connection has opened. */
    void jobOpened() {
        openJobs++;
    }

    /** Stops counting a job that was answered or whose client has disconnected. */
    void jobClosed() {
        openJobs--;
    }

    /** Removes a connection that has closed. */
    void connectionClosed(IngressConnection connection) {
        connections.remove(connection);
        resumeAccepting();
    }

    private void resumeAccepting() {
        if (listener != null && connections.size() < capacity()) {
            listener.accepting(true);
        }
    }

    /** Applies the timeouts of all connections; called periodically with the time of the event loop's clock. */
    void sweep(long nowNs) {
        for (IngressConnection each : List.copyOf(connections)) {
            each.sweep(nowNs);
        }
    }

    /**
     * Closes idle connections. Recently accepted ones stay open: they look idle until their first bytes are read, and
     * a callback may be in transit.
     *
     * @param nowNs the time of the event loop's clock
     * @param sparesCallbacks whether connections that have carried callbacks stay open
     */
    void closeIdle(long nowNs, boolean sparesCallbacks) {
        List.copyOf(connections).stream()
                .filter(each -> each.idle() && nowNs - each.lastActivity() > QUIET_NS)
                .filter(each -> !(each.carriesCallbacks() && sparesCallbacks))
                .forEach(IngressConnection::closeUnlessAsked);
    }

    /** Whether no connection is left, except idle ones that have carried callbacks if those are spared. */
    boolean isDrained(boolean sparesCallbacks) {
        return connections.stream().allMatch(each -> each.carriesCallbacks() && sparesCallbacks && each.idle());
    }

    /** Closes all connections at once. */
    void closeAll() {
        List.copyOf(connections).forEach(IngressConnection::close);
    }
}
