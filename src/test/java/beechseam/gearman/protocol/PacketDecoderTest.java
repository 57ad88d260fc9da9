package beechseam.gearman.protocol;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests the packet decoder with arbitrary fragmentation, malformed frames and false lengths. */
class PacketDecoderTest {
    private static final int IN_PLACE = 32;

    /** Records each event as a line of text. */
    private static final class RecordingOwner implements PacketDecoder.Owner {
        final List<String> events = new ArrayList<>();
        PacketDecoder.Verdict verdict = PacketDecoder.Verdict.TAKE;
        int verdictRequests;

        @Override
        public void packet(Packet kind, Arguments args) {
            StringBuilder line = new StringBuilder(kind.name());
            for (int i = 0; args != null && i < args.count(); i++) {
                line.append('|').append(args.text(i));
            }
            events.add(args == null ? kind + " with too few arguments" : line.toString());
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
     * Decodes the bytes in fragments, as a connection does: unread bytes stay in the buffer for the next call.
     * Fragments have random lengths, or one byte each if {@code random} is null.
     */
    private static void feed(PacketDecoder decoder, byte[] bytes, Random random) {
        ByteBuffer buffer = ByteBuffer.allocate(bytes.length + 64);
        for (int offset = 0; offset < bytes.length; ) {
            int length = Math.min(bytes.length - offset, random == null ? 1 : 1 + random.nextInt(40));
            buffer.put(bytes, offset, length);
            offset += length;
            buffer.flip();
            decoder.decode(buffer);
            buffer.compact();
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
            StringBuilder line = new StringBuilder(kind.name());
            for (int a = 0; a < args.length; a++) {
                args[a] = "v".repeat(random.nextInt(30)) + (a == args.length - 1 && random.nextBoolean() ? "\0" : "");
                line.append('|').append(args[a]);
            }
            expected.add(line.toString());
            all.put(kind.request(args));
        }
        byte[] bytes = new byte[all.flip().remaining()];
        all.get(bytes);
        for (Random fragmentation : new Random[] {null, random}) {
            RecordingOwner recorder = new RecordingOwner();
            PacketDecoder decoder = new PacketDecoder(recorder, Packet.REQ, 1 << 20, IN_PLACE);
            feed(decoder, bytes, fragmentation);
            assertEquals(expected, recorder.events);
            assertEquals(PacketDecoder.State.HEADER, decoder.state());
            assertEquals(0, decoder.allocatedBytes());
        }
    }

    @Test
    void longPacketNeedsItsOwnersVerdictBeforeMemoryIsAllocated() {
        byte[] packet = Packet.ECHO_REQ.request("x".repeat(1000)).array();
        RecordingOwner recorder = new RecordingOwner();
        PacketDecoder decoder = new PacketDecoder(recorder, Packet.REQ, 2000, IN_PLACE);
        recorder.verdict = PacketDecoder.Verdict.WAIT;
        ByteBuffer buffer = ByteBuffer.wrap(packet);
        decoder.decode(buffer);
        decoder.decode(buffer);
        assertEquals(2, recorder.verdictRequests, "the owner is asked again at each call");
        assertEquals(0, buffer.position(), "the header stays unread while the owner waits");
        recorder.verdict = PacketDecoder.Verdict.TAKE;
        decoder.decode(buffer);
        assertEquals(List.of("ECHO_REQ|" + "x".repeat(1000)), recorder.events);
        recorder.verdict = PacketDecoder.Verdict.SKIP;
        feed(decoder, packet, new Random(1));
        feed(decoder, Packet.NOOP.request().array(), null);
        assertEquals("NOOP", recorder.events.get(1), "the packet after a skipped one is decoded");
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
        ByteBuffer unknownPacket =
                ByteBuffer.allocate(12 + 500).putInt(Packet.REQ).putInt(99).putInt(500);
        feed(decoder, unknownPacket.array(), new Random(2));
        feed(decoder, Packet.SUBMIT_JOB.request("f").array(), null);
        assertEquals(List.of("unknown 99", "SUBMIT_JOB with too few arguments"), recorder.events);
    }
}
