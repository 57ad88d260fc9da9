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
 * Whether the route table is current enough to send by. It is not after a start, a move of discovery, or a
 * time in which this process did not run: what discovery has told meanwhile may lie unread, or may not have
 * been asked for. Requests then wait, until discovery has answered or has had the time to; after that the
 * table counts as it is held, since discovery may be down for long.
 *
 * <p>A heartbeat every half stall limit reads discovery's connections. One that comes later than the limit
 * shows that the process was stopped or starved. The time that discovery is given is counted by heartbeats
 * too, each of which counts as one limit at most: to a process that does not run no time passes. I/O-free.
 */
final class RouteTableFreshness implements SendGate {
    private static final Logger LOG = System.getLogger(RouteTableFreshness.class.getName());

    /** States of the route table; shown to operators in lower case. */
    enum State {
        /** Discovery has been asked and not answered: requests wait. */
        AWAITED,
        /** Discovery has told all that it had to tell. */
        CONFIRMED,
        /** Discovery is silent: requests are sent by the table as held. */
        UNCONFIRMED
    }

    private final LongSupplier clock;
    private final Timers timers;
    private final long stallNs;
    private final long patienceNs;
    private final BooleanSupplier readUnread;
    private final Runnable askAgain;
    private Runnable opened = () -> {};
    private final Timer heartbeat = new Timer() {
        @Override
        protected void fire() {
            checkSockets(clock.getAsLong());
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
     * @param stallNs a process that has not run for longer may have missed news that counts already
     * @param patienceNs the time in which a discovery that is up answers
     * @param readUnread takes in all that discovery has sent and is unread; whether there was any
     * @param askAgain makes a call that discovery answers at once
     */
    RouteTableFreshness(
            LongSupplier clock,
            Timers timers,
            long stallNs,
            long patienceNs,
            BooleanSupplier readUnread,
            Runnable askAgain) {
        this.clock = clock;
        this.timers = timers;
        this.stallNs = stallNs;
        this.patienceNs = patienceNs;
        this.readUnread = readUnread;
        this.askAgain = askAgain;
        remainingNs = patienceNs;
        checkedAt = clock.getAsLong();
        awaitedSince = checkedAt;
    }

    /** Called each time the gate opens. */
    void onOpen(Runnable action) {
        opened = action;
    }

    void start() {
        timers.set(heartbeat, checkedAt + stallNs / 2);
    }

    void stop() {
        timers.cancel(heartbeat);
    }

    State state() {
        return state;
    }

    /** Whether the gate has been open since the start. */
    boolean hasOpened() {
        return hasOpened;
    }

    /** Discovery is elsewhere: it has all its time from now on, and nothing from before counts. */
    void moved() {
        remainingNs = patienceNs;
        await(clock.getAsLong());
    }

    /** The table may be old, until discovery answers a call made at that time or later. */
    private void await(long since) {
        awaitedSince = Math.max(awaitedSince, since);
        if (state != State.AWAITED) { // else the time that discovery is given goes on
            remainingNs = patienceNs;
            enter(State.AWAITED);
        }
    }

    /** Whether the answer to a call made then confirms the table, if it is read in time. */
    boolean confirms(long askedAt) {
        return state != State.AWAITED || askedAt >= awaitedSince;
    }

    /**
     * Discovery has answered a call made at {@code askedAt}; the first bytes were read at {@code heardAt}, or
     * 0 where the answer came in one piece. False where the answer may be older than the stall limit, since
     * it lay unread or took long to come: it does not confirm the table, and discovery is to be asked again.
     */
    boolean answered(long askedAt, long heardAt) {
        long now = clock.getAsLong();
        long unreadNs = Math.min(now - askedAt, now - checkedAt);
        long arrivalNs = heardAt == 0 ? 0 : now - heardAt;
        boolean inTime = Math.max(unreadNs, arrivalNs) <= stallNs;
        if (inTime && confirms(askedAt)) {
            enter(State.CONFIRMED);
            return true;
        }
        await(now);
        return false;
    }

    @Override
    public boolean open() {
        long now = clock.getAsLong();
        if (now - checkedAt >= stallNs / 2) {
            checkSockets(now);
        }
        return state != State.AWAITED;
    }

    @Override
    public long opensWithinNs() {
        return state == State.AWAITED ? Math.max(0, remainingNs) : 0;
    }

    /** Reads what discovery has sent, then counts the time since the last check. */
    private void checkSockets(long now) {
        if (checking) {
            return;
        }
        checking = true;
        long sinceNs = now - checkedAt;
        boolean stalled = sinceNs > stallNs;
        boolean wasConfirmed = state == State.CONFIRMED;
        if (stalled && wasConfirmed) {
            await(now); // before anything is read, which may bring sends about
        }
        boolean any = readUnread.getAsBoolean();
        checkedAt = now;
        checking = false;
        if (stalled && (wasConfirmed || any)) {
            LOG.log(Level.INFO, "not run for " + sinceNs / 1_000_000L + " ms: discovery is asked again");
            await(now);
            askAgain.run();
        }
        if (state == State.AWAITED) {
            remainingNs -= Math.min(sinceNs, stallNs);
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
                "route table " + next.name().toLowerCase(Locale.ROOT)
                        + switch (next) {
                            case AWAITED -> ": requests wait for discovery's answer";
                            case CONFIRMED -> " by discovery";
                            case UNCONFIRMED -> ": discovery is silent, requests go by the list as held";
                        });
        if (!wasOpen) {
            hasOpened = true;
            opened.run();
        }
    }
}
