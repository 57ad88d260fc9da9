package beechseam.platform;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** An executor's address, the connections to it, and the exchanges that wait for one. Owned by its pool. */
final class EgressTarget {
    final long id;
    /** The value of the Host header. */
    final String host;

    final InetSocketAddress address;
    /** Used last first. */
    final ArrayDeque<EgressConnection> idleConnections = new ArrayDeque<>();

    final Set<EgressConnection> busyConnections = new LinkedHashSet<>();
    final ArrayDeque<Exchange> queue = new ArrayDeque<>();
    int openConnections;
    /** The route table lists it no more: nothing new is sent to it. */
    boolean removed;
    /** How long a connection may stand idle and still be used, in nanoseconds. */
    long idleTimeoutNs;
    /** When {@link #idleTimeoutNs} was last adjusted, on the loop's clock. */
    long idleTimeoutChangedAt;

    EgressTarget(long id, String host, InetSocketAddress address, long idleTimeoutNs) {
        this.id = id;
        this.host = host;
        this.address = address;
        this.idleTimeoutNs = idleTimeoutNs;
    }

    /** Closes connections that have stood idle for longer than the timeout. */
    void closeExpiredIdle(long nowNs) {
        while (!idleConnections.isEmpty() && nowNs - idleConnections.peekLast().lastActivity() > idleTimeoutNs) {
            idleConnections.peekLast().close();
        }
    }
}
