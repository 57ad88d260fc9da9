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
 * The worker side of a connection: its abilities, the jobs that it holds, and whether it is available. A job is
 * assigned only in answer to a grab; a sleeping worker is first woken with NOOP. A worker that grabs while it holds
 * jobs shows that it can run more of them at once, so its slot count grows.
 */
final class WorkerSession {
    /** State of the worker in the protocol's grab and sleep cycle. */
    enum State {
        /** It runs a job, or has sent nothing since it received NO_JOB. */
        BUSY,
        /** Its grab is being answered. */
        GRABBING,
        /** It has sent PRE_SLEEP and may be woken with NOOP. */
        ASLEEP,
        /** It has been sent NOOP and has not grabbed yet. */
        WOKEN
    }

    /** A function that the worker can run; {@code seconds} is the time limit of a job, 0 for none. */
    private record Ability(GearmanFunction function, Member<WorkerSession> member, int seconds) {}

    final long number;
    final GearmanConnection connection;
    private final GearmanServer server;
    private final Map<String, Ability> abilities = new LinkedHashMap<>();
    private final Map<String, HeldJob> heldJobs = new LinkedHashMap<>();
    private State state = State.BUSY;
    private Location location;
    private Attempt reservedAttempt;
    private boolean drained;
    private boolean announcedAvailable;
    private int slots = 1;

    private final Timer wakeUpTimer = new Timer() {
        @Override
        protected void fire() { // no grab after NOOP: the reserved attempt has not run
            state = State.BUSY;
            if (reservedAttempt != null) {
                returnReserved(Outcome.UNREACHABLE);
            }
        }
    };

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

    /** The number of jobs that the worker has shown it can run at once. */
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

    /** Whether a job may be assigned or reserved for the worker now. */
    boolean isAvailable() {
        return (state == State.GRABBING || state == State.ASLEEP)
                && reservedAttempt == null
                && !drained
                && heldJobs.size() < server.config.bounds().slots()
                && !connection.closed();
    }

    void canDo(String name, int seconds) {
        Ability known = abilities.get(name);
        if (known != null) { // a repeated CAN_DO only updates the time limit
            abilities.put(name, new Ability(known.function(), known.member(), seconds));
            return;
        }
        GearmanFunction function = server.function(name, connection, null);
        if (function == null) {
            return; // the error has been sent
        }
        Member<WorkerSession> member = function.workers.groups.join(this, location);
        abilities.put(name, new Ability(function, member, seconds));
        function.workers.joined(member, this);
    }

    /** Removes an ability. An attempt reserved for it returns to the dispatcher, and no new jobs are assigned. */
    void cantDo(String name) {
        Ability ability = abilities.remove(name);
        if (ability == null) {
            return;
        }
        ability.function().workers.leave(ability.member());
        if (reservedAttempt != null && GearmanFunction.job(reservedAttempt).function == ability.function()) {
            returnReserved(Outcome.NOT_SENT);
        }
    }

    void resetAbilities() {
        List.copyOf(abilities.keySet()).forEach(this::cantDo);
    }

    void clientIdChanged() {
        location = server.location(connection.clientId());
        abilities.values().forEach(ability -> ability.function().workers.updateLocation(ability.member(), this));
        drain(server.drained(connection.clientId()));
    }

    /** Starts or ends draining. A drained worker gets no new jobs and may finish those that it holds. */
    void drain(boolean drain) {
        if (drained == drain) {
            return;
        }
        drained = drain;
        if (drain && reservedAttempt != null) {
            returnReserved(Outcome.NOT_SENT);
        }
        announceAvailability();
        server.feed(this);
    }

    void grabJob(Packet kind) {
        cancelWakeUp();
        endAbandonedJobs();
        state = State.GRABBING;
        int maxJobs = server.config.bounds().slots();
        if (heldJobs.size() >= slots && heldJobs.size() < maxJobs) {
            slots = heldJobs.size() + 1;
            reportLoad();
        }
        Attempt attempt = beginReserved();
        state = State.BUSY;
        if (attempt == null) {
            announceAvailability();
            connection.write(Packet.NO_JOB.response());
        } else {
            assign(attempt, kind);
        }
    }

    /**
     * Begins the attempt that is reserved for the worker, or that it is given now. Much time may have passed since the
     * dispatcher chose the worker, so the engine decides whether the attempt may still begin; if not, the worker may be
     * given another one.
     *
     * @return the attempt that has begun, or null if there is none for the worker
     */
    private Attempt beginReserved() {
        while (true) {
            announceAvailability();
            server.feed(this);
            if (reservedAttempt == null
                    || drained
                    || heldJobs.size() >= server.config.bounds().slots()) {
                return null;
            }
            Attempt attempt = reservedAttempt;
            if (GearmanFunction.job(attempt).function.engine().tryBeginReserved(attempt)) {
                reservedAttempt = null;
                return attempt;
            }
            cancelReservation(attempt);
        }
    }

    void preSleep() {
        cancelWakeUp();
        endAbandonedJobs();
        state = State.ASLEEP;
        if (reservedAttempt != null) {
            wakeUp();
            return;
        }
        announceAvailability();
        server.feed(this);
    }

