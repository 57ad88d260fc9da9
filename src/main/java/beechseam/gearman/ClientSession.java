package beechseam.gearman;

import beechseam.config.GearmanConfig.Mode;
import beechseam.dispatch.Idempotency;
import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.queue.Admission.Rejection;
import beechseam.gearman.queue.Schedule;
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
    private static final int MAX_NAME_CHARS = 512;
    private static final int MAX_UNIQUE_BYTES = 1024;
    /** A due time further ahead is treated as an error, such as milliseconds in place of seconds. */
    private static final long MAX_AHEAD_S = 10L * 365 * 24 * 3600;

    private final GearmanServer server;
    private final GearmanConnection connection;
    /** Jobs whose final answer this client waits for. */
    private final Set<GearmanJob> awaitedJobs = new LinkedHashSet<>();
    /** Number of jobs that this client submitted and that have not ended, in the foreground or background. */
    int openJobs;

    private boolean exceptionsEnabled;

    ClientSession(GearmanServer server, GearmanConnection connection) {
        this.server = server;
        this.connection = connection;
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
            case SUBMIT_REDUCE_JOB -> submit(args, 3, Mode.NORMAL, args.text(2), 0);
            case SUBMIT_REDUCE_JOB_BACKGROUND -> submit(args, 3, Mode.BACKGROUND, args.text(2), 0);
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
        String unique = args.text(1);
        Object key = unique.equals("-") ? Jobs.key(unique, args.bytes(workload)) : Jobs.key(unique, null);
        GearmanJob job = server.jobs.byKey(key, function);
        boolean created = job == null;
        if (created) {
            job = create(args, workload, function, key, mode, reducer);
            if (job == null) {
                return;
            }
        }
        job.background |= mode.background;
        connection.write(Packet.JOB_CREATED.response(job.handle()));
        // The write may have closed the connection, and all jobs that the client waited for are then abandoned.
        if (!mode.background && !connection.closed() && job.join(connection)) {
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

    /** The function of a submission; null, after sending an error, if the submission is invalid. */
    private GearmanFunction functionFor(Arguments args, Mode mode) {
        String name = args.text(0);
        if (!isValidName(name) || args.length(1) > MAX_UNIQUE_BYTES) {
            connection.error(
                    "BAD_ARGUMENTS",
                    "a function's name has 1 to " + MAX_NAME_CHARS
                            + " characters and none that controls, a key at most " + MAX_UNIQUE_BYTES + " bytes");
            return null;
        }
        GearmanFunction function = server.function(name, connection);
        if (function != null
                && function.jobClass(mode).idempotency() == Idempotency.KEYED
                && args.text(1).isEmpty()) {
            connection.error("NO_KEY", "jobs of this function need a unique key");
            return null;
        }
        return function;
    }

    /** Creates a job; returns null, after sending an error, if a limit rejects it. */
    private GearmanJob create(
            Arguments args, int workload, GearmanFunction function, Object key, Mode mode, String reducer) {
        if (server.stopping()) {
            connection.error("QUEUE_FULL", "the server is stopping");
            return null;
        }
        // The array of a long packet is kept and holds workload and key; the overhead covers the rest of the job.
        int charge = Jobs.OVERHEAD_BYTES + args.length(workload) + args.length(1);
        Rejection rejection = server.admission.check(
                server.jobs.size(), openJobs, function.queues, mode.ordinal(), charge, server.budget);
        if (rejection != null) {
            connection.error(rejection.code(), rejection.reason());
            return null;
        }
        GearmanJob job = new GearmanJob(
                server.jobs.nextNumber(),
                function,
                new GearmanJob.Submission(args.text(1), key, args.retained(workload), mode, reducer, this, charge));
        server.jobs.add(job);
        openJobs++;
        function.alive++;
        return job;
    }

    void status(String name, boolean unique) {
        GearmanJob job = unique ? server.jobs.byUnique(name) : server.jobs.byHandle(name);
        Object known = job == null ? "0" : "1";
        Object running = job != null && job.running() ? "1" : "0";
        Object numerator = job == null ? "0" : job.numerator;
        Object denominator = job == null ? "0" : job.denominator;
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

    /** Removes this client from its jobs, and abandons each foreground job that no other client waits for. */
    void connectionLost() {
        for (GearmanJob job : List.copyOf(awaitedJobs)) {
            job.leave(connection);
            if (job.clientCount() == 0 && !job.background) {
                server.abandon(job, Jobs.End.LEFT);
            }
        }
        awaitedJobs.clear();
    }
}
