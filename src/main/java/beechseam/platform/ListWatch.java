package beechseam.platform;

import beechseam.config.MemberList;
import beechseam.core.Timer;
import beechseam.core.Timers;
import beechseam.dispatch.EndpointUpdate;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Which calls discovery gets, and when; it knows no wire. The whole list once, then one watch after the other
 * without a gap.
 *
 * <p>A change counts as told {@link #PROPAGATION_LIMIT_NS} after discovery had it and could be reached,
 * whatever has failed, and at once where discovery comes back from a silence. All times here are made of
 * these two. A watch waits for a third of the limit, so a silent one is noticed with most of it left. From
 * the first failure on a call is made every half drain grace, none of which may wait, each on a connection
 * of its own and beside those not answered yet (a hedged request): the first answer ends them all. The
 * interval does not grow: the address is an agent's on this machine, which answers at no cost, and a longer
 * interval could outlast its silence.
 */
final class ListWatch {
    /** The platform's term: news counts as told so long after discovery had it and could be reached. */
    static final long PROPAGATION_LIMIT_NS = 6_000_000_000L;

    static final long WATCH_WAIT_NS = PROPAGATION_LIMIT_NS / 3;
    /** An answer that is due may be late by so much, and still be the first. */
    static final long ANSWER_TIMEOUT_NS = PROPAGATION_LIMIT_NS / 6;
    /** No deployment's grace makes the calls denser than this, and none makes them rarer. */
    static final long MIN_RETRY_INTERVAL_NS = 50_000_000L;

    static final long MAX_RETRY_INTERVAL_NS = PROPAGATION_LIMIT_NS / 24;
    /** Calls out at a time; each may hold a descriptor. */
    static final int MAX_PENDING_CALLS = 8;

    /** What carries the calls. */
    interface Transport {
        /**
         * Makes the call; {@code before} was answered in this turn and leaves its connection, or is null.
         * Owes {@link #answered} or {@link #failed} once, at once or later, unless it is cancelled.
         */
        void ask(Call call, Call before);

        /** The call's answer is not wanted any more. */
        void cancel(Call call);

        /** A list, or what has changed in it. */
        void take(MemberList list, EndpointUpdate form);

        /** For the log: the first of a row of failures, or a further one. */
        void failed(String why, boolean first);

        /** Takes in what has come for the call and is unread. Whether anything had. */
        boolean readUnread(Call call);
    }

    /** A call that is out. {@code after} is the version it asks from, or -1 for the whole list. */
    static final class Call {
        final long after;
        final long waitNs;
        private final long askedAt;
        private long sentAt;
        /** When the first and the last bytes of its answer came; 0 before the first. */
        private long firstHeardAt;

        private long lastHeardAt;
        /** What the transport keeps of it. */
        Object connection;

        private Call(long after, long waitNs, long now) {
            this.after = after;
            this.waitNs = waitNs;
            askedAt = now;
            sentAt = now;
        }

        private long dueAt() {
            return sentAt + waitNs;
        }

        /** An answer that goes on coming is waited for, however long the list is. */
        private boolean isOverdue(long now) {
            return now >= Math.max(dueAt(), lastHeardAt) + ANSWER_TIMEOUT_NS;
        }

        /** A watch answered with nothing, long before its time: made again at once it would be all we do. */
        private boolean answeredWithoutWaiting(MemberList list, long now) {
            return list.version() == after && list.servers().isEmpty() && now < askedAt + waitNs / 2;
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
            overdue();
        }
    };
    /** The whole list has come from this address: only then do its versions and ours mean the same. */
    private boolean hasFullList;
    /** The last call was answered: the next may wait. */
    private boolean healthy;

    private boolean held;
    private boolean stopped;
    private boolean failing;
    private long version;
    private final RouteTableFreshness freshness;

    /** {@code drainGraceNs}: what the rules give between the news of a drain and the last send. */
    ListWatch(LongSupplier clock, Timers timers, long drainGraceNs, Transport transport) {
        this.clock = clock;
        this.timers = timers;
        this.transport = transport;
        retryIntervalNs = Math.max(MIN_RETRY_INTERVAL_NS, Math.min(MAX_RETRY_INTERVAL_NS, drainGraceNs / 2));
        long stallNs = Math.max(MIN_RETRY_INTERVAL_NS, drainGraceNs * 2 / 3); // the rest is a call's way
        freshness = new RouteTableFreshness(clock, timers, stallNs, ANSWER_TIMEOUT_NS, this::readUnread, this::recheck);
    }

    /** Whether the list may be acted on. */
    RouteTableFreshness freshness() {
        return freshness;
    }

    /** From a list as held before: it may be old, so the whole list is asked for all the same. */
    void start(MemberList known) {
        version = known.version();
        freshness.start();
        call(null);
    }

    /** Whether discovery has answered since the start. */
    boolean isSynced() {
        return held;
    }

    /** The transport leads elsewhere from now on, where versions may be counted otherwise. */
    void moved() {
        hasFullList = false;
        healthy = false;
        cancel();
        freshness.moved();
        call(null);
    }

    /** What has been told may be old: a call is made that may not wait, beside those that are out. */
    private void recheck() {
        if (pending.stream().noneMatch(each -> each.waitNs == 0 && freshness.confirms(each.askedAt))) {
            healthy = false;
            call(null);
        }
    }

    private boolean readUnread() {
        boolean any = false;
        for (Call each : List.copyOf(pending)) {
            any |= pending.contains(each) && transport.readUnread(each);
        }
        return any;
    }

    void stop() {
        stopped = true;
        freshness.stop();
        timers.cancel(retryTimer);
        cancel();
    }

    void answered(Call call, MemberList list) {
        if (!pending.remove(call)) {
            return;
        }
        boolean changes = !list.full();
        if (changes && list.version() < call.after) {
            hasFullList = false; // changes to a list that we do not hold
            failed("changes up to version " + list.version() + ", asked for those after " + call.after);
            return;
        }
        cancel();
        version = list.version();
        hasFullList = true;
        held = true;
        transport.take(list, changes ? EndpointUpdate.DELTA : EndpointUpdate.SNAPSHOT);
        failing = false;
        // After an answer that came late the next call may not wait.
        healthy = freshness.answered(call.askedAt, call.firstHeardAt);
        if (changes && call.answeredWithoutWaiting(list, clock.getAsLong())) {
            failed("a watch that does not wait");
        } else {
            call(call);
        }
    }

    /** The call goes out; its connection may come up late, above all in a process that has just started. */
    void sent(Call call) {
        call.sentAt = clock.getAsLong();
        if (call == pending.peekLast()) {
            expectAnswer(call);
        }
    }

    private void expectAnswer(Call call) {
        timers.set(retryTimer, call.dueAt() + retryIntervalNs);
    }

    /** Bytes of the call's answer have come; it may not be whole yet. */
    void heard(Call call) {
        call.lastHeardAt = clock.getAsLong();
        call.firstHeardAt = call.firstHeardAt == 0 ? call.lastHeardAt : call.firstHeardAt;
    }

    void failed(Call call, String why) {
        if (pending.remove(call)) {
            failed(why);
        }
    }

    private void failed(String why) {
        reportFailure(why);
        long next = clock.getAsLong() + retryIntervalNs; // not at once: some refuse at once, however often
        if (!stopped && (!retryTimer.armed() || retryTimer.due() > next)) {
            timers.set(retryTimer, next);
        }
    }

    private void reportFailure(String why) {
        transport.failed(why, !failing);
        failing = true;
        healthy = false;
    }

    private void overdue() {
        long now = clock.getAsLong();
        reportFailure("no answer");
        for (Call each : List.copyOf(pending)) {
            if (each.isOverdue(now)) {
                pending.remove(each);
                transport.cancel(each);
            }
        }
        call(null);
    }

    private void call(Call before) {
        if (stopped) {
            return;
        }
        long now = clock.getAsLong();
        if (pending.size() == MAX_PENDING_CALLS) {
            Call dropped = leastUseful();
            pending.remove(dropped);
            transport.cancel(dropped);
        }
        Call call = new Call(hasFullList ? version : -1, hasFullList && healthy ? WATCH_WAIT_NS : 0, now);
        pending.add(call);
        expectAnswer(call);
        transport.ask(call, before);
    }

    /** The oldest call that hears nothing, or the youngest: a long list needs time to come. */
    private Call leastUseful() {
        return pending.stream()
                .filter(each -> each.lastHeardAt == 0)
                .findFirst()
                .orElse(pending.peekLast());
    }

    private void cancel() {
        List.copyOf(pending).forEach(transport::cancel);
        pending.clear();
    }
}