    /**
     * Ends held jobs that the worker has given up, which a new grab or PRE_SLEEP implies. A job with an exception
     * and no final packet has failed. If workers have a single slot, any job still held is lost. With more slots
     * the server cannot tell, and the time limit or the deadline ends such a job.
     */
    private void endAbandonedJobs() {
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
     * Informs the functions if the worker's availability has changed. An attempt may be reserved for the worker
     * before this method returns.
     */
    private void announceAvailability() {
        boolean available = isAvailable();
        if (available == announcedAvailable) {
            return;
        }
        announcedAvailable = available;
        for (Ability ability : abilities.size() < 2 ? abilities.values() : new ArrayList<>(abilities.values())) {
            if (available && !isAvailable()) {
                return; // an attempt was reserved meanwhile, and that call has informed all functions
            }
            if (available && ability.function().awake()) {
                Attempt waiting = ability.function().workers.takePending(ability.member());
                if (waiting != null) {
                    reserve(waiting);
                    return;
                }
            }
            ability.function().workers.setAvailable(ability.member(), available);
        }
        if (available) {
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

    /** Reserves an attempt that the dispatcher has placed on this worker, and wakes the worker if it sleeps. */
    void reserve(Attempt attempt) {
        reservedAttempt = attempt;
        attempt.exchange = this;
        announceAvailability();
        wakeUp();
    }

    /** Removes a reserved attempt that has been cancelled. */
    void cancelReservation(Attempt attempt) {
        if (reservedAttempt == attempt) {
            reservedAttempt = null;
            announceAvailability();
        }
    }

    private void wakeUp() {
        if (state != State.ASLEEP) {
            return; // it is grabbing already
        }
        state = State.WOKEN;
        connection.write(Packet.NOOP.response());
        server.loop.timers.set(
                wakeUpTimer, server.loop.now() + server.config.turns().grabTimeoutNs());
    }

    private void cancelWakeUp() {
        server.loop.timers.cancel(wakeUpTimer);
    }

    private void returnReserved(Outcome outcome) {
        Attempt attempt = reservedAttempt;
        reservedAttempt = null;
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

    private void assign(Attempt attempt, Packet kind) {
        GearmanJob job = GearmanFunction.job(attempt);
        GearmanFunction function = job.function;
        HeldJob heldJob = new HeldJob(attempt, function, server.loop.now());
        String handle = job.handle();
        HeldJob previous = heldJobs.put(handle, heldJob);
        if (previous != null) { // an earlier attempt at the job; later packets count for this one
            previous.cancelTimeLimit();
        } else {
            function.runStarted(job);
        }
        reportLoad();
        job.assignTo(connection, kind);
        Ability ability = abilities.get(function.name);
        if (ability != null && ability.seconds() > 0) {
            heldJob.startTimeLimit(ability.member(), ability.seconds() * 1_000_000_000L);
        }
        function.engine().attemptStarted(attempt);
    }

    /** Handles a packet about a job that the worker holds: data, status, or its end. */
    void work(Packet kind, Arguments args) {
        HeldJob heldJob = heldJobs.get(args.text(0));
        if (heldJob == null) {
            connection.error("JOB_NOT_FOUND", "this worker holds no such job");
            return;
        }
        GearmanJob job = GearmanFunction.job(heldJob.attempt);
        boolean current = !heldJob.attempt.hasEnded() && !heldJob.attempt.request.finished();
        List<GearmanConnection> receivers = job.clients(); // the end of the job forgets them
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
                    job.recordProgress(args.text(1), args.text(2));
                    job.forward(kind, args.retained(2), args.text(0), args.text(1));
                    heldJob.reportProgress();
                }
            }
            default -> {
                heldJob.exceptionReported |= kind == Packet.WORK_EXCEPTION;
                if (current && job.forwardsFor(heldJob.attempt)) {
                    job.forward(kind, args.retained(1), args.text(0));
                }
            }
        }
        boolean ends = kind == Packet.WORK_COMPLETE || kind == Packet.WORK_FAIL;
        server.outputLimit.throttle(connection, receivers, ends ? Long.MAX_VALUE : GearmanConnection.THROTTLE_BYTES);
    }

    /** Ends a held job; the worker becomes available with its next grab or PRE_SLEEP. */
    private void end(HeldJob heldJob, Outcome outcome) {
        removeHeldJob(heldJob);
        Member<WorkerSession> member = member(heldJob.function);
        if (member != null && !heldJob.attempt.hasEnded()) {
            heldJob.function.workers.recordOutcome(member, outcome, server.loop.now() - heldJob.startedAtNs);
        }
        heldJob.function.workers.attemptEnded(heldJob.attempt, outcome, null, member);
        server.abandonIfUnwanted(GearmanFunction.job(heldJob.attempt));
    }

    private void removeHeldJob(HeldJob heldJob) {
        heldJob.cancelTimeLimit();
        GearmanJob job = GearmanFunction.job(heldJob.attempt);
        heldJobs.remove(job.handle());
        heldJob.function.runEnded(job);
        reportLoad();
    }

    /** Ends all jobs that the worker held, and returns the reserved attempt, after the connection is lost. */
    void connectionLost() {
        cancelWakeUp();
        resetAbilities();
        for (HeldJob heldJob : new ArrayList<>(heldJobs.values())) { // each may have run up to any point
            end(heldJob, Outcome.LOST);
        }
        if (reservedAttempt != null) {
            returnReserved(Outcome.NOT_SENT);
        }
    }
}
