package beechseam.gearman;

import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.protocol.PacketDecoder;
import beechseam.gearman.queue.Admission;
import beechseam.gearman.queue.Admission.Rejection;
import beechseam.net.Buffers;
import beechseam.net.Connection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A connection of a client, a worker, a peer that is both, or an operator who sends admin lines. It decodes packets
 * and lines and passes each to its session. Memory is bounded in both directions: a long packet is read only once
 * memory for it is reserved, and reading pauses from a peer that does not read its own data, and from the workers
 * that write to it.
 */
final class GearmanConnection extends Connection implements PacketDecoder.Owner {
    private static final int MAX_LINE_BYTES = 2048;
    private static final int MAX_CLIENT_ID_BYTES = 512;
    /** Bodies up to this size are decoded in the read buffer; a longer one gets an array of its own. */
    static final int MAX_IN_PLACE_BYTES = Buffers.SIZE / 2;
    /** Above this many unwritten bytes, the peer's own requests are not read. */
    private static final int MAX_UNREAD_BYTES = 256 * 1024;
    /** Above this many unwritten bytes, the worker that writes further data of a job is not read from. */
    static final int THROTTLE_BYTES = 1024 * 1024;
    /** After a malformed frame, a peer may send this much more before its connection is reset. */
    private static final long MAX_DISCARDED_BYTES = 128L * 1024 * 1024;

    /** Workers whose input is paused until this client has read its data. */
    private final Set<GearmanConnection> throttledWriters = new LinkedHashSet<>();

    private final GearmanServer server;
    private final PacketDecoder decoder;
    private final ClientSession session;
    private WorkerSession worker;
    private String clientId = "-";
    /** Whether input is paused because a client of this worker is far behind in reading. */
    private boolean throttled;
    /** Whether input is paused until memory is available for a long packet. */
    private boolean awaitsMemory;
    /** Bytes of the memory budget reserved for the long packet being read. */
    private int reservedBytes;

    /** Whether these bytes count as workload bytes in the budget; otherwise they count as result bytes. */
    private boolean reservedForJob;

    private boolean hasReceived;

    GearmanConnection(GearmanServer server, SocketChannel channel) throws IOException {
        super(server.loop, channel, Buffers.SIZE, server.output);
        this.server = server;
        decoder = new PacketDecoder(this, Packet.REQ, server.config.bounds().packet(), MAX_IN_PLACE_BYTES);
        session = new ClientSession(server, this);
    }

    ClientSession session() {
        return session;
    }

    String clientId() {
        return clientId;
    }

    /** The worker session; null until the peer has sent a packet that only workers send. */
    WorkerSession worker() {
        return worker;
    }

    /** Whether any data has been received on this connection. */
    boolean hasReceived() {
        return hasReceived;
    }

    @Override
    protected long maxUnwrittenBytes() {
        return (long) server.config.bounds().unread() + server.config.bounds().packet();
    }

    @Override
    protected boolean batchesWrites() {
        return true;
    }

    @Override
    protected long maxDiscardedBytes() {
        return MAX_DISCARDED_BYTES;
    }

    @Override
    protected void received(ByteBuffer in) {
        hasReceived = true;
        boolean more = true;
        while (more && in.hasRemaining() && !paused()) { // packets and lines may be mixed
            more = decoder.insideLongPacket() || in.get(in.position()) == 0 ? decoder.next(in) : decodeLine(in);
        }
    }

    private boolean decodeLine(ByteBuffer in) {
        for (int i = in.position(); i < in.limit(); i++) {
            byte c = in.get(i);
            if (c == '\n') {
                byte[] text = new byte[i - in.position()];
                in.get(text).get();
                server.admin.answer(new String(text, StandardCharsets.UTF_8).trim(), this);
                return true;
            }
            if (c >= 0 && c < ' ' && c != '\r' && c != '\t'
                    || i - in.position() > MAX_LINE_BYTES
                    || i == in.position() && c < 0) {
                broken("BAD_MAGIC", "neither a packet nor an admin line");
                return false;
            }
        }
        return false;
    }

    @Override
    public boolean paused() {
        return closed() || ending() || readingPaused();
    }

    @Override
    public void unknown(int code) {
        error("UNKNOWN_COMMAND", "a packet of no known kind: " + Integer.toUnsignedString(code));
    }

    @Override
    public void broken(String code, String why) {
        error(code, why);
        server.connectionRejected(this);
        endWhenWritten();
    }

    @Override
    public PacketDecoder.Verdict longPacket(Packet kind, int size) {
        boolean submission = kind.name().startsWith("SUBMIT_");
        if (submission && !server.budget.reserveWorkload(session.submitter(), size)) {
            Rejection rejection = Admission.memoryLimit(session.submitter(), server.budget);
            error(rejection.code(), rejection.reason() + ", and this one has " + size);
            return PacketDecoder.Verdict.SKIP;
        }
        if (!submission && !server.budget.reserveResult(size, server.output.bytes())) {
            awaitsMemory = true;
            server.awaitMemory(this);
            updateReadingPaused();
            return PacketDecoder.Verdict.WAIT;
        }
        reservedBytes = size;
        reservedForJob = submission;
        return PacketDecoder.Verdict.TAKE;
    }

    private void releaseReservation() {
        if (reservedBytes > 0 && reservedForJob) {
            server.budget.releaseWorkload(session.submitter(), reservedBytes);
        } else if (reservedBytes > 0) {
            server.budget.releaseResult(reservedBytes);
        }
        reservedBytes = 0;
    }

