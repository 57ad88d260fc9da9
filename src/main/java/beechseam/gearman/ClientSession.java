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
 * The client's side of a connection: what it submits, asks and waits for. Queues are fair among such sessions.
 */
final class ClientSession {
    private static final int MAX_NAME_CHARS = 512;
    private static final int MAX_UNIQUE_BYTES = 1024;
    /** Epochs further off are a mistake, such as milliseconds in place of seconds. */
    private static final long MAX_AHEAD_S = 10L * 365 * 24 * 3600;

    private final GearmanServer server;
    private final GearmanConnection connection;
    /** Jobs whose end it is owed. */
    private final Set<GearmanJob> waitsFor = new LinkedHashSet<>();
    /** Jobs that it submitted and that have not ended, waited for or not. */
    int open;

    private boolean exceptions;

    ClientSession(GearmanServer server, GearmanConnection connection) {
        this.server = server;
        this.connection = connection;
    }

    boolean wantsExceptions() {
        return exceptions;
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

    /** The host's clock at that second; 0 where it is none, and the client has been told. */
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

    /** Whether a name can stand in a line of an admin answer. */
    static boolean isValidName(String name) {
        return !name.isEmpty()
                && name.length() <= MAX_NAME_CHARS
                && name.chars().noneMatch(c -> c < ' ' || c == 127);
    }

    /**
     * @param workload index of the workload among the arguments
     * @param dueNs    when it is due, by the host's clock; 0 for now
     */
    private void submit(Arguments args, int workload, Mode mode, String reducer, long dueNs) {
        GearmanFunction function = functionFor(args, mode);
        if (function == null) {
            return; // the client has been told why
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
        // That write may have found the client gone, and all that it waited for has been given up by then.
        if (!mode.background && !connection.closed() && job.join(connection)) {
            waitsFor.add(job);
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

    /** The function of a submission that is well formed; null otherwise, and the client has been told why. */
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

    /** A new job within the bounds; null where it is rejected, and the client has been told why. */
    private GearmanJob create(
            Arguments args, int workload, GearmanFunction function, Object key, Mode mode, String reducer) {
        if (server.stopping()) {
            connection.error("QUEUE_FULL", "the server is stopping");
            return null;
        }
        // Bytes of the whole packet where its array is kept, and what the job costs besides.
        int charge = Jobs.OVERHEAD_BYTES + args.length(workload) + args.length(1);
        Rejection rejection = server.admission.check(
                server.jobs.size(), open, function.queues, mode.ordinal(), charge, server.budget);
        if (rejection != null) {
            connection.error(rejection.code(), rejection.reason());
            return null;
        }
        GearmanJob job = new GearmanJob(
                server.jobs.nextNumber(),
                function,
                new GearmanJob.Submission(args.text(1), key, args.retained(workload), mode, reducer, this, charge));
        server.jobs.add(job);
        open++;
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
            exceptions = true;
            connection.write(Packet.OPTION_RES.response(name));
        } else {
            connection.error("UNKNOWN_OPTION", "the only option is 'exceptions'");
        }
    }

    /** A job that it waited for has ended. */
    void ended(GearmanJob job) {
        waitsFor.remove(job);
    }

    /** The connection is gone: each job loses a client, and one that nobody waits for is given up. */
    void lost() {
        for (GearmanJob job : List.copyOf(waitsFor)) {
            job.leave(connection);
            if (job.clientCount() == 0 && !job.background) {
                server.abandon(job, Jobs.End.LEFT);
            }
        }
        waitsFor.clear();
    }
}
