package beechseam.gearman;

import beechseam.core.Attempt;
import beechseam.core.Timer;
import beechseam.dispatch.Outcome;
import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.queue.WorkerGroups.Location;
import beechseam.gearman.queue.WorkerGroups.Member;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The worker's side of a connection: what it can do, what it holds, and whether it may be given a job. It is
 * given one only when it asks or, asleep, has been called. A worker that asks while it holds jobs has shown
 * that it can hold more.
 */
final class WorkerSession {
    /** Whether it waits for work. */
    enum State {
        /** It runs something, or has said nothing since it was told NO_JOB. */
        AWAY,
        /** Its request for a job is being answered. */
        ASKING,
        /** It has said PRE_SLEEP and may be called with NOOP. */
        ASLEEP,
        /** It has been called and has not asked yet. */
        CALLED
    }

    /** A function that it can do; {@code seconds} that a job may take, 0 for no limit. */
    private record Ability(GearmanFunction function, Member<WorkerSession> member, int seconds) {}

    /** A job that it holds, also once nobody waits for it any more: only the worker can end that. */
    private static final class Run {
        final Attempt attempt;
        final GearmanFunction function;
        final long startedAt;
        Timer limit;
        /** It has reported an exception; unless it says otherwise that was the end. */
        boolean excepted;

        Run(Attempt attempt, GearmanFunction function, long startedAt) {
            this.attempt = attempt;
            this.function = function;
            this.startedAt = startedAt;
        }
    }

    final long number;
    final GearmanConnection connection;
    private final GearmanServer server;
    private final Map<String, Ability> abilities = new LinkedHashMap<>();
    private final Map<String, Run> held = new LinkedHashMap<>();
    private State state = State.AWAY;
    private Location location;
    private Attempt reserved;
    private Timer call;
    private boolean drained;
    private boolean announcedAvailable;
    private int slots = 1;

    WorkerSession(GearmanServer server, long number, GearmanConnection connection) {
        this.server = server;
        this.number = number;
        this.connection = connection;
        location = server.location(connection.clientId());
        drained = server.drained(connection.clientId());
    }

    Location location() {
        return location;
    }

    int jobsInFlight() {
        return held.size();
    }

    /** How many jobs it has shown that it can hold at once. */
    int slots() {
        return slots;
    }

    Iterable<String> functions() {
        return abilities.keySet();
    }

    int functionCount() {
        return abilities.size();
    }

    boolean can(GearmanFunction f) {
        return abilities.containsKey(f.name);
    }

    Member<WorkerSession> member(GearmanFunction f) {
        Ability a = abilities.get(f.name);
        return a == null ? null : a.member();
    }

    /** Whether it may be given a job now. */
    boolean isAvailable() {
        return (state == State.ASKING || state == State.ASLEEP)
                && reserved == null
                && !drained
                && held.size() < server.config.bounds().slots()
                && !connection.closed();
    }

    // ---- What it says of itself

    void canDo(String name, int seconds) {
        Ability known = abilities.get(name);
        if (known != null) { // said again: only the limit is new
            abilities.put(name, new Ability(known.function(), known.member(), seconds));
            return;
        }
        GearmanFunction f = server.function(name, connection);
        if (f == null) {
            return; // it has been told why
        }
        Member<WorkerSession> member = f.workers.groups.join(this, location);
        abilities.put(name, new Ability(f, member, seconds));
        f.workers.joined(member, this);
    }

    /** Withdrawn: what waits for it goes elsewhere, and nothing new comes. */
    void cantDo(String name) {
        Ability a = abilities.remove(name);
        if (a == null) {
            return;
        }
        a.function().workers.leave(a.member());
        if (reserved != null && GearmanFunction.job(reserved).function == a.function()) {
            giveBack(Outcome.NOT_SENT);
        }
    }

    void resetAbilities() {
        List.copyOf(abilities.keySet()).forEach(this::cantDo);
    }

    void renamed() {
        location = server.location(connection.clientId());
        abilities.values().forEach(a -> a.function().workers.updateLocation(a.member(), this));
        drain(server.drained(connection.clientId()));
    }

    /** Gets nothing new from now on, or may again; what it holds it may finish. */
    void drain(boolean on) {
        if (drained == on) {
            return;
        }
        drained = on;
        if (on && reserved != null) {
            giveBack(Outcome.NOT_SENT);
        }
        refresh();
        server.feed(this);
    }

