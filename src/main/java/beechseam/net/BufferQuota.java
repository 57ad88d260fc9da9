package beechseam.net;

import beechseam.core.Timer;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The memory of one {@link BufferShare}. A connection that needs more than is left waits, and its input stays in the
 * kernel. Connections are served in the order in which they began to wait. While some wait, holders that have stalled
 * are asked to give up their buffers, those that stalled first, until there is enough for the others. A connection that
 * has waited too long is notified, so that it can answer its peer in time.
 */
final class BufferQuota {
    private static final Logger LOG = System.getLogger(BufferQuota.class.getName());
    /** A holder that has neither read nor written for this long has stalled. */
    static final long STALL_NS = 200_000_000L;
    /** How long a connection waits for memory; an answer half a second after its time is not too late yet. */
    static final long MAX_WAIT_NS = 400_000_000L;

    private static final long CHECK_INTERVAL_NS = 20_000_000L;
    /** A shortage has ended when no connection has waited for this long; it is logged once therefore. */
    private static final long RECOVERY_NS = 1_000_000_000L;

    private final BufferShare share;
    private final long maxBytes;
    private long usedBytes;
    private final Set<ReadMemory> holders = new LinkedHashSet<>();
    private final ArrayDeque<ReadMemory> waiting = new ArrayDeque<>();
    /** Null until a connection has waited. */
    private EventLoop loop;

    private boolean servesAtTurnEnd;
    private long lastWaitNs;
    private long waitedCount;
    private long reclaimedCount;
    private long expiredCount;
    private final Timer check = new Timer() {
        @Override
        protected void fire() {
            check();
        }
    };

    BufferQuota(BufferShare share, long maxBytes) {
        this.share = share;
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes for a connection's buffer; returns false if they exceed what is left. */
    boolean reserve(ReadMemory holder, long bytes) {
        if (bytes > maxBytes - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        holders.add(holder);
        return true;
    }

    /** Releases the bytes of a buffer; {@code last} is true if the connection holds no further one. */
    void release(ReadMemory holder, long bytes, boolean last) {
        usedBytes -= bytes;
        if (last) {
            holders.remove(holder);
        }
        if (!waiting.isEmpty() && !servesAtTurnEnd) { // deferred: the caller may be in the middle of a change
            servesAtTurnEnd = true;
            loop.atTurnEnd(this::serveWaiting);
        }
    }

    /** Lets a connection wait until {@link ReadMemory#retry} succeeds. */
    void await(ReadMemory memory) {
        loop = memory.loop();
        waiting.add(memory);
        waitedCount++;
        lastWaitNs = loop.now();
        if (!check.armed()) {
            LOG.log(Level.WARNING, "read memory exhausted share=" + share + " limit=" + maxBytes);
            loop.timers.set(check, loop.now() + CHECK_INTERVAL_NS);
        }
    }

    /** Removes a connection that waits no longer. */
    void cancel(ReadMemory memory) {
        waiting.remove(memory);
    }

    private void serveWaiting() {
        servesAtTurnEnd = false;
        while (!waiting.isEmpty() && waiting.peekFirst().retry()) {
            waiting.pollFirst();
        }
    }

    private void check() {
        reclaimStalled();
        notifyExpired();
        long now = loop.now();
        if (!waiting.isEmpty()) {
            lastWaitNs = now;
        }
        if (now - lastWaitNs > RECOVERY_NS) {
            reportRecovery();
        } else {
            loop.timers.set(check, now + CHECK_INTERVAL_NS);
        }
    }

    /** Asks stalled holders to give up their buffers until no connection waits. O(holders log holders). */
    private void reclaimStalled() {
        serveWaiting();
        List<ReadMemory> stalled = holders.stream()
                .filter(each -> each.stalled(STALL_NS))
                .sorted(Comparator.comparingLong(ReadMemory::lastActivity))
                .toList();
        for (ReadMemory each : stalled) {
            if (waiting.isEmpty()) {
                return;
            }
            if (each.reclaim()) {
                reclaimedCount++;
                serveWaiting();
            }
        }
    }

    private void notifyExpired() {
        for (ReadMemory each : List.copyOf(waiting)) {
            if (each.waits() && each.waitedNs() > MAX_WAIT_NS && each.expire()) {
                expiredCount++;
            }
        }
        serveWaiting();
    }

    private void reportRecovery() {
        LOG.log(
                Level.INFO,
                "read memory recovered share=" + share + " waited=" + waitedCount + " reclaimed=" + reclaimedCount
                        + " refused=" + expiredCount);
        waitedCount = 0;
        reclaimedCount = 0;
        expiredCount = 0;
    }
}
