package beechseam.platform;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;

/** An executor's address, its connections, and the exchanges that wait for a connection. Owned by the pool. */
final class EgressTarget {
    final long id;
    /** The value of the Host header. */
    final String host;

    final InetSocketAddress address;
    /** The most recently used connection is first. */
    final ArrayDeque<EgressConnection> idleConnections = new ArrayDeque<>();

    final Set<EgressConnection> busyConnections = new LinkedHashSet<>();
    final ArrayDeque<Exchange> queue = new ArrayDeque<>();
    int openConnections;
    /** True once the route table no longer lists the executor: no new exchange is sent to it. */
    boolean removed;
    /** The longest time for which a connection may be idle before it is closed, in nanoseconds. */
    long idleTimeoutNs;
    /** Time of the last change of {@link #idleTimeoutNs}, on the loop's clock. */
    long idleTimeoutChangedAt;

    EgressTarget(long id, String host, InetSocketAddress address, long idleTimeoutNs) {
        this.id = id;
        this.host = host;
        this.address = address;
        this.idleTimeoutNs = idleTimeoutNs;
    }

    /** Closes connections that have been idle for longer than the timeout. */
    void closeExpiredIdle(long nowNs) {
        while (!idleConnections.isEmpty() && nowNs - idleConnections.peekLast().lastActivity() > idleTimeoutNs) {
            idleConnections.peekLast().close();
        }
    }
}