    // ---- Asking for work

    void grab(Packet how) {
        disarmCall();
        abandon();
        state = State.ASKING;
        int room = server.config.bounds().slots();
        if (held.size() >= slots && held.size() < room) {
            slots = held.size() + 1;
            loads();
        }
        refresh();
        server.feed(this);
        if (reserved == null || drained || held.size() >= room) {
            state = State.AWAY;
            refresh();
            connection.write(Packet.NO_JOB.response());
            return;
        }
        Attempt attempt = reserved;
        reserved = null;
        state = State.AWAY;
        assign(attempt, how);
    }

    void preSleep() {
        disarmCall();
        abandon();
        state = State.ASLEEP;
        if (reserved != null) {
            wake();
            return;
        }
        refresh();
        server.feed(this);
    }

    /**
     * It asks anew: what it reported an exception for, and no end, has failed. One that may hold a single job
     * has dropped what it still holds; of one that may hold more nobody can tell, and its limit or the
     * deadline ends that.
     */
    private void abandon() {
        if (held.isEmpty()) {
            return;
        }
        for (Run run : new ArrayList<>(held.values())) {
            if (run.excepted) {
                end(run, Outcome.ERROR);
            } else if (server.config.bounds().slots() == 1) {
                end(run, Outcome.LOST);
            }
        }
    }

    /**
     * Tells the functions when it has become free, or no longer is; an attempt may be reserved here before it
     * returns.
     */
    private void refresh() {
        boolean now = isAvailable();
        if (now == announcedAvailable) {
            return;
        }
        announcedAvailable = now;
        for (Ability a : abilities.size() < 2 ? abilities.values() : new ArrayList<>(abilities.values())) {
            if (now && !isAvailable()) {
                return; // it got one on the way, and all have been told
            }
            if (now && a.function().awake()) {
                Attempt waiting = a.function().workers.takePending(a.member());
                if (waiting != null) {
                    reserve(waiting);
                    return;
                }
            }
            a.function().workers.setAvailable(a.member(), now);
        }
        if (now) {
            for (Ability a : abilities.values()) {
                if (isAvailable() && a.function().awake()) {
                    a.function().workers.returnPending();
                }
            }
        }
    }

    private void loads() {
        for (Ability a : abilities.values()) {
            a.function().workers.updateLoad(a.member(), held.size(), slots);
        }
    }

    /** The module has placed an attempt here. */
    void reserve(Attempt attempt) {
        reserved = attempt;
        attempt.exchange = this;
        refresh();
        wake();
    }

    /** The attempt that waits here is not wanted any more. */
    void cancelReservation(Attempt attempt) {
        if (reserved == attempt) {
            reserved = null;
            refresh();
        }
    }

    private void wake() {
        if (state != State.ASLEEP) {
            return; // it is asking just now
        }
        state = State.CALLED;
        connection.write(Packet.NOOP.response());
        call = new Timer() {
            @Override
            protected void fire() { // called and not come: what waits for it never ran
                call = null;
                state = State.AWAY;
                if (reserved != null) {
                    giveBack(Outcome.UNREACHABLE);
                }
            }
        };
        server.loop.timers.set(call, server.loop.now() + server.config.turns().grabTimeoutNs());
    }

    private void disarmCall() {
        if (call != null) {
            server.loop.timers.cancel(call);
            call = null;
        }
    }

    private void giveBack(Outcome outcome) {
        Attempt attempt = reserved;
        reserved = null;
        refresh();
        GearmanFunction f = GearmanFunction.job(attempt).function;
        if (outcome == Outcome.NOT_SENT) {
            f.workers.returnUnsent(attempt);
        } else {
            Member<WorkerSession> member = member(f);
            if (member != null) {
                f.workers.recordOutcome(member, outcome, 0);
            }
            f.workers.attemptEnded(attempt, outcome, null, null);
        }
    }

    // ---- Jobs

