package beechseam.platform;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import beechseam.ops.HandoverLink;
import beechseam.ops.Recordings;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the handover link against recordings, because during an upgrade a process communicates with one of an earlier
 * version. The other side is a plain Unix socket that sends the recorded bytes of a process of version 16ef30c, and
 * expects the bytes that such a process sent.
 */
class RecordedHandoverTest {
    private static final String NODE = "n";
    /** The frames of the greeting are CALL "standby", one LEARNED_STATE, and STATE_COMPLETE. */
    private static final int CALL_FRAME_BYTES = 5 + "standby".length();

    private static final int STATE_COMPLETE_FRAME_BYTES = 5;

    @TempDir
    private Path directory;

    private final Loopback net = new Loopback();
    private final List<AutoCloseable> open = new ArrayList<>();

    /** Records in order what the link delivers, and supplies the state that the recorded process sent. */
    private static final class RecordingProcess implements HandoverLink.Process {
        private final List<String> delivered = new ArrayList<>();
        private byte[] learnedPiece = {};

        @Override
        public Iterable<String> currentState() {
            return List.of("standby");
        }

        @Override
        public Iterable<byte[]> learnedState() {
            return List.of(learnedPiece);
        }

        @Override
        public void learnedStateReceived(ByteBuffer piece) {
            delivered.add("learned " + text(piece));
        }

        @Override
        public void callReceived(String line) {
            delivered.add("call " + line);
        }

        @Override
        public void callbackReceived(ByteBuffer body) {
            delivered.add("callback " + text(body));
        }

        @Override
        public void peersChanged() {
            delivered.add("peers changed");
        }

        private static String text(ByteBuffer bytes) {
            return StandardCharsets.UTF_8.decode(bytes.duplicate()).toString();
        }
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        net.close();
    }

    private <T extends AutoCloseable> T closeAfterTest(T resource) {
        open.add(resource);
        return resource;
    }

    /** Returns the body of the greeting's LEARNED_STATE frame, extracted without the code under test. */
    static byte[] recordedPiece() throws IOException {
        byte[] greeting = Recordings.read("elder-greeting.bin");
        int header = CALL_FRAME_BYTES;
        int length = ByteBuffer.wrap(greeting).getInt(header + 1);
        assertEquals(
                greeting.length,
                header + 5 + length + STATE_COMPLETE_FRAME_BYTES,
                "the greeting has not exactly three frames");
        byte[] piece = new byte[length];
        System.arraycopy(greeting, header + 5, piece, 0, length);
        return piece;
    }

