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
 * transport. It fetches the full list once and then makes long polls, each one as soon as the previous one has
 * returned.
 *
 * <p>A change must be applied within {@link #PROPAGATION_LIMIT_NS} after discovery had it and was reachable,
 * and immediately when discovery recovers from an outage. All timeouts here derive from this limit and the drain
 * grace. A long poll waits for a third of the limit, so that a missing response is detected while most of the
 * limit remains.
 *
 * <p>After a failure, a call that does not wait is made every half drain grace, each on its own connection and in
 * parallel to the pending ones (a hedged request). The first response cancels the others. There is no backoff:
 * the address is that of an agent on this machine, where a poll is cheap, and a longer interval would delay the
 * recovery from an outage.
 */
final class ListWatch {
    /** Required by the platform: maximum time to apply a change once discovery has it and is reachable. */
    static final long PROPAGATION_LIMIT_NS = 6_000_000_000L;

    /** How long discovery may hold a long poll without a change. */
    static final long WATCH_WAIT_NS = PROPAGATION_LIMIT_NS / 3;
    /** How long after its due time a response may arrive before the call is cancelled. */
    static final long RESPONSE_TIMEOUT_NS = PROPAGATION_LIMIT_NS / 6;
    /** Bounds of the retry interval, which otherwise follows from the configured drain grace. */
    static final long MIN_RETRY_INTERVAL_NS = 50_000_000L;

    static final long MAX_RETRY_INTERVAL_NS = PROPAGATION_LIMIT_NS / 24;
    /** Maximum number of concurrent calls; each may use a descriptor. */
    static final int MAX_PENDING_CALLS = 8;
    /** Value of {@link Call#sinceVersion} for a call that asks for the full list. */
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

        /** Cancels a pending call, whose response is no longer needed. */
        void cancel(Call call);

        /** Applies the full list, or a delta to the list applied before. */
        void apply(MemberList list, EndpointUpdate update);

        /**
         * Logs a failure.
         *
         * @param first whether it is the first failure since the last successful call
         */
        void onPollFailure(String reason, boolean first);

        /** Reads the data that has arrived for the call; returns whether there was any. */
        boolean readUnread(Call call);
    }

    /**
     * A pending call. {@code sinceVersion} is the version after which it asks for changes, or {@link #FULL_LIST};
     * {@code waitNs} is how long discovery may delay the response, in nanoseconds.
     */
    static final class Call {
        final long sinceVersion;
        final long waitNs;
        private final long startedAt;
        private long sentAt;
        /** When the first and the last bytes of the response were read, in nanoseconds; 0 before the first. */
        private long firstByteAt;

        private long lastByteAt;
        /** For use by the transport. */
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

        /** Whether the call has timed out. Each received byte extends the timeout, so that long lists can arrive. */
        private boolean hasTimedOut(long now) {
            return now >= Math.max(dueAt(), lastByteAt) + RESPONSE_TIMEOUT_NS;
        }

        /** Whether a long poll returned empty long before its wait had passed; repeating it would be a busy loop. */
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
    /** Whether the full list was received from the current address; versions of other addresses do not compare. */
    private boolean hasFullList;
    /** Whether the last call succeeded, so that the next one may be a long poll. */
    private boolean healthy;

    private boolean synced;
    private boolean stopped;
    private boolean failing;
    private long version;
    private final RouteTableFreshness freshness;

    /**
     * Creates a watch; {@link #start} makes its first call.
     *
     * @param clock steady clock, in nanoseconds
     * @param drainGraceNs maximum time between the notice of a drain and the last send to that server
     */
    ListWatch(LongSupplier clock, Timers timers, long drainGraceNs, Transport transport) {
        this.clock = clock;
        this.timers = timers;
        this.transport = transport;
        retryIntervalNs = Math.max(MIN_RETRY_INTERVAL_NS, Math.min(MAX_RETRY_INTERVAL_NS, drainGraceNs / 2));
        long stallNs =
                Math.max(MIN_RETRY_INTERVAL_NS, drainGraceNs * 2 / 3); // the rest is for the round trip of a call
        freshness =
                new RouteTableFreshness(clock, timers, stallNs, RESPONSE_TIMEOUT_NS, this::readUnread, this::recheck);
    }

    /** Tracks whether the list is current enough to dispatch requests. */
    RouteTableFreshness freshness() {
        return freshness;
    }

    /** Starts from a cached list. The full list is still requested, since the cached one may be stale. */
    void start(MemberList known) {
        version = known.version();
        freshness.start();
        startCall(null);
    }

    /** Whether a response has been applied since the start. */
    boolean isSynced() {
        return synced;
    }

    /** Called when the transport has a new address, whose versions may not compare to those of the old one. */
    void addressChanged() {
        hasFullList = false;
        healthy = false;
        cancelAll();
        freshness.addressChanged();
        startCall(null);
    }

    /** Makes a call that does not wait, in parallel to the pending ones, because the list may be stale. */
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

    /** Cancels all calls and makes no further ones. */
    void stop() {
        stopped = true;
        freshness.stop();
        timers.cancel(retryTimer);
        cancelAll();
    }

    /** Called when the call has completed with a list; no effect unless the call is pending. */
    void onResponse(Call call, MemberList list) {
        if (!pending.remove(call)) {
            return;
        }
        boolean changes = !list.full();
        if (changes && list.version() < call.sinceVersion) {
            hasFullList = false; // a delta to a list that this node does not have
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

    /** Called when the call has been sent. Its timeout starts now, since a starting process may send it late. */
    void onSent(Call call) {
        call.sentAt = clock.getAsLong();
        if (call == pending.peekLast()) {
            armTimeout(call);
        }
    }

    private void armTimeout(Call call) {
        timers.set(retryTimer, call.dueAt() + retryIntervalNs);
    }

    /** Called when bytes of the response have been read, which may still be incomplete. */
    void recordProgress(Call call) {
        call.lastByteAt = clock.getAsLong();
        call.firstByteAt = call.firstByteAt == 0 ? call.lastByteAt : call.firstByteAt;
    }

    /** Called when the call has failed; no effect unless the call is pending. */
    void onFailure(Call call, String reason) {
        if (pending.remove(call)) {
            retryLater(reason);
        }
    }

    private void retryLater(String reason) {
        reportFailure(reason);
        long next = clock.getAsLong() + retryIntervalNs; // an immediate retry would be a busy loop
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

    /** The oldest call without progress, or the newest if all make progress, since long lists take time. */
    private Call evictionCandidate() {
        return pending.stream().filter(each -> each.lastByteAt == 0).findFirst().orElse(pending.peekLast());
    }

    private void cancelAll() {
        List.copyOf(pending).forEach(transport::cancel);
        pending.clear();
    }
}
