package beechseam.gearman;

import beechseam.config.GearmanConfig.Mode;
import beechseam.dispatch.Idempotency;
import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.queue.Admission;
import beechseam.gearman.queue.Admission.Rejection;
import beechseam.gearman.queue.Schedule;
import beechseam.gearman.queue.Submitter;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The client side of a connection. It submits jobs, answers status requests, and tracks the jobs that the client
 * waits for. The queues are fair among these sessions.
 */
final class ClientSession {
    /** Index of the unique key among the arguments of a submission. */
    private static final int UNIQUE_KEY = 1;
    /** Index of the reducer's name among the arguments of a reduce job. */
    private static final int REDUCER = 2;

    private static final int MAX_NAME_CHARS = 512;
    private static final int MAX_UNIQUE_BYTES = 1024;
    /** A due time further ahead is treated as an error, such as milliseconds in place of seconds. */
    private static final long MAX_AHEAD_S = 10L * 365 * 24 * 3600;

    private final GearmanServer server;
    private final GearmanConnection connection;
    /** Jobs whose final answer this client waits for. */
    private final Set<GearmanJob> awaitedJobs = new LinkedHashSet<>();

    private final Submitter submitter = new Submitter();

    private boolean exceptionsEnabled;

    ClientSession(GearmanServer server, GearmanConnection connection) {
        this.server = server;
        this.connection = connection;
    }

    Submitter submitter() {
        return submitter;
    }

    boolean wantsExceptions() {
        return exceptionsEnabled;
    }

    void submit(Packet kind, Arguments args) {
        switch (kind) {
            case SUBMIT_JOB -> submit(args, 2, Mode.NORMAL, null, 0);
            case SUBMIT_JOB_HIGH -> submit(args, 2, Mode.HIGH, null, 0);
            case SUBMIT_JOB_LOW -> submit(args, 2, Mode.LOW, null, 0);
            case SUBMIT_JOB_BG -> submit(args, 2, Mode.BACKGROUND, null, 0);
            case SUBMIT_JOB_HIGH_BG -> submit(args, 2, Mode.HIGH_BACKGROUND, null, 0);
            case SUBMIT_JOB_LOW_BG -> submit(args, 2, Mode.LOW_BACKGROUND, null, 0);
            case SUBMIT_REDUCE_JOB -> submit(args, 3, Mode.NORMAL, args.text(REDUCER), 0);
            case SUBMIT_REDUCE_JOB_BACKGROUND -> submit(args, 3, Mode.BACKGROUND, args.text(REDUCER), 0);
            case SUBMIT_JOB_EPOCH -> {
                long at = epoch(args.text(2));
                if (at > 0) {
                    submit(args, 3, Mode.BACKGROUND, null, at);
                }
            }
            case SUBMIT_JOB_SCHED -> {
                long at = schedule(args);
                if (at > 0) {
                    submit(args, 7, Mode.BACKGROUND, null, at);
                }
            }
            default -> throw new IllegalArgumentException(kind.name());
        }
    }

    /** Parses seconds since 1970 into nanoseconds; returns 0 after sending an error if they are invalid. */
    private long epoch(String text) {
        long now = server.loop.now();
        try {
            long seconds = Long.parseLong(text);
            if (seconds >= 0 && seconds <= now / 1_000_000_000L + MAX_AHEAD_S) {
                return Math.max(1, seconds * 1_000_000_000L);
            }
        } catch (NumberFormatException e) {
            // reported below
        }
        connection.error("BAD_ARGUMENTS", "SUBMIT_JOB_EPOCH needs whole seconds since 1970, at most ten years ahead");
        return 0;
    }

    private long schedule(Arguments args) {
        try {
            long now = server.loop.now();
            Instant instant = Instant.ofEpochSecond(now / 1_000_000_000L, now % 1_000_000_000L);
            ZonedDateTime at = Schedule.nextMatch(
                    ZonedDateTime.ofInstant(instant, ZoneId.systemDefault()),
                    args.text(2),
                    args.text(3),
                    args.text(4),
                    args.text(5),
                    args.text(6));
            return at.toEpochSecond() * 1_000_000_000L;
        } catch (IllegalArgumentException e) {
            connection.error("BAD_ARGUMENTS", "SUBMIT_JOB_SCHED: " + e.getMessage());
            return 0;
        }
    }

    /** Whether a function name can be used in a line of an admin answer. */
    static boolean isValidName(String name) {
        return !name.isEmpty()
                && name.length() <= MAX_NAME_CHARS
                && name.chars().noneMatch(c -> c < ' ' || c == 127);
    }