    private void send(SocketChannel channel, String recording) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Recordings.read(recording));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Asserts that exactly the recorded bytes arrive next, and nothing after them. */
    private void assertReceived(String recording, SocketChannel channel) throws IOException {
        byte[] expected = Recordings.read(recording);
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        net.until(recording, () -> readInto(received, channel) >= expected.length);
        net.settle(5);
        readInto(received, channel);
        assertArrayEquals(expected, received.toByteArray(), recording);
    }

    private static int readInto(ByteArrayOutputStream received, SocketChannel channel) {
        try {
            ByteBuffer bytes = ByteBuffer.allocate(4096);
            while (channel.read(bytes.clear()) > 0) {
                received.write(bytes.array(), 0, bytes.position());
            }
            return received.size();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A link that has connected to a recorded predecessor. */
    private record Successor(HandoverLink link, SocketChannel predecessor, RecordingProcess process) {}

    private Successor connectSuccessor() throws IOException {
        ServerSocketChannel server = closeAfterTest(ServerSocketChannel.open(StandardProtocolFamily.UNIX));
        server.bind(UnixDomainSocketAddress.of(directory.resolve("beechseam-" + NODE + "-1234567.sock")));
        RecordingProcess process = new RecordingProcess();
        HandoverLink link = new HandoverLink(net.loop, directory, NODE, process);
        open.add(link::close);
        SocketChannel predecessor = closeAfterTest(server.accept());
        predecessor.configureBlocking(false);
        return new Successor(link, predecessor, process);
    }

    /** Opens a link as a predecessor and connects a recorded successor to it. */
    private SocketChannel connectToPredecessor(RecordingProcess process, List<HandoverLink> link) throws IOException {
        link.add(new HandoverLink(net.loop, directory, NODE, process));
        open.add(link.get(0)::close);
        Path socket;
        try (var files = Files.list(directory)) {
            socket = files.findFirst().orElseThrow();
        }
        assertTrue(socket.getFileName().toString().matches("beechseam-n-[0-9a-f]{7}\\.sock"), socket.toString());
        SocketChannel successor = closeAfterTest(SocketChannel.open(UnixDomainSocketAddress.of(socket)));
        successor.configureBlocking(false);
        return successor;
    }

    @Test
    void recordedGreetingDeliversCallAndLearnedStateBeforeStateComplete() throws IOException {
        Successor successor = connectSuccessor();
        assertEquals(1, successor.link.peerCount());
        assertTrue(successor.link.awaitsPeerState());
        send(successor.predecessor, "elder-greeting.bin");
        net.until("the complete state", () -> !successor.link.awaitsPeerState());
        assertEquals(
                List.of("call standby", "learned " + new String(recordedPiece(), StandardCharsets.UTF_8)),
                successor.process.delivered);
        assertFalse(successor.link.hasSuccessor(), "the predecessor was taken for a successor");
    }

    @Test
    void readyIsSentWithTheRecordedBytesAndTheRecordedAnswerAcknowledgesIt() throws IOException {
        Successor successor = connectSuccessor();
        send(successor.predecessor, "elder-greeting.bin");
        net.until("the complete state", () -> !successor.link.awaitsPeerState());
        successor.link.ready();
        assertReceived("younger-ready.bin", successor.predecessor);
        assertTrue(successor.link.awaitsReadyAcknowledgement());
        send(successor.predecessor, "elder-seen.bin");
        net.until("the acknowledgement", () -> !successor.link.awaitsReadyAcknowledgement());
    }

    @Test
    void recordedCallAndCallbackAreDelivered() throws IOException {
        Successor successor = connectSuccessor();
        send(successor.predecessor, "elder-call.bin");
        send(successor.predecessor, "elder-event.bin");
        net.until("the call and the callback", () -> successor.process.delivered.size() == 2);
        assertEquals(
                List.of("call maint-on s-17", "callback {\"id\":\"job-1\",\"type\":\"done\",\"result\":\"ok\"}"),
                successor.process.delivered);
        assertTrue(successor.link.awaitsPeerState(), "neither frame completes the state");
    }

    /** All frames arrive in one stream, split after every byte. */
    @Test
    void recordedFramesAreDeliveredWhenSplitAtEveryByte() throws IOException {
        Successor successor = connectSuccessor();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String each : List.of("elder-greeting.bin", "elder-seen.bin", "elder-call.bin", "elder-event.bin")) {
            all.write(Recordings.read(each));
        }
        for (byte each : all.toByteArray()) {
            successor.predecessor.write(ByteBuffer.wrap(new byte[] {each}));
            net.loop.turn(0);
        }
        net.until("all four deliveries", () -> successor.process.delivered.size() == 4);
        assertEquals(
                List.of(
                        "call standby",
                        "learned " + new String(recordedPiece(), StandardCharsets.UTF_8),
                        "call maint-on s-17",
                        "callback {\"id\":\"job-1\",\"type\":\"done\",\"result\":\"ok\"}"),
                successor.process.delivered);
        assertFalse(successor.link.awaitsPeerState());
        assertFalse(successor.link.awaitsReadyAcknowledgement());
    }

    @Test
    void everyFrameOfThePredecessorIsSentWithTheRecordedBytes() throws IOException {
        RecordingProcess process = new RecordingProcess();
        process.learnedPiece = recordedPiece();
        List<HandoverLink> link = new ArrayList<>();
        SocketChannel successor = connectToPredecessor(process, link);
        assertReceived("elder-greeting.bin", successor);
        assertEquals(List.of("peers changed"), process.delivered);
        assertFalse(link.get(0).hasSuccessor());
        send(successor, "younger-ready.bin");
        assertReceived("elder-seen.bin", successor);
        assertTrue(link.get(0).hasSuccessor());
        assertEquals(List.of("peers changed", "peers changed"), process.delivered);
        link.get(0).sendCall("maint-on s-17");
        assertReceived("elder-call.bin", successor);
        byte[] event = " {\"id\":\"job-1\",\"type\":\"done\",\"result\":\"ok\"} ".getBytes(StandardCharsets.UTF_8);
        assertTrue(link.get(0).forwardCallback(event, 1, event.length - 2));
        assertReceived("elder-event.bin", successor);
    }
}
