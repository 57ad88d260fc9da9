package beechseam.gearman;

import beechseam.config.GearmanConfig.Mode;
import beechseam.core.Attempt;
import beechseam.core.Ingress;
import beechseam.core.Request;
import beechseam.dispatch.Idempotency;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.queue.QueuedJob;
import beechseam.gearman.queue.Schedule;
import beechseam.gearman.queue.Submitter;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A job with all the clients that wait for it; a submission with the same key joins the job until it has ended.
 * Hundreds of thousands of jobs may be queued, so a job uses little memory: the handle is derived from its
 * number, and the list of clients exists only from the second client on.
 */
final class GearmanJob implements Ingress, QueuedJob {
    /** The stages of a job, which it passes only in this order; its workload's bytes are reserved until ENDED. */
    enum Stage {
        /** Waits for its due time. */
        DELAYED,
        /** Waits in the queues of its function. */
        QUEUED,
        /** Submitted to the engine. */
        DISPATCHED,
        ENDED
    }

    /**
     * What a client submitted.
     *
     * @param key     the key that later submissions join the job by; null without one
     * @param reducer the reducer's name; null unless it is a reduce job
     * @param reservedBytes bytes that are reserved for the job
     */
    record Submission(
            String unique,
            Object key,
            ByteBuffer workload,
            Mode mode,
            String reducer,
            Submitter submitter,
            int reservedBytes) {}

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);
    /** The longest text of a WORK_STATUS that is kept for status requests. */
    private static final int MAX_STATUS_CHARS = 64;

    final long number;
    final GearmanFunction function;
    final String unique;
    final Mode mode;
    /** The reducer's name; null unless it is a reduce job. */
    final String reducer;
    /** The client that submitted the job; queues give each client its turn. */
    final Submitter submitter;
    /** Bytes that are reserved for the job and the clients that wait for it. */
    int reservedBytes;
    /** The key that later submissions join the job by; null without one. */
    Object key;

    /** The next job with the same key, which is of another function; null at the end of the chain. */
    GearmanJob sameKey;

    ByteBuffer workload;
    /** The result from the first worker that completed the job, kept until the clients have been sent it. */
    ByteBuffer result;

    Stage stage = Stage.QUEUED;
    /** When it was enqueued, in nanoseconds of the host's clock. */
    long enqueuedAtNs;
    /** Whether it was submitted as a background job, which runs even when no client waits. */
    boolean background;
    /** Whether it has been sent to a target at least once. */
    boolean placed;
    /** Number of workers that hold it now; two while a hedge runs. */
    int runs;

    Schedule.Ticket ticket;
    Request request;
    /** The attempt whose data is sent to the clients; the data of its hedge is not. */
    private Attempt forwardedAttempt;

    private GearmanConnection client;
    private List<GearmanConnection> otherClients;
    private String numerator = "0";
    private String denominator = "0";

    GearmanJob(long number, GearmanFunction function, Submission submission) {
        this.number = number;
        this.function = function;
        this.unique = submission.unique();
        this.key = submission.key();
        this.workload = submission.workload();
        this.mode = submission.mode();
        this.reducer = submission.reducer();
        this.submitter = submission.submitter();
        this.reservedBytes = submission.reservedBytes();
    }

    String handle() {
        return function.server.jobs.handle(number);
    }

    @Override
    public boolean isQueued() {
        return stage == Stage.QUEUED;
    }

    @Override
    public long enqueuedAtNs() {
        return enqueuedAtNs;
    }

    private boolean ended;

    /** Whether its end has been counted and sent to the clients. */
    boolean hasEnded() {
        return ended;
    }

    /**
     * Marks the job as ended and releases its workload, result and clients. Only the handle is used afterwards, and the
     * key while a worker still runs the job.
     */
    void finish() {
        ended = true;
        stage = Stage.ENDED;
        workload = EMPTY;
        result = null;
        client = null;
        otherClients = null;
    }

    boolean running() {
        return runs > 0;
    }

    /** Whether the job is to be run: somebody waits for it, or it was submitted as a background job. */
    boolean isWanted() {
        return background || client != null;
    }

    @Override
    public boolean isClientConnected(Request ignored) {
        return isWanted();
    }

    /** Whether a further submission with the same key must not run while a worker may still run this job. */
    boolean reservesKey() {
        return key != null && running() && function.jobClass(mode).idempotency() != Idempotency.IDEMPOTENT;
    }

    /** Adds a client that does not wait for the job yet. */
    void join(GearmanConnection connection) {
        if (client == null) {
            client = connection;
        } else {
            if (otherClients == null) {
                otherClients = new ArrayList<>(2);
            }
            otherClients.add(connection);
        }
    }

    /** Removes a client that waits for the job; false if it does not wait. */
    boolean leave(GearmanConnection connection) {
        if (client == connection) {
            client = otherClients == null || otherClients.isEmpty()
                    ? null
                    : otherClients.remove(otherClients.size() - 1);
            return true;
        }
        return otherClients != null && otherClients.remove(connection);
    }

    /** Whether the client waits for the job. */
    boolean isAwaitedBy(GearmanConnection connection) {
        return client == connection || otherClients != null && otherClients.contains(connection);
    }

    /** The clients that wait for the job. */
    List<GearmanConnection> clients() {
        if (client == null) {
            return List.of();
        }
        if (otherClients == null || otherClients.isEmpty()) {
            return List.of(client);
        }
        List<GearmanConnection> all = new ArrayList<>(otherClients);
        all.add(0, client);
        return all;
    }

    int clientCount() {
        return client == null ? 0 : 1 + (otherClients == null ? 0 : otherClients.size());
    }

    /**
     * Sends a packet about the job to all its clients, WORK_EXCEPTION only to those that asked for exceptions.
     *
     * @param data the last argument, or null for none; shared by all clients and not copied
     */
    void forward(Packet kind, ByteBuffer data, Object... args) {
        if (client == null) {
            return;
        }
        ByteBuffer head = data == null || !data.hasRemaining() ? null : kind.responseBefore(data.remaining(), args);
        Object[] all = args;
        if (head == null && data != null) {
            all = withEmptyLast(args);
        }
        for (GearmanConnection each : clients()) {
            if (kind != Packet.WORK_EXCEPTION || each.session().wantsExceptions()) {
                if (head == null) {
                    each.write(kind.response(all));
                } else {
                    each.write(head.duplicate(), data.duplicate());
                }
            }
        }
    }

    /** Sends the job to a worker with the packet that answers its kind of grab; the workload is not copied. */
    void assignTo(GearmanConnection worker, Packet grab) {
        String reducerName = reducer == null ? "" : reducer;
        switch (grab) {
            case GRAB_JOB_UNIQ -> assignTo(worker, Packet.JOB_ASSIGN_UNIQ, handle(), function.name, unique);
            case GRAB_JOB_ALL -> assignTo(worker, Packet.JOB_ASSIGN_ALL, handle(), function.name, unique, reducerName);
            default -> assignTo(worker, Packet.JOB_ASSIGN, handle(), function.name);
        }
    }

    private void assignTo(GearmanConnection worker, Packet kind, Object... args) {
        if (workload.hasRemaining()) {
            worker.write(kind.responseBefore(workload.remaining(), args), workload.duplicate());
        } else {
            worker.write(kind.response(withEmptyLast(args)));
        }
    }

    /** Appends an empty last argument, so that the packet has the NUL that precedes it. */
    private static Object[] withEmptyLast(Object[] args) {
        Object[] all = Arrays.copyOf(args, args.length + 1);
        all[args.length] = new byte[0];
        return all;
    }

    /** Records the progress that a worker reported; texts that are too long to be numbers are ignored. */
    void recordProgress(String reportedNumerator, String reportedDenominator) {
        if (reportedNumerator.length() <= MAX_STATUS_CHARS && reportedDenominator.length() <= MAX_STATUS_CHARS) {
            numerator = reportedNumerator;
            denominator = reportedDenominator;
        }
    }

    /** The last reported progress is {@code numerator} divided by {@code denominator}; both are any text. */
    String numerator() {
        return numerator;
    }

    String denominator() {
        return denominator;
    }

    /** Whether this attempt's data is sent to the clients. */
    boolean forwardsFor(Attempt attempt) {
        if (forwardedAttempt == null || forwardedAttempt.hasEnded()) {
            forwardedAttempt = attempt;
        }
        return forwardedAttempt == attempt;
    }

    @Override
    public void served(Request request, byte[] ignored) {
        forward(Packet.WORK_COMPLETE, result, handle());
        function.server.finished(this, isWanted() ? Jobs.End.SERVED : Jobs.End.LEFT);
    }

    @Override
    public void shed(Request request, long retryAfterNs) {
        // WORK_FAIL carries no text: clients that asked for exceptions get the delay in a WORK_EXCEPTION before it.
        forward(
                Packet.WORK_EXCEPTION,
                ByteBuffer.wrap(String.format(Locale.ROOT, "busy: retry after %.3f s", retryAfterNs / 1e9)
                        .getBytes(StandardCharsets.UTF_8)),
                handle());
        fail(Jobs.End.SHED);
    }

    @Override
    public void failed(Request request, String why) {
        forward(Packet.WORK_EXCEPTION, ByteBuffer.wrap(("failed: " + why).getBytes(StandardCharsets.UTF_8)), handle());
        fail(Jobs.End.FAILED);
    }

    void fail(Jobs.End how) {
        forward(Packet.WORK_FAIL, null, handle());
        function.server.finished(this, isWanted() ? how : Jobs.End.LEFT);
    }
}
