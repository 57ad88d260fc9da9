package beechseam.load;

import beechseam.gearman.protocol.Arguments;
import beechseam.gearman.protocol.Packet;
import beechseam.gearman.protocol.PacketDecoder;
import beechseam.net.Connection;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A client-side Gearman connection to a server: the base class of the simulated clients and workers. */
abstract class Speaker extends Connection implements PacketDecoder.Owner {
    private static final int MAX_PACKET_BYTES = 1 << 28;
    private final PacketDecoder decoder = new PacketDecoder(this, Packet.RES, MAX_PACKET_BYTES, 4096);
    String fault;

    Speaker(EventLoop loop, InetSocketAddress to) throws IOException {
        super(loop, null, 8192);
        connect(to);
    }

    @Override
    protected long maxUnwrittenBytes() {
        return 1L << 32;
    }

    @Override
    protected boolean batchesWrites() {
        return true;
    }

    @Override
    protected void received(ByteBuffer in) {
        decoder.decode(in);
    }

    @Override
    public void unknown(int code) {
        fault = "received a packet of the unknown type " + code;
    }

    @Override
    public PacketDecoder.Verdict longPacket(Packet kind, int size) {
        return PacketDecoder.Verdict.TAKE;
    }

    @Override
    public void broken(String code, String why) {
        fault = why;
        close();
    }

    @Override
    public boolean paused() {
        return closed();
    }

    @Override
    protected void lost(IOException why) {
        fault = fault == null ? "connection lost: " + why.getMessage() : fault;
    }

    EventLoop loop() {
        return loop;
    }

    void sendPacket(Packet kind, Object... args) {
        write(kind.request(args));
    }

    /** Formats the arguments of an ERROR packet, its code and text, as one message. */
    static String error(Arguments args) {
        return args.text(0) + ": " + args.text(1);
    }
}
