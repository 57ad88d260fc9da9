package beechseam.conformance;

import beechseam.gearman.protocol.Packet;
import beechseam.net.Connection;
import beechseam.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One end of a transcript: keeps what it hears, as packets and lines, until the script asks for it. */
final class Peer extends Connection {
    /** What the server said, in order: a packet with its arguments, or a line of an admin answer. */
    record Heard(Packet packet, List<byte[]> args, String line) {}

    final ArrayDeque<Heard> heard = new ArrayDeque<>();
    /** Why what came cannot be understood, or null. */
    String fault;

    boolean gone;
    private byte[] rest = new byte[0];

    Peer(EventLoop loop, InetSocketAddress to) throws IOException {
        super(loop, null, 1 << 16);
        connect(to);
    }

    @Override
    protected long maxUnwrittenBytes() {
        return 1L << 30;
    }

    @Override
    protected void received(ByteBuffer in) {
        int had = rest.length;
        rest = Arrays.copyOf(rest, had + in.remaining());
        in.get(rest, had, in.remaining());
        int at = 0;
        for (int next = take(at); next > at; next = take(at)) {
            at = next;
        }
        rest = Arrays.copyOfRange(rest, at, rest.length);
    }

    /** Takes one packet or line from there; where the next begins, the same place when there is none. */
    private int take(int at) {
        if (at >= rest.length || fault != null) {
            return at;
        }
        if (rest[at] != 0) {
            for (int i = at; i < rest.length; i++) {
                if (rest[i] == '\n') {
                    heard.add(new Heard(
                            null,
                            List.of(),
                            new String(rest, at, i - at, java.nio.charset.StandardCharsets.UTF_8).stripTrailing()));
                    return i + 1;
                }
            }
            return at;
        }
        if (rest.length - at < Packet.HEADER) {
            return at;
        }
        ByteBuffer head = ByteBuffer.wrap(rest, at, Packet.HEADER);
        int magic = head.getInt();
        Packet packet = Packet.of(head.getInt());
        int size = head.getInt();
        if (magic != Packet.RES || packet == null || size < 0) {
            fault = "what came is no packet of the protocol";
            return at;
        }
        if (rest.length - at - Packet.HEADER < size) {
            return at;
        }
        heard.add(new Heard(packet, parts(at + Packet.HEADER, size, packet.arguments), null));
        return at + Packet.HEADER + size;
    }

    /** As many arguments as there are; fewer than the packet has are the script's to complain of. */
    private List<byte[]> parts(int from, int size, int count) {
        List<byte[]> parts = new ArrayList<>();
        int end = from + size;
        while (parts.size() < count - 1) {
            int nul = from;
            while (nul < end && rest[nul] != 0) {
                nul++;
            }
            if (nul == end) {
                break;
            }
            parts.add(Arrays.copyOfRange(rest, from, nul));
            from = nul + 1;
        }
        if (count > 0) {
            parts.add(Arrays.copyOfRange(rest, from, end));
        }
        return parts;
    }

    @Override
    protected void lost(IOException why) {
        gone = true;
    }
}
