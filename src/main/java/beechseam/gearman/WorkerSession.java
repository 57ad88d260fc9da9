package beechseam.gearman;

import beechseam.core.Attempt;
import beechseam.core.Timer;
import beechseam.dispatch.Outcome;
import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.queue.WorkerGroups.Location;
import beechseam.gearman.queue.WorkerGroups.Member;
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
        BUSY,
        /** Its request for a job is being answered. */
        GRABBING,
        /** It has said PRE_SLEEP and may be called with NOOP. */
        ASLEEP,
        /** It has been called and has not asked yet. */
        WOKEN
    }

    /** A function that it can do; {@code seconds} that a job may take, 0 for no limit. */
    private record Ability(GearmanFunction function, Member<WorkerSession> member, int seconds) {}

    final long number;
    final GearmanConnection connection;
    private final GearmanServer server;
    private final Map<String, Ability> abilities = new LinkedHashMap<>();
    private final Map<String, HeldJob> heldJobs = new LinkedHashMap<>();
    private State state = State.BUSY;
    private Location location;
    private Attempt reserved;
    private Timer wakeUpTimer;
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
        return heldJobs.size();
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

    boolean can(GearmanFunction function) {
        return abilities.containsKey(function.name);
    }

    Member<WorkerSession> member(GearmanFunction function) {
        Ability ability = abilities.get(function.name);
        return ability == null ? null : ability.member();
    }

    /** Whether it may be given a job now. */
    boolean isAvailable() {
        return (state == State.GRABBING || state == State.ASLEEP)
                && reserved == null
                && !drained
                && heldJobs.size() < server.config.bounds().slots()
                && !connection.closed();
    }

    void canDo(String name, int seconds) {
        Ability known = abilities.get(name);
        if (known != null) { // said again: only the limit is new
            abilities.put(name, new Ability(known.function(), known.member(), seconds));
            return;
        }
        GearmanFunction function = server.function(name, connection);
        if (function == null) {
            return; // it has been told why
        }
        Member<WorkerSession> member = function.workers.groups.join(this, location);
        abilities.put(name, new Ability(function, member, seconds));
        function.workers.joined(member, this);
    }

    /** Withdrawn: what waits for it goes elsewhere, and nothing new comes. */
    void cantDo(String name) {
        Ability ability = abilities.remove(name);
        if (ability == null) {
            return;
        }
        ability.function().workers.leave(ability.member());
        if (reserved != null && GearmanFunction.job(reserved).function == ability.function()) {
            returnReserved(Outcome.NOT_SENT);
        }
    }

    void resetAbilities() {
        List.copyOf(abilities.keySet()).forEach(this::cantDo);
    }

    void renamed() {
        location = server.location(connection.clientId());
        abilities.values().forEach(ability -> ability.function().workers.updateLocation(ability.member(), this));
        drain(server.drained(connection.clientId()));
    }

    /** Gets nothing new from now on, or may again; what it holds it may finish. */
    void drain(boolean drain) {
        if (drained == drain) {
            return;
        }
        drained = drain;
        if (drain && reserved != null) {
            returnReserved(Outcome.NOT_SENT);
        }
        announceAvailability();
        server.feed(this);
    }

    void grabJob(Packet how) {
        cancelWakeUp();
        endAbandoned();
        state = State.GRABBING;
        int maxJobs = server.config.bounds().slots();
        if (heldJobs.size() >= slots && heldJobs.size() < maxJobs) {
            slots = heldJobs.size() + 1;
            reportLoad();
        }
        announceAvailability();
        server.feed(this);
        if (reserved == null || drained || heldJobs.size() >= maxJobs) {
            state = State.BUSY;
            announceAvailability();
            connection.write(Packet.NO_JOB.response());
            return;
        }
        Attempt attempt = reserved;
        reserved = null;
        state = State.BUSY;
        assign(attempt, how);
    }

    void preSleep() {
        cancelWakeUp();
        endAbandoned();
        state = State.ASLEEP;
        if (reserved != null) {
            wakeUp();
            return;
        }
        announceAvailability();
        server.feed(this);
    }

    /**
     * It asks anew: what it reported an exception for, and no end, has failed. One that may hold a single job
     * has dropped what it still holds; of one that may hold more nobody can tell, and its limit or the
     * deadline ends that.
     */
    private void endAbandoned() {
        if (heldJobs.isEmpty()) {
            return;
        }
        for (HeldJob heldJob : new ArrayList<>(heldJobs.values())) {
            if (heldJob.exceptionReported) {
                end(heldJob, Outcome.ERROR);
            } else if (server.config.bounds().slots() == 1) {
                end(heldJob, Outcome.LOST);
            }
        }
    }

    /**
     * Tells the functions when it has become free, or no longer is; an attempt may be reserved here before it
     * returns.
     */
    private void announceAvailability() {
        boolean now = isAvailable();
        if (now == announcedAvailable) {
            return;
        }
        announcedAvailable = now;
        for (Ability ability : abilities.size() < 2 ? abilities.values() : new ArrayList<>(abilities.values())) {
            if (now && !isAvailable()) {
                return; // it got one on the way, and all have been told
            }
            if (now && ability.function().awake()) {
                Attempt waiting = ability.function().workers.takePending(ability.member());
                if (waiting != null) {
                    reserve(waiting);
                    return;
                }
            }
            ability.function().workers.setAvailable(ability.member(), now);
        }
        if (now) {
            for (Ability ability : abilities.values()) {
                if (isAvailable() && ability.function().awake()) {
                    ability.function().workers.returnPending();
                }
            }
        }
    }

    private void reportLoad() {
        for (Ability ability : abilities.values()) {
            ability.function().workers.updateLoad(ability.member(), heldJobs.size(), slots);
        }
    }

    /** The module has placed an attempt here. */
    void reserve(Attempt attempt) {
        reserved = attempt;
        attempt.exchange = this;
        announceAvailability();
        wakeUp();
    }

    /** The attempt that waits here is not wanted any more. */
    void cancelReservation(Attempt attempt) {
        if (reserved == attempt) {
            reserved = null;
            announceAvailability();
        }
    }

    private void wakeUp() {
        if (state != State.ASLEEP) {
            return; // it is asking just now
        }
        state = State.WOKEN;
        connection.write(Packet.NOOP.response());
        wakeUpTimer = new Timer() {
            @Override
            protected void fire() { // called and not come: what waits for it never ran
                wakeUpTimer = null;
                state = State.BUSY;
                if (reserved != null) {
                    returnReserved(Outcome.UNREACHABLE);
                }
            }
        };
        server.loop.timers.set(
                wakeUpTimer, server.loop.now() + server.config.turns().grabTimeoutNs());
    }

    private void cancelWakeUp() {
        if (wakeUpTimer != null) {
            server.loop.timers.cancel(wakeUpTimer);
            wakeUpTimer = null;
        }
    }

    private void returnReserved(Outcome outcome) {
        Attempt attempt = reserved;
        reserved = null;
        announceAvailability();
        GearmanFunction function = GearmanFunction.job(attempt).function;
        if (outcome == Outcome.NOT_SENT) {
            function.workers.returnUnsent(attempt);
        } else {
            Member<WorkerSession> member = member(function);
            if (member != null) {
                function.workers.recordOutcome(member, outcome, 0);
            }
            function.workers.attemptEnded(attempt, outcome, null, null);
        }
    }

    private void assign(Attempt attempt, Packet how) {
        GearmanJob job = GearmanFunction.job(attempt);
        GearmanFunction function = job.function;
        HeldJob heldJob = new HeldJob(attempt, function, server.loop.now());
        String handle = job.handle();
        HeldJob previous = heldJobs.put(handle, heldJob);
        if (previous != null) { // a late one of the same job: what it says from now on is of this one
            previous.cancelTimeLimit();
        } else {
            job.runs++;
            function.running += job.runs == 1 ? 1 : 0;
        }
        reportLoad();
        attempt.begun();
        switch (how) {
            case GRAB_JOB_UNIQ -> job.assignTo(connection, Packet.JOB_ASSIGN_UNIQ, handle, function.name, job.unique);
            case GRAB_JOB_ALL ->
                job.assignTo(
                        connection,
                        Packet.JOB_ASSIGN_ALL,
                        handle,
                        function.name,
                        job.unique,
                        job.reducer == null ? "" : job.reducer);
            default -> job.assignTo(connection, Packet.JOB_ASSIGN, handle, function.name);
        }
        Ability ability = abilities.get(function.name);
        if (ability != null && ability.seconds() > 0) {
            heldJob.startTimeLimit(ability.member(), ability.seconds() * 1_000_000_000L);
        }
        function.engine().attemptStarted(attempt);
    }

    /** Something about a job that it holds. */
    void work(Packet kind, Arguments args) {
        HeldJob heldJob = heldJobs.get(args.text(0));
        if (heldJob == null) {
            connection.error("JOB_NOT_FOUND", "this worker holds no such job");
            return;
        }
        GearmanJob job = GearmanFunction.job(heldJob.attempt);
        boolean current = !heldJob.attempt.hasEnded() && !heldJob.attempt.request.finished();
        switch (kind) {
            case WORK_COMPLETE -> {
                if (current && job.result == null) {
                    job.result = args.retained(1);
                }
                end(heldJob, Outcome.SERVED);
            }
            case WORK_FAIL -> end(heldJob, Outcome.ERROR);
            case WORK_STATUS -> {
                if (current && job.forwardsFor(heldJob.attempt)) {
                    job.numerator = args.text(1);
                    job.denominator = args.text(2);
                    job.forward(kind, args.retained(2), args.text(0), job.numerator);
                    heldJob.reportProgress();
                }
            }
            default -> {
                heldJob.exceptionReported |= kind == Packet.WORK_EXCEPTION;
                if (current && job.forwardsFor(heldJob.attempt)) {
                    job.forward(kind, args.retained(1), args.text(0));
                    server.throttleForClients(connection, job);
                }
            }
        }
    }

    /** The worker has ended what it held; it is free once it asks again. */
    private void end(HeldJob heldJob, Outcome outcome) {
        forget(heldJob);
        Member<WorkerSession> member = member(heldJob.function);
        if (member != null && !heldJob.attempt.hasEnded()) {
            heldJob.function.workers.recordOutcome(member, outcome, server.loop.now() - heldJob.startedAtNs);
        }
        heldJob.function.workers.attemptEnded(heldJob.attempt, outcome, null, member);
    }

    private void forget(HeldJob heldJob) {
        heldJob.cancelTimeLimit();
        GearmanJob job = GearmanFunction.job(heldJob.attempt);
        heldJobs.remove(job.handle());
        job.runs--;
        heldJob.function.running -= job.runs == 0 ? 1 : 0;
        reportLoad();
    }

    /** The connection is gone, and with it all jobs that it held. */
    void lost() {
        cancelWakeUp();
        resetAbilities();
        for (HeldJob heldJob : new ArrayList<>(heldJobs.values())) { // each may have run to any point
            forget(heldJob);
            heldJob.function.workers.attemptEnded(heldJob.attempt, Outcome.LOST, null, null);
        }
        if (reserved != null) {
            returnReserved(Outcome.NOT_SENT);
        }
    }
}