    private void assign(Attempt attempt, Packet how) {
        GearmanJob job = GearmanFunction.job(attempt);
        GearmanFunction f = job.function;
        Run run = new Run(attempt, f, server.loop.now());
        String handle = job.handle();
        Run before = held.put(handle, run);
        if (before != null) { // a late one of the same job: what it says from now on is of this one
            disarm(before);
        } else {
            job.runs++;
            f.running += job.runs == 1 ? 1 : 0;
        }
        loads();
        attempt.begun();
        switch (how) {
            case GRAB_JOB_UNIQ -> hand(Packet.JOB_ASSIGN_UNIQ, job, handle, f.name, job.unique);
            case GRAB_JOB_ALL ->
                hand(Packet.JOB_ASSIGN_ALL, job, handle, f.name, job.unique, job.reducer == null ? "" : job.reducer);
            default -> hand(Packet.JOB_ASSIGN, job, handle, f.name);
        }
        Ability a = abilities.get(f.name);
        if (a != null && a.seconds() > 0) {
            run.limit = new Timer() {
                @Override
                protected void fire() { // the worker's own limit: it may still run there
                    run.limit = null;
                    if (!attempt.hasEnded()) {
                        f.workers.recordOutcome(a.member(), Outcome.TIMEOUT, 0);
                        f.workers.attemptEnded(attempt, Outcome.TIMEOUT, null, null);
                    }
                }
            };
            server.loop.timers.set(run.limit, server.loop.now() + a.seconds() * 1_000_000_000L);
        }
        f.engine().attemptStarted(attempt);
    }

    private void hand(Packet kind, GearmanJob job, Object... args) {
        ByteBuffer workload = job.workload;
        if (workload.hasRemaining()) {
            connection.write(kind.responseBefore(workload.remaining(), args), workload.duplicate());
        } else {
            Object[] all = java.util.Arrays.copyOf(args, args.length + 1);
            all[args.length] = new byte[0];
            connection.write(kind.response(all));
        }
    }

    /** Something about a job that it holds. */
    void work(Packet kind, Arguments args) {
        Run run = held.get(args.text(0));
        if (run == null) {
            connection.error("JOB_NOT_FOUND", "this worker holds no such job");
            return;
        }
        GearmanJob job = GearmanFunction.job(run.attempt);
        boolean live = !run.attempt.hasEnded() && !run.attempt.request.finished();
        switch (kind) {
            case WORK_COMPLETE -> {
                if (live && job.result == null) {
                    job.result = args.kept(1);
                }
                end(run, Outcome.SERVED);
            }
            case WORK_FAIL -> end(run, Outcome.ERROR);
            case WORK_STATUS -> {
                if (live && job.speaks(run.attempt)) {
                    job.numerator = args.text(1);
                    job.denominator = args.text(2);
                    job.forward(kind, args.kept(2), args.text(0), job.numerator);
                    progress(run.attempt, job);
                }
            }
            default -> {
                run.excepted |= kind == Packet.WORK_EXCEPTION;
                if (live && job.speaks(run.attempt)) {
                    job.forward(kind, args.kept(1), args.text(0));
                    server.pressure(connection, job);
                }
            }
        }
    }

    private static void progress(Attempt attempt, GearmanJob job) {
        try {
            double share = Double.parseDouble(job.numerator) / Double.parseDouble(job.denominator);
            if (share >= 0 && share <= 1) {
                job.function.engine().attemptProgressed(attempt, share);
            }
        } catch (NumberFormatException e) {
            // by the protocol it is for the clients, whatever it says
        }
    }

    /** The worker has ended what it held; it is free once it asks again. */
    private void end(Run run, Outcome outcome) {
        forget(run);
        Member<WorkerSession> member = member(run.function);
        if (member != null && !run.attempt.hasEnded()) {
            run.function.workers.recordOutcome(member, outcome, server.loop.now() - run.startedAt);
        }
        run.function.workers.attemptEnded(run.attempt, outcome, null, member);
    }

    private void forget(Run run) {
        disarm(run);
        GearmanJob job = GearmanFunction.job(run.attempt);
        held.remove(job.handle());
        job.runs--;
        run.function.running -= job.runs == 0 ? 1 : 0;
        loads();
    }

    private void disarm(Run run) {
        if (run.limit != null) {
            server.loop.timers.cancel(run.limit);
            run.limit = null;
        }
    }

    /** The connection is gone, and with it all that it held. */
    void lost() {
        disarmCall();
        resetAbilities();
        for (Run run : new ArrayList<>(held.values())) { // each may have run to any point
            forget(run);
            run.function.workers.attemptEnded(run.attempt, Outcome.LOST, null, null);
        }
        if (reserved != null) {
            giveBack(Outcome.NOT_SENT);
        }
    }
}