    /**
     * Submits a job, or joins an alive one with the same unique key.
     *
     * @param workload index of the workload among the arguments
     * @param dueNs    due time in nanoseconds of the host's clock; 0 for now
     */
    private void submit(Arguments args, int workload, Mode mode, String reducer, long dueNs) {
        GearmanFunction function = functionFor(args, mode);
        if (function == null) {
            return; // the error has been sent
        }
        String unique = args.text(UNIQUE_KEY);
        GearmanJob job = server.jobs.byKey(Jobs.key(unique, args.view(workload)), function);
        if (job != null && job.hasEnded()) {
            connection.error("KEY_IN_USE", "a worker still runs an earlier job with this key, which has its answer");
            return;
        }
        boolean created = job == null;
        if (created) {
            job = create(args, workload, function, unique, mode, reducer);
        }
        boolean joins = job != null && !mode.background && !job.isAwaitedBy(connection);
        if (job == null || joins && !created && !reserveToJoin(job)) {
            return; // the error has been sent
        }
        job.background |= mode.background;
        connection.write(Packet.JOB_CREATED.response(job.handle()));
        // The write may have closed the connection, and all jobs that the client waited for are then abandoned.
        if (joins && !connection.closed()) {
            job.join(connection);
            awaitedJobs.add(job);
        }
        if (created && !job.background && job.clientCount() == 0) {
            server.finished(job, Jobs.End.LEFT);
        } else if (created && dueNs > server.loop.now()) {
            function.delay(job, dueNs);
        } else if (created) {
            function.enqueue(job);
            function.feed();
        }
    }

    /** Reserves memory for this client to wait for a job; false, after sending an error, if there is none. */
    private boolean reserveToJoin(GearmanJob job) {
        boolean reserved = server.jobs.reserveForClient(job);
        if (!reserved) {
            Rejection rejection = Admission.memoryLimit(job.submitter, server.budget);
            connection.error(rejection.code(), rejection.reason());
        }
        return reserved;
    }

    /** The function of a submission; null, after sending an error, if the submission is invalid. */
    private GearmanFunction functionFor(Arguments args, Mode mode) {
        String name = args.text(0);
        if (!isValidName(name) || args.length(UNIQUE_KEY) > MAX_UNIQUE_BYTES) {
            connection.error(
                    "BAD_ARGUMENTS",
                    "a function's name has 1 to " + MAX_NAME_CHARS
                            + " characters and none that controls, a key at most " + MAX_UNIQUE_BYTES + " bytes");
            return null;
        }
        GearmanFunction function = server.function(name, connection, submitter);
        if (function != null
                && function.jobClass(mode).idempotency() == Idempotency.KEYED
                && args.length(UNIQUE_KEY) == 0) {
            connection.error("NO_KEY", "jobs of this function need a unique key");
            return null;
        }
        return function;
    }

    /** Creates a job; returns null, after sending an error, if a limit rejects it. */
    private GearmanJob create(
            Arguments args, int workload, GearmanFunction function, String unique, Mode mode, String reducer) {
        if (server.stopping()) {
            connection.error("QUEUE_FULL", "the server is stopping");
            return null;
        }
        int bytes = JobMemory.ofJob(args, UNIQUE_KEY, workload)
                + JobMemory.ofText(reducer)
                + (mode.background ? 0 : JobMemory.WAITING_CLIENT_BYTES);
        Rejection rejection = server.admission.check(
                server.jobs.size(), submitter, function.queues, mode.ordinal(), bytes, server.budget);
        if (rejection != null) {
            connection.error(rejection.code(), rejection.reason());
            return null;
        }
        ByteBuffer retained = args.retained(workload);
        Object key = Jobs.key(unique, retained);
        GearmanJob job = new GearmanJob(
                server.jobs.nextNumber(),
                function,
                new GearmanJob.Submission(unique, key, retained, mode, reducer, submitter, bytes));
        server.jobs.add(job);
        submitter.jobOpened();
        function.alive++;
        return job;
    }

    void status(String name, boolean unique) {
        GearmanJob job = unique ? server.jobs.byUnique(name) : server.jobs.byHandle(name);
        Object known = job == null ? "0" : "1";
        Object running = job != null && job.running() ? "1" : "0";
        Object numerator = job == null ? "0" : job.numerator();
        Object denominator = job == null ? "0" : job.denominator();
        connection.write(
                unique
                        ? Packet.STATUS_RES_UNIQUE.response(
                                name, known, running, numerator, denominator, job == null ? 0 : job.clientCount())
                        : Packet.STATUS_RES.response(name, known, running, numerator, denominator));
    }

    void option(String name) {
        if (name.equalsIgnoreCase("exceptions")) {
            exceptionsEnabled = true;
            connection.write(Packet.OPTION_RES.response(name));
        } else {
            connection.error("UNKNOWN_OPTION", "the only option is 'exceptions'");
        }
    }

    /** Removes an ended job from those that this client waits for. */
    void jobEnded(GearmanJob job) {
        awaitedJobs.remove(job);
    }

    /**
     * Removes this client from its jobs, and abandons each foreground job that no other client waits for. A job that a
     * worker runs goes on, so that the client can join it again by its key.
     */
    void connectionLost() {
        for (GearmanJob job : List.copyOf(awaitedJobs)) {
            server.jobs.leave(job, connection);
            server.abandonIfUnwanted(job);
        }
        awaitedJobs.clear();
    }
}
