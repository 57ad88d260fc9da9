package beechseam.gearman;

import beechseam.gearman.queue.ByteBudget;
import beechseam.net.OutputMemory;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;

/**
 * The limit on the output that all peers of a server together leave unread: the share of the memory budget that is for
 * packets to clients. While it is used up, a peer that has anything unread gets nothing more: neither its own requests
 * nor the workers that write to it are read.
 */
final class OutputLimit {
    private static final Logger LOG = System.getLogger(OutputLimit.class.getName());

    private final ByteBudget budget;
    private final OutputMemory unread;
    private boolean reportedExhausted;

    OutputLimit(ByteBudget budget, OutputMemory unread) {
        this.budget = budget;
        this.unread = unread;
    }

    private boolean exhausted() {
        return budget.resultsExhausted(unread.bytes());
    }

    /** How many bytes a peer may leave unread now; {@code usualBytes} unless the limit is reached. */
    long forPeer(long usualBytes) {
        return exhausted() ? 0 : usualBytes;
    }

    /**
     * Stops reading from a worker while a client that it has written to is far behind in reading.
     *
     * @param usualBytes how much a client may leave unread while the limit is not reached
     */
    void throttle(GearmanConnection writer, List<GearmanConnection> receivers, long usualBytes) {
        long maxUnreadBytes = forPeer(usualBytes);
        receivers.forEach(each -> each.throttle(writer, maxUnreadBytes));
    }

    /** Logs when the limit has been reached, and when there is room again; called periodically. */
    void reportChanges() {
        boolean exhausted = exhausted();
        if (exhausted && !reportedExhausted) {
            LOG.log(Level.WARNING, "output memory exhausted unread=" + unread.bytes());
        } else if (!exhausted && reportedExhausted) {
            LOG.log(Level.INFO, "output memory recovered unread=" + unread.bytes());
        }
        reportedExhausted = exhausted;
    }
}