    @Override
    public void packet(Packet kind, Arguments args) {
        if (args == null) {
            releaseReservation();
            error("BAD_ARGUMENTS", kind + " needs " + kind.arguments + " arguments");
            return;
        }
        if (reservedForJob) {
            releaseReservation(); // the job reserves its own bytes next
        }
        handle(kind, args);
        releaseReservation();
        if (unwritten() > server.outputLimit.forPeer(MAX_UNREAD_BYTES)) {
            updateReadingPaused();
        }
    }

    private void handle(Packet kind, Arguments args) {
        switch (kind) {
            case SUBMIT_JOB,
                    SUBMIT_JOB_HIGH,
                    SUBMIT_JOB_LOW,
                    SUBMIT_JOB_BG,
                    SUBMIT_JOB_HIGH_BG,
                    SUBMIT_JOB_LOW_BG,
                    SUBMIT_JOB_SCHED,
                    SUBMIT_JOB_EPOCH,
                    SUBMIT_REDUCE_JOB,
                    SUBMIT_REDUCE_JOB_BACKGROUND -> session.submit(kind, args);
            case GET_STATUS -> session.status(args.text(0), false);
            case GET_STATUS_UNIQUE -> session.status(args.text(0), true);
            case OPTION_REQ -> session.option(args.text(0));
            case ECHO_REQ -> echo(args);
            case SET_CLIENT_ID -> setClientId(args);
            case CAN_DO -> canDo(args.text(0), "0");
            case CAN_DO_TIMEOUT -> canDo(args.text(0), args.text(1));
            case CANT_DO -> workerSession().cantDo(args.text(0));
            case RESET_ABILITIES -> workerSession().resetAbilities();
            case PRE_SLEEP -> workerSession().preSleep();
            case GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL -> workerSession().grabJob(kind);
            case WORK_STATUS, WORK_DATA, WORK_WARNING, WORK_EXCEPTION, WORK_COMPLETE, WORK_FAIL ->
                workerSession().work(kind, args);
            case ALL_YOURS -> workerSession(); // the worker uses only this server; no answer is needed
            default -> error("UNKNOWN_COMMAND", kind + " is for a job server to say");
        }
    }

    private void echo(Arguments args) {
        ByteBuffer data = args.retained(0);
        if (data.remaining() > MAX_IN_PLACE_BYTES) {
            write(Packet.ECHO_RES.responseBefore(data.remaining()), data);
        } else {
            write(Packet.ECHO_RES.response(args.bytes(0)));
        }
    }

    /** Sets the client id, with whitespace and control characters replaced: admin answers contain it. */
    private void setClientId(Arguments args) {
        if (args.length(0) > MAX_CLIENT_ID_BYTES) {
            error("BAD_ARGUMENTS", "a client id has at most " + MAX_CLIENT_ID_BYTES + " bytes");
            return;
        }
        clientId = args.text(0).replaceAll("[\\s\\p{Cntrl}]", "_");
        if (worker != null) {
            worker.clientIdChanged();
        }
    }

    private void canDo(String function, String seconds) {
        if (!seconds.matches("\\d{1,8}")) {
            error("BAD_ARGUMENTS", "CAN_DO_TIMEOUT needs a whole number of seconds");
        } else if (!ClientSession.isValidName(function)) {
            error("BAD_ARGUMENTS", "no name for a function");
        } else {
            workerSession().canDo(function, Integer.parseInt(seconds));
        }
    }

    private WorkerSession workerSession() {
        if (worker == null) {
            worker = server.newWorker(this);
        }
        return worker;
    }

    void error(String code, String message) {
        server.badInput++;
        write(Packet.ERROR.response(code, message));
    }

    /** Pauses reading from a worker that writes to this client if the client has left more unread than this. */
    void throttle(GearmanConnection writer, long maxUnreadBytes) {
        if (unwritten() > maxUnreadBytes && writer != this && !closed()) {
            writer.throttled = true;
            throttledWriters.add(writer);
            writer.updateReadingPaused();
        }
    }

    /** Resumes reading, since memory may be available for the long packet that waits for it. */
    void retry() {
        awaitsMemory = false;
        updateReadingPaused();
    }

    /** Pauses or resumes reading according to all reasons to pause. */
    private void updateReadingPaused() {
        pauseReading(throttled || awaitsMemory || unwritten() > server.outputLimit.forPeer(MAX_UNREAD_BYTES));
    }

    @Override
    protected void written() {
        releaseThrottled();
        updateReadingPaused();
    }

    private void releaseThrottled() {
        if (!throttledWriters.isEmpty()) {
            List<GearmanConnection> all = new ArrayList<>(throttledWriters);
            throttledWriters.clear();
            for (GearmanConnection each : all) {
                each.throttled = false;
                each.updateReadingPaused();
            }
        }
    }

    /** Closes a connection that stalls within a packet or does not read its output; an idle one stays open. */
    void sweep(long now, long stallNs) {
        boolean incompleteInput = (hasUnused() || decoder.insideLongPacket()) && !readingPaused();
        if ((incompleteInput || unwritten() > 0 || ending()) && now - lastActivity() > stallNs) {
            close();
        }
    }

    @Override
    protected void lost(IOException why) {
        // released() is called for either way of closing and does the cleanup.
    }

    @Override
    protected void released() {
        releaseReservation();
        releaseThrottled();
        session.connectionLost();
        if (worker != null) {
            worker.connectionLost();
        }
        server.connectionReleased(this);
    }
}
