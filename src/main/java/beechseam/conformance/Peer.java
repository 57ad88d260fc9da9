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

/** A named connection of a transcript. It queues the received packets and lines until a step consumes them. */
final class Peer extends Connection {
    /** A received message: a packet with its arguments, or a line of an admin answer ({@code packet} is null). */
    record Received(Packet packet, List<byte[]> args, String line) {}

    final ArrayDeque<Received> messages = new ArrayDeque<>();
    /** Why the received bytes cannot be decoded, or null. */
    String fault;

    boolean lost;
    private byte[] undecoded = new byte[0];

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
        int had = undecoded.length;
        undecoded = Arrays.copyOf(undecoded, had + in.remaining());
        in.get(undecoded, had, in.remaining());
        int at = 0;
        for (int next = decodeNext(at); next > at; next = decodeNext(at)) {
            at = next;
        }
        undecoded = Arrays.copyOfRange(undecoded, at, undecoded.length);
    }

    /** Decodes the packet or line at {@code at}; returns where the next begins, or {@code at} if it is incomplete. */
    private int decodeNext(int at) {
        if (at >= undecoded.length || fault != null) {
            return at;
        }
        if (undecoded[at] != 0) {
            for (int i = at; i < undecoded.length; i++) {
                if (undecoded[i] == '\n') {
                    messages.add(new Received(
                            null,
                            List.of(),
                            new String(undecoded, at, i - at, java.nio.charset.StandardCharsets.UTF_8)
                                    .stripTrailing()));
                    return i + 1;
                }
            }
            return at;
        }
        if (undecoded.length - at < Packet.HEADER) {
            return at;
        }
        ByteBuffer head = ByteBuffer.wrap(undecoded, at, Packet.HEADER);
        int magic = head.getInt();
        Packet packet = Packet.of(head.getInt());
        int size = head.getInt();
        if (magic != Packet.RES || packet == null || size < 0) {
            fault = "the received bytes are no packet of the protocol";
            return at;
        }
        if (undecoded.length - at - Packet.HEADER < size) {
            return at;
        }
        messages.add(new Received(packet, splitArguments(at + Packet.HEADER, size, packet.arguments), null));
        return at + Packet.HEADER + size;
    }

    /** Splits the arguments; there may be fewer than the packet type requires, which the Expect step reports. */
    private List<byte[]> splitArguments(int from, int size, int count) {
        List<byte[]> arguments = new ArrayList<>();
        int end = from + size;
        while (arguments.size() < count - 1) {
            int nul = from;
            while (nul < end && undecoded[nul] != 0) {
                nul++;
            }
            if (nul == end) {
                break;
            }
            arguments.add(Arrays.copyOfRange(undecoded, from, nul));
            from = nul + 1;
        }
        if (count > 0) {
            arguments.add(Arrays.copyOfRange(undecoded, from, end));
        }
        return arguments;
    }

    @Override
    protected void lost(IOException why) {
        lost = true;
    }
}
