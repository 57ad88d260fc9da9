package beechseam.gearman;

import beechseam.config.GearmanConfig.Mode;
import beechseam.core.Attempt;
import beechseam.core.Ingress;
import beechseam.core.Request;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.queue.QueuedJob;
import beechseam.gearman.queue.Schedule;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * A job with all the clients that wait for it: the same key submitted while it lives joins it. Hundreds of
 * thousands may wait, so it holds no more than it must: the handle is made of its number, and lists only
 * exist once there are two.
 */
final class GearmanJob implements Ingress, QueuedJob {
    /** Where it is; it moves down this list only, and each but ENDED holds room for its workload. */
    enum Stage {
        /** Waits until its due time. */
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
     * @param key     finds the job by its unique; null without one
     * @param reducer null unless it was submitted to be reduced
     * @param charge  bytes that are held for it
     */
    record Submission(
            String unique,
            Object key,
            ByteBuffer workload,
            Mode mode,
            String reducer,
            ClientSession submitter,
            int charge) {}

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    final long number;
    final GearmanFunction function;
    final String unique;
    final Mode mode;
    /** Null unless it was submitted to be reduced. */
    final String reducer;
    /** Whose turn it takes in line; only compared. */
    final ClientSession submitter;
    /** Bytes that are held for it. */
    final int charge;
    /**
     * What finds it by its key, null without one; jobs of other functions with the same key follow it in a
     * chain.
     */
    Object key;

    GearmanJob sameKey;
    ByteBuffer workload;
    /** What the first worker to complete it gave, until the clients have it. */
    ByteBuffer result;

    Stage stage = Stage.QUEUED;
    /** When it was enqueued, in nanoseconds of the host's clock. */
    long enqueuedAtNs;
    /** A background submission is owed the run even when no client waits. */
    boolean background;
    /** It has been sent to a target at least once. */
    boolean placed;
    /** Workers that hold it now: two while a copy runs. */
    int runs;

    Schedule.Ticket ticket;
    Request request;
    /** The attempt whose data the clients are sent: of a job and its hedge only one is forwarded. */
    private Attempt forwarded;

    private GearmanConnection client;
    private List<GearmanConnection> others;
    String numerator = "0";
    String denominator = "0";

    GearmanJob(long number, GearmanFunction function, Submission submission) {
        this.number = number;
        this.function = function;
        this.unique = submission.unique();
        this.key = submission.key();
        this.workload = submission.workload();
        this.mode = submission.mode();
        this.reducer = submission.reducer();
        this.submitter = submission.submitter();
        this.charge = submission.charge();
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

    /** Whether its end has been counted and told. */
    boolean hasEnded() {
        return ended;
    }

    /** Nothing of it is needed any more but its name. */
    void finish() {
        ended = true;
        stage = Stage.ENDED;
        workload = EMPTY;
        result = null;
        client = null;
        others = null;
    }

    boolean running() {
        return runs > 0;
    }

    /** False when that one waits already. */
    boolean join(GearmanConnection connection) {
        if (client == connection || others != null && others.contains(connection)) {
            return false;
        }
        if (client == null) {
            client = connection;
        } else {
            if (others == null) {
                others = new ArrayList<>(2);
            }
            others.add(connection);
        }
        return true;
    }

    void leave(GearmanConnection connection) {
        if (client == connection) {
            client = others == null || others.isEmpty() ? null : others.remove(others.size() - 1);
        } else if (others != null) {
            others.remove(connection);
        }
    }

    /** Clients that wait for it. */
    List<GearmanConnection> clients() {
        if (client == null) {
            return List.of();
        }
        if (others == null || others.isEmpty()) {
            return List.of(client);
        }
        List<GearmanConnection> all = new ArrayList<>(others);
        all.add(0, client);
        return all;
    }

    int clientCount() {
        return client == null ? 0 : 1 + (others == null ? 0 : others.size());
    }

    /**
     * Something on the way to its end.
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

    /** Sends the job to a worker; its workload is not copied. */
    void assignTo(GearmanConnection worker, Packet kind, Object... args) {
        if (workload.hasRemaining()) {
            worker.write(kind.responseBefore(workload.remaining(), args), workload.duplicate());
        } else {
            worker.write(kind.response(withEmptyLast(args)));
        }
    }

    /** An empty last argument has its NUL before it all the same. */
    private static Object[] withEmptyLast(Object[] args) {
        Object[] all = Arrays.copyOf(args, args.length + 1);
        all[args.length] = new byte[0];
        return all;
    }

    /** Whether this attempt's data goes to the clients. */
    boolean forwardsFor(Attempt attempt) {
        if (forwarded == null || forwarded.hasEnded()) {
            forwarded = attempt;
        }
        return forwarded == attempt;
    }

    @Override
    public void served(Request request, byte[] ignored) {
        forward(Packet.WORK_COMPLETE, result, handle());
        function.server.finished(this, Jobs.End.SERVED);
    }

    @Override
    public void shed(Request request, long retryAfterNs) {
        // WORK_FAIL has no room for it, so the advice goes ahead as an exception to those that asked.
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
        function.server.finished(this, how);
    }
}
