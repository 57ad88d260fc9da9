package beechseam.platform;

import beechseam.config.MemberList;
import beechseam.core.Timer;
import beechseam.core.Timers;
import beechseam.dispatch.EndpointUpdate;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Client side of discovery's list-watch protocol: decides which call is made and when, independent of the
 * transport. The full list is fetched once, then long polls follow each other without a gap.
 *
 * <p>A change must be applied within {@link #PROPAGATION_LIMIT_NS} after discovery had it and was reachable,
 * and at once when discovery recovers from an outage; all timeouts here derive from this limit and the drain
 * grace. A long poll waits for a third of the limit, so that one without a response is detected with most of
 * the limit left. From the first failure on, a call that does not wait is made every half drain grace, each
 * on its own connection and in parallel to the pending ones (a hedged request): the first response cancels
 * the others. There is no backoff: the address is an agent's on this machine, where a poll is cheap, and a
 * longer interval could outlast its outage.
 */
final class ListWatch {
    /** Set by the platform: a change must be applied within this time after discovery had it and was reachable. */
    static final long PROPAGATION_LIMIT_NS = 6_000_000_000L;

    /** How long discovery may hold a long poll without a change. */
    static final long WATCH_WAIT_NS = PROPAGATION_LIMIT_NS / 3;
    /** How late a response may be before the call is given up. */
    static final long RESPONSE_TIMEOUT_NS = PROPAGATION_LIMIT_NS / 6;
    /** Bounds of the retry interval, whatever the deployment's drain grace. */
    static final long MIN_RETRY_INTERVAL_NS = 50_000_000L;

    static final long MAX_RETRY_INTERVAL_NS = PROPAGATION_LIMIT_NS / 24;
    /** Calls pending at a time; each may hold a descriptor. */
    static final int MAX_PENDING_CALLS = 8;
    /** In place of a version: the call asks for the full list. */
    static final long FULL_LIST = -1;

    /** Carries the calls and applies their results. */
    interface Transport {
        /**
         * Starts the call. Must lead to {@link #onResponse} or {@link #onFailure} exactly once, immediately
         * or later, unless the call is cancelled.
         *
         * @param predecessor a call that has just completed, whose connection may be reused; or null
         */
        void poll(Call call, Call predecessor);

        /** Cancels a pending call; its response is no longer wanted. */
        void cancel(Call call);

        /** Applies the full list, or a delta to the list applied before. */
        void apply(MemberList list, EndpointUpdate update);

        /**
         * Logs a failure.
         *
         * @param first false where the calls before have failed too
         */
        void onPollFailure(String reason, boolean first);

        /** Reads what has arrived for the call and is unread; returns whether there was any. */
        boolean readUnread(Call call);
    }

    /**
     * A pending call. {@code sinceVersion} is the version whose successors it asks for, or {@link #FULL_LIST};
     * {@code waitNs} is how long discovery may hold it, in nanoseconds.
     */
    static final class Call {
        final long sinceVersion;
        final long waitNs;
        private final long startedAt;
        private long sentAt;
        /** When the first and the last bytes of the response were read, in nanoseconds; 0 before the first. */
        private long firstByteAt;

        private long lastByteAt;
        /** Reserved for the transport. */
        Object connection;

        private Call(long sinceVersion, long waitNs, long now) {
            this.sinceVersion = sinceVersion;
            this.waitNs = waitNs;
            startedAt = now;
            sentAt = now;
        }

        private long dueAt() {
            return sentAt + waitNs;
        }

        /** A response that makes progress does not time out, however long the list is. */
        private boolean hasTimedOut(long now) {
            return now >= Math.max(dueAt(), lastByteAt) + RESPONSE_TIMEOUT_NS;
        }

        /** An empty response to a long poll, long before its time: repeated immediately it would be a busy loop. */
        private boolean respondedWithoutWaiting(MemberList list, long now) {
            return list.version() == sinceVersion && list.servers().isEmpty() && now < startedAt + waitNs / 2;
        }
    }

    private final LongSupplier clock;
    private final Timers timers;
    private final Transport transport;
    private final long retryIntervalNs;
    private final ArrayDeque<Call> pending = new ArrayDeque<>();
    private final Timer retryTimer = new Timer() {
        @Override
        protected void fire() {
            onTimeout();
        }
    };
    /** The full list has been received from this address: versions of different addresses do not compare. */
    private boolean hasFullList;
    /** The last call succeeded: the next may be a long poll. */
    private boolean healthy;

    private boolean synced;
    private boolean stopped;
    private boolean failing;
    private long version;
    private final RouteTableFreshness freshness;

    /**
     * @param clock steady clock, in nanoseconds
     * @param drainGraceNs time that the rules allow between the notice of a drain and the last send
     */
    ListWatch(LongSupplier clock, Timers timers, long drainGraceNs, Transport transport) {
        this.clock = clock;
        this.timers = timers;
        this.transport = transport;
        retryIntervalNs = Math.max(MIN_RETRY_INTERVAL_NS, Math.min(MAX_RETRY_INTERVAL_NS, drainGraceNs / 2));
        long stallNs =
                Math.max(MIN_RETRY_INTERVAL_NS, drainGraceNs * 2 / 3); // the rest is left for a call's round trip
        freshness =
                new RouteTableFreshness(clock, timers, stallNs, RESPONSE_TIMEOUT_NS, this::readUnread, this::recheck);
    }

    /** Whether the list is current enough to act on. */
    RouteTableFreshness freshness() {
        return freshness;
    }

    /** Starts from a cached list, which may be stale: the full list is requested nevertheless. */
    void start(MemberList known) {
        version = known.version();
        freshness.start();
        startCall(null);
    }

    /** Whether a response has been applied since the start. */
    boolean isSynced() {
        return synced;
    }

    /** The transport uses another address from now on, whose versions may be counted differently. */
    void addressChanged() {
        hasFullList = false;
        healthy = false;
        cancelAll();
        freshness.addressChanged();
        startCall(null);
    }

    /** The list may be stale: makes a call that does not wait, in parallel to the pending ones. */
    private void recheck() {
        if (pending.stream().noneMatch(each -> each.waitNs == 0 && freshness.confirms(each.startedAt))) {
            healthy = false;
            startCall(null);
        }
    }

    private boolean readUnread() {
        boolean any = false;
        for (Call each : List.copyOf(pending)) {
            any |= pending.contains(each) && transport.readUnread(each);
        }
        return any;
    }

    /** Cancels all calls; none is made any more. */
    void stop() {
        stopped = true;
        freshness.stop();
        timers.cancel(retryTimer);
        cancelAll();
    }

    /** The call has completed with a list; ignored unless the call is pending. */
    void onResponse(Call call, MemberList list) {
        if (!pending.remove(call)) {
            return;
        }
        boolean changes = !list.full();
        if (changes && list.version() < call.sinceVersion) {
            hasFullList = false; // a delta to a list that we do not have
            retryLater("stale_delta version=" + list.version() + " since_version=" + call.sinceVersion);
            return;
        }
        cancelAll();
        version = list.version();
        hasFullList = true;
        synced = true;
        transport.apply(list, changes ? EndpointUpdate.DELTA : EndpointUpdate.SNAPSHOT);
        failing = false;
        // After a late response the next call may not wait.
        healthy = freshness.onResponse(call.startedAt, call.firstByteAt);
        if (changes && call.respondedWithoutWaiting(list, clock.getAsLong())) {
            retryLater("watch_returned_early");
        } else {
            startCall(call);
        }
    }

    /** The call has been sent; that may be late in a process that has just started, so its timeout starts now. */
    void onSent(Call call) {
        call.sentAt = clock.getAsLong();
        if (call == pending.peekLast()) {
            armTimeout(call);
        }
    }

    private void armTimeout(Call call) {
        timers.set(retryTimer, call.dueAt() + retryIntervalNs);
    }

    /** Bytes of the response have been read; it may be incomplete. */
    void recordProgress(Call call) {
        call.lastByteAt = clock.getAsLong();
        call.firstByteAt = call.firstByteAt == 0 ? call.lastByteAt : call.firstByteAt;
    }

    /** The call has failed; ignored unless the call is pending. */
    void onFailure(Call call, String reason) {
        if (pending.remove(call)) {
            retryLater(reason);
        }
    }

    private void retryLater(String reason) {
        reportFailure(reason);
        long next = clock.getAsLong() + retryIntervalNs; // not immediately: a refused connection would be a busy loop
        if (!stopped && (!retryTimer.armed() || retryTimer.due() > next)) {
            timers.set(retryTimer, next);
        }
    }

    private void reportFailure(String reason) {
        transport.onPollFailure(reason, !failing);
        failing = true;
        healthy = false;
    }

    private void onTimeout() {
        long now = clock.getAsLong();
        reportFailure("timeout");
        for (Call each : List.copyOf(pending)) {
            if (each.hasTimedOut(now)) {
                pending.remove(each);
                transport.cancel(each);
            }
        }
        startCall(null);
    }

    private void startCall(Call predecessor) {
        if (stopped) {
            return;
        }
        long now = clock.getAsLong();
        if (pending.size() == MAX_PENDING_CALLS) {
            Call dropped = evictionCandidate();
            pending.remove(dropped);
            transport.cancel(dropped);
        }
        Call call = new Call(hasFullList ? version : FULL_LIST, hasFullList && healthy ? WATCH_WAIT_NS : 0, now);
        pending.add(call);
        armTimeout(call);
        transport.poll(call, predecessor);
    }

    /** The oldest call without progress, else the youngest: a long list needs time to arrive. */
    private Call evictionCandidate() {
        return pending.stream().filter(each -> each.lastByteAt == 0).findFirst().orElse(pending.peekLast());
    }

    private void cancelAll() {
        List.copyOf(pending).forEach(transport::cancel);
        pending.clear();
    }
}
