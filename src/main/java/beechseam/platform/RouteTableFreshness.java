package beechseam.platform;

import beechseam.core.SendGate;
import beechseam.core.Timer;
import beechseam.core.Timers;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Tracks whether the route table is current enough to dispatch requests. It may be stale after a start, a change of
 * discovery's address, or a stall of this process, because updates may be unread in a socket or may not have been
 * requested. Requests are then deferred until discovery has responded or the response has timed out.
 * After the timeout the cached table is used, since an outage of discovery may be long.
 *
 * <p>A heartbeat, fired every half stall limit, reads discovery's connections. If more than the limit has passed
 * since the previous check, the process was stopped or starved of CPU. The heartbeats also measure the response
 * timeout, and each of them counts for at most one limit, so that the timeout does not elapse while the process
 * is not running. The class performs no I/O itself.
 */
final class RouteTableFreshness implements SendGate {
    private static final Logger LOG = System.getLogger(RouteTableFreshness.class.getName());

    /** States of the route table; operators see them in lower case. */
    enum State {
        /** A response of discovery is pending: requests are deferred. */
        AWAITED,
        /** The table matches discovery's current list. */
        CONFIRMED,
        /** Discovery does not respond: requests are dispatched according to the cached table. */
        UNCONFIRMED
    }

    private static final long NANOS_PER_MS = 1_000_000L;

    private final LongSupplier clock;
    private final Timers timers;
    private final long stallNs;
    private final long responseTimeoutNs;
    private final BooleanSupplier readUnread;
    private final Runnable recheck;
    private Runnable openListener = () -> {};
    private final Timer heartbeat = new Timer() {
        @Override
        protected void fire() {
            checkForStall(clock.getAsLong());
            timers.set(heartbeat, clock.getAsLong() + stallNs / 2);
        }
    };
    private State state = State.AWAITED;
    private boolean hasOpened;
    private long checkedAt;
    private long awaitedSince;
    private long remainingNs;
    private boolean checking;

    /**
     * Creates the tracker in state {@link State#AWAITED}.
     *
     * @param clock steady clock, in nanoseconds
     * @param timers schedules the heartbeat
     * @param stallNs stall limit, in nanoseconds: after a longer stall the process may have missed an update that
     *     has already taken effect
     * @param responseTimeoutNs response timeout of discovery, in nanoseconds
     * @param readUnread reads all data from discovery that is still unread; returns whether there was any
     * @param recheck makes a call to which discovery responds immediately
     */
    RouteTableFreshness(
            LongSupplier clock,
            Timers timers,
            long stallNs,
            long responseTimeoutNs,
            BooleanSupplier readUnread,
            Runnable recheck) {
        this.clock = clock;
        this.timers = timers;
        this.stallNs = stallNs;
        this.responseTimeoutNs = responseTimeoutNs;
        this.readUnread = readUnread;
        this.recheck = recheck;
        remainingNs = responseTimeoutNs;
        checkedAt = clock.getAsLong();
        awaitedSince = checkedAt;
    }

    /** Sets the listener that is called each time the gate opens. */
    void onOpen(Runnable listener) {
        openListener = listener;
    }

    /** Starts the heartbeat. */
    void start() {
        timers.set(heartbeat, checkedAt + stallNs / 2);
    }

    /** Stops the heartbeat. */
    void stop() {
        timers.cancel(heartbeat);
    }

    /** The state as of the last check. */
    State state() {
        return state;
    }

    /** Whether the gate has been open at any time since the start. */
    boolean hasOpened() {
        return hasOpened;
    }

    /** Called when discovery's address has changed: restarts the response timeout and ignores earlier calls. */
    void addressChanged() {
        remainingNs = responseTimeoutNs;
        awaitResponse(clock.getAsLong());
    }

    /** Closes the gate until the response to a call made at time {@code since} or later, in nanoseconds. */
    private void awaitResponse(long since) {
        awaitedSince = Math.max(awaitedSince, since);
        if (state != State.AWAITED) { // otherwise the response timeout continues
            remainingNs = responseTimeoutNs;
            enter(State.AWAITED);
        }
    }

    /** Whether the response to a call made at that time confirms the table, if it is read promptly. */
    boolean confirms(long callStartedAt) {
        return state != State.AWAITED || callStartedAt >= awaitedSince;
    }

    /**
     * Called when discovery has responded to a call. Returns false if the response does not confirm the table and
     * another call is needed: it may be older than the stall limit, because it was left unread or took long to
     * receive, or its call was made too early.
     *
     * @param callStartedAt when the call was made, in nanoseconds
     * @param firstByteAt when the first bytes of the response were read, or 0 if it was read in one piece
     */
    boolean onResponse(long callStartedAt, long firstByteAt) {
        long now = clock.getAsLong();
        long unreadNs = Math.min(now - callStartedAt, now - checkedAt);
        long receiveNs = firstByteAt == 0 ? 0 : now - firstByteAt;
        boolean isRecent = Math.max(unreadNs, receiveNs) <= stallNs;
        if (isRecent && confirms(callStartedAt)) {
            enter(State.CONFIRMED);
            return true;
        }
        awaitResponse(now);
        return false;
    }

    @Override
    public boolean open() {
        long now = clock.getAsLong();
        if (now - checkedAt >= stallNs / 2) {
            checkForStall(now);
        }
        return state != State.AWAITED;
    }

    @Override
    public long opensWithinNs() {
        return state == State.AWAITED ? Math.max(0, remainingNs) : 0;
    }

    /** Reads unread data from discovery, then evaluates the time since the last check. */
    private void checkForStall(long now) {
        if (checking) {
            return;
        }
        checking = true;
        long elapsedNs = now - checkedAt;
        boolean stalled = elapsedNs > stallNs;
        boolean wasConfirmed = state == State.CONFIRMED;
        if (stalled && wasConfirmed) {
            awaitResponse(now); // before the read, which may cause requests to be sent
        }
        boolean hadUnread = readUnread.getAsBoolean();
        checkedAt = now;
        checking = false;
        if (stalled && (wasConfirmed || hadUnread)) {
            LOG.log(Level.INFO, "process stalled stall_ms=" + elapsedNs / NANOS_PER_MS + " action=poll_discovery");
            awaitResponse(now);
            recheck.run();
        }
        if (state == State.AWAITED) {
            remainingNs -= Math.min(elapsedNs, stallNs);
            if (remainingNs <= 0) {
                enter(State.UNCONFIRMED);
            }
        }
    }

    private void enter(State next) {
        if (next == state) {
            return;
        }
        boolean wasOpen = state != State.AWAITED;
        state = next;
        LOG.log(
                Level.INFO,
                "route table state=" + next.name().toLowerCase(Locale.ROOT)
                        + switch (next) {
                            case AWAITED -> " requests=deferred";
                            case CONFIRMED -> "";
                            case UNCONFIRMED -> " requests=sent_by_cached_list";
                        });
        if (!wasOpen) {
            hasOpened = true;
            openListener.run();
        }
    }
}
