package beechseam.gearman;

import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.protocol.PacketDecoder;
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
 * A connection of a client, a worker, both, or an operator who types admin lines. It takes packets and lines
 * off the wire and hands each to the session that it is for. Memory is bounded at both ends: a long packet is
 * read only once there is room for it, and a peer that does not read is not read from, nor are the workers
 * that write to it.
 */
final class GearmanConnection extends Connection implements PacketDecoder.Owner {
    private static final int MAX_LINE_BYTES = 2048;
    /** Bodies up to this are taken from the read buffer; longer ones get an array of their own. */
    static final int IN_PLACE = Buffers.SIZE / 2;
    /** Unread answers from which on the peer's own requests wait. */
    private static final int MAX_UNREAD_BYTES = 256 * 1024;
    /** Unread data from which on the worker that writes it waits. */
    static final int THROTTLE_BYTES = 1024 * 1024;
    /** Cut off for a broken frame, a peer may go on sending so much before its connection is reset. */
    private static final long MAX_DISCARDED_BYTES = 128L * 1024 * 1024;

    /** Workers that wait for this client to read. */
    private final Set<GearmanConnection> throttledWriters = new LinkedHashSet<>();

    private final GearmanServer server;
    private final PacketDecoder decoder;
    private final ClientSession session;
    private WorkerSession worker;
    private String clientId = "-";
    /** Waits for a client of its own to read. */
    private boolean throttled;
    /** Waits until there is room for a long packet. */
    private boolean awaitsMemory;
    /** Room that its unfinished long packet holds: of workloads, or of what goes to clients. */
    private int reserved;

    private boolean reservedForJob;
    private boolean hasReceived;

    GearmanConnection(GearmanServer server, SocketChannel channel) throws IOException {
        super(server.loop, channel, Buffers.SIZE);
        this.server = server;
        decoder = new PacketDecoder(this, Packet.REQ, server.config.bounds().packet(), IN_PLACE);
        session = new ClientSession(server, this);
    }

    ClientSession session() {
        return session;
    }

    String clientId() {
        return clientId;
    }

    /** Null until it has said something that workers say. */
    WorkerSession worker() {
        return worker;
    }

    /** Whether it has said anything yet. */
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
        while (more && in.hasRemaining() && !paused()) { // packets and lines may follow each other in any order
            more = decoder.insideLongPacket() || in.get(in.position()) == 0 ? decoder.next(in) : line(in);
        }
    }

    private boolean line(ByteBuffer in) {
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
        boolean job = kind.name().startsWith("SUBMIT_");
        if (job && !server.budget.reserveWorkload(size)) {
            error(
                    "MEMORY_LIMIT",
                    "max_memory_mb: workloads hold " + server.budget.workloadBytes() + " bytes of "
                            + server.budget.maxWorkloadBytes() + ", and this one has " + size);
            return PacketDecoder.Verdict.SKIP;
        }
        if (!job && !server.budget.reserveResult(size, server.unread())) {
            awaitsMemory = true;
            server.awaitMemory(this);
            updateReadingPaused();
            return PacketDecoder.Verdict.WAIT;
        }
        reserved = size;
        reservedForJob = job;
        return PacketDecoder.Verdict.TAKE;
    }

    private void release() {
        if (reserved > 0 && reservedForJob) {
            server.budget.releaseWorkload(reserved);
        } else if (reserved > 0) {
            server.budget.releaseResult(reserved);
        }
        reserved = 0;
    }

    @Override
    public void packet(Packet kind, Arguments args) {
        if (args == null) {
            release();
            error("BAD_ARGUMENTS", kind + " needs " + kind.arguments + " arguments");
            return;
        }
        if (reservedForJob) {
            release(); // the job takes its own room next
        }
        handle(kind, args);
        release();
        if (unwritten() > MAX_UNREAD_BYTES) {
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
            case SET_CLIENT_ID -> setClientId(args.text(0));
            case CAN_DO -> canDo(args.text(0), "0");
            case CAN_DO_TIMEOUT -> canDo(args.text(0), args.text(1));
            case CANT_DO -> asWorker().cantDo(args.text(0));
            case RESET_ABILITIES -> asWorker().resetAbilities();
            case PRE_SLEEP -> asWorker().preSleep();
            case GRAB_JOB, GRAB_JOB_UNIQ, GRAB_JOB_ALL -> asWorker().grabJob(kind);
            case WORK_STATUS, WORK_DATA, WORK_WARNING, WORK_EXCEPTION, WORK_COMPLETE, WORK_FAIL ->
                asWorker().work(kind, args);
            case ALL_YOURS -> asWorker(); // a promise to serve nobody else, which needs no answer
            default -> error("UNKNOWN_COMMAND", kind + " is for a job server to say");
        }
    }

    private void echo(Arguments args) {
        ByteBuffer data = args.retained(0);
        if (data.remaining() > IN_PLACE) {
            write(Packet.ECHO_RES.responseBefore(data.remaining()), data);
        } else {
            write(Packet.ECHO_RES.response(args.bytes(0)));
        }
    }

    /** Without blanks, since it stands in lines of admin answers. */
    private void setClientId(String text) {
        clientId = text.replaceAll("[\\s\\p{Cntrl}]", "_");
        if (worker != null) {
            worker.renamed();
        }
    }

    private void canDo(String function, String seconds) {
        if (!seconds.matches("\\d{1,8}")) {
            error("BAD_ARGUMENTS", "CAN_DO_TIMEOUT needs a whole number of seconds");
        } else if (!ClientSession.isValidName(function)) {
            error("BAD_ARGUMENTS", "no name for a function");
        } else {
            asWorker().canDo(function, Integer.parseInt(seconds));
        }
    }

    private WorkerSession asWorker() {
        if (worker == null) {
            worker = server.newWorker(this);
        }
        return worker;
    }

    void error(String code, String message) {
        server.badInput++;
        write(Packet.ERROR.response(code, message));
    }

    /** A worker has written to this client: it waits if that is far behind in reading. */
    void throttle(GearmanConnection writer) {
        if (unwritten() > THROTTLE_BYTES && writer != this && !closed()) {
            writer.throttled = true;
            throttledWriters.add(writer);
            writer.updateReadingPaused();
        }
    }

    /** There may be room now for the long packet that waits. */
    void retry() {
        awaitsMemory = false;
        updateReadingPaused();
    }

    /** Whether input is read, by all that may speak against it. */
    private void updateReadingPaused() {
        pauseReading(throttled || awaitsMemory || unwritten() > MAX_UNREAD_BYTES);
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

    /** A peer that stops within a packet, or takes nothing that is written, is cut off; idle ones stay. */
    void sweep(long now, long stallNs) {
        boolean within = (hasUnused() || decoder.insideLongPacket()) && !readingPaused();
        if ((within || unwritten() > 0 || ending()) && now - lastActivity() > stallNs) {
            close();
        }
    }

    @Override
    protected void lost(IOException why) {
        // Both ends of a connection's life come by released().
    }

    @Override
    protected void released() {
        release();
        releaseThrottled();
        session.lost();
        if (worker != null) {
            worker.lost();
        }
        server.connectionReleased(this);
    }
}
