package beechseam.gearman.protocol;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The decoder against any cut of its bytes, and against lengths that lie. */
class PacketDecoderTest {
    private static final int IN_PLACE = 32;

    /** Notes what it is told, as one text each. */
    private static final class RecordingOwner implements PacketDecoder.Owner {
        final List<String> events = new ArrayList<>();
        PacketDecoder.Verdict verdict = PacketDecoder.Verdict.TAKE;
        int verdictRequests;

        @Override
        public void packet(Packet kind, Arguments args) {
            StringBuilder s = new StringBuilder(kind.name());
            for (int i = 0; args != null && i < args.count(); i++) {
                s.append('|').append(args.text(i));
            }
            events.add(args == null ? kind + " lacks" : s.toString());
        }

        @Override
        public void unknown(int code) {
            events.add("unknown " + code);
        }

        @Override
        public PacketDecoder.Verdict longPacket(Packet kind, int size) {
            verdictRequests++;
            return verdict;
        }

        @Override
        public void broken(String code, String why) {
            events.add(code);
        }

        @Override
        public boolean paused() {
            return false;
        }
    }

    /**
     * Feeds the bytes in pieces, as a connection does: what is not used up comes again before the next piece.
     */
    private static void feed(PacketDecoder decoder, byte[] bytes, Random random) {
        ByteBuffer in = ByteBuffer.allocate(bytes.length + 64);
        for (int at = 0; at < bytes.length; ) {
            int n = Math.min(bytes.length - at, random == null ? 1 : 1 + random.nextInt(40));
            in.put(bytes, at, n);
            at += n;
            in.flip();
            decoder.decode(in);
            in.compact();
        }
    }

    @Property(seed = "12", tries = 300)
    void anyFragmentationGivesTheSamePackets(@ForAll long seed) {
        Random random = new Random(seed);
        List<String> expected = new ArrayList<>();
        ByteBuffer all = ByteBuffer.allocate(1 << 16);
        for (int i = 0; i < 12; i++) {
            Packet kind = Packet.values()[random.nextInt(Packet.values().length)];
            Object[] args = new Object[kind.arguments];
            StringBuilder s = new StringBuilder(kind.name());
            for (int a = 0; a < args.length; a++) {
                args[a] = "v".repeat(random.nextInt(30)) + (a == args.length - 1 && random.nextBoolean() ? "\0" : "");
                s.append('|').append(args[a]);
            }
            expected.add(s.toString());
            all.put(kind.request(args));
        }
        byte[] bytes = new byte[all.flip().remaining()];
        all.get(bytes);
        for (Random cut : new Random[] {null, random}) {
            RecordingOwner recorder = new RecordingOwner();
            PacketDecoder decoder = new PacketDecoder(recorder, Packet.REQ, 1 << 20, IN_PLACE);
            feed(decoder, bytes, cut);
            assertEquals(expected, recorder.events);
            assertEquals(PacketDecoder.State.HEADER, decoder.state());
            assertEquals(0, decoder.inHand());
        }
    }

    @Test
    void longPacketNeedsItsOwnersVerdictBeforeMemoryIsAllocated() {
        byte[] packet = Packet.ECHO_REQ.request("x".repeat(1000)).array();
        RecordingOwner recorder = new RecordingOwner();
        PacketDecoder decoder = new PacketDecoder(recorder, Packet.REQ, 2000, IN_PLACE);
        recorder.verdict = PacketDecoder.Verdict.WAIT;
        ByteBuffer in = ByteBuffer.wrap(packet);
        decoder.decode(in);
        decoder.decode(in);
        assertEquals(2, recorder.verdictRequests, "asked again each time");
        assertEquals(0, in.position(), "and nothing is used up");
        recorder.verdict = PacketDecoder.Verdict.TAKE;
        decoder.decode(in);
        assertEquals(List.of("ECHO_REQ|" + "x".repeat(1000)), recorder.events);
        recorder.verdict = PacketDecoder.Verdict.SKIP;
        feed(decoder, packet, new Random(1));
        feed(decoder, Packet.NOOP.request().array(), null);
        assertEquals("NOOP", recorder.events.get(1), "a skipped packet leaves the stream in step");
        assertEquals(2, recorder.events.size());
    }

    @Test
    void malformedFrameBreaksTheDecoderOnce() {
        for (byte[] bytes : new byte[][] {
            {0, 'R', 'E', 'Q', 0, 0, 0, 16, 0, 0, 8, 0},
            {0, 'R', 'E', 'Q', 0, 0, 0, 16, -1, 0, 0, 0},
            {0, 'R', 'E', 'S'},
            {0, 'X'},
            {1}
        }) {
            RecordingOwner recorder = new RecordingOwner();
            PacketDecoder decoder = new PacketDecoder(recorder, Packet.REQ, 2000, IN_PLACE);
            feed(decoder, bytes, null);
            feed(decoder, Packet.NOOP.request().array(), null);
            assertEquals(1, recorder.events.size(), recorder.events.toString());
            assertEquals(bytes.length == 12 ? "TOO_LARGE" : "BAD_MAGIC", recorder.events.get(0));
            assertEquals(PacketDecoder.State.BROKEN, decoder.state());
        }
    }

    @Test
    void packetOfUnknownNumberIsSkippedWhole() {
        RecordingOwner recorder = new RecordingOwner();
        PacketDecoder decoder = new PacketDecoder(recorder, Packet.REQ, 2000, IN_PLACE);
        ByteBuffer odd =
                ByteBuffer.allocate(12 + 500).putInt(Packet.REQ).putInt(99).putInt(500);
        feed(decoder, odd.array(), new Random(2));
        feed(decoder, Packet.SUBMIT_JOB.request("f").array(), null);
        assertEquals(List.of("unknown 99", "SUBMIT_JOB lacks"), recorder.events);
    }
}
