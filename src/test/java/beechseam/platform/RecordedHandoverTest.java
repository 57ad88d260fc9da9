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
 * During an upgrade a process talks to one of the version before. Here the other side is a plain Unix socket that
 * says, byte for byte, what a process of 16ef30c said, and expects the bytes that one sent.
 */
class RecordedHandoverTest {
    private static final String NODE = "n";
    /** The greeting's frames: CALL "standby", one LEARNED, WELCOME. */
    private static final int CALL_FRAME_BYTES = 5 + "standby".length();

    private static final int WELCOME_FRAME_BYTES = 5;

    @TempDir
    private Path directory;

    private final Loopback net = new Loopback();
    private final List<AutoCloseable> open = new ArrayList<>();

    /** Notes in order what the link delivers; greets as the recorded process did. */
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

    private <T extends AutoCloseable> T closedAtEnd(T resource) {
        open.add(resource);
        return resource;
    }

    /** The body of the greeting's LEARNED frame, cut out by the recorded layout and not by the code under test. */
    static byte[] recordedPiece() throws IOException {
        byte[] greeting = Recordings.read("elder-greeting.bin");
        int header = CALL_FRAME_BYTES;
        int length = ByteBuffer.wrap(greeting).getInt(header + 1);
        assertEquals(greeting.length, header + 5 + length + WELCOME_FRAME_BYTES, "three frames and no more");
        byte[] piece = new byte[length];
        System.arraycopy(greeting, header + 5, piece, 0, length);
        return piece;
    }

    private void say(SocketChannel channel, String recording) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap(Recordings.read(recording));
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    /** Asserts that exactly the recorded bytes come next, and nothing after them. */
    private void assertHeard(String recording, SocketChannel channel) throws IOException {
        byte[] expected = Recordings.read(recording);
        ByteArrayOutputStream heard = new ByteArrayOutputStream();
        net.until(recording, () -> readInto(heard, channel) >= expected.length);
        net.settle(5);
        readInto(heard, channel);
        assertArrayEquals(expected, heard.toByteArray(), recording);
    }

    private static int readInto(ByteArrayOutputStream heard, SocketChannel channel) {
        try {
            ByteBuffer bytes = ByteBuffer.allocate(4096);
            while (channel.read(bytes.clear()) > 0) {
                heard.write(bytes.array(), 0, bytes.position());
            }
            return heard.size();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A link that has dialled a recorded elder. */
    private record Younger(HandoverLink link, SocketChannel elder, RecordingProcess process) {}

    private Younger younger() throws IOException {
        ServerSocketChannel server = closedAtEnd(ServerSocketChannel.open(StandardProtocolFamily.UNIX));
        server.bind(UnixDomainSocketAddress.of(directory.resolve("beechseam-" + NODE + "-1234567.sock")));
        RecordingProcess process = new RecordingProcess();
        HandoverLink link = new HandoverLink(net.loop, directory, NODE, process);
        open.add(link::close);
        SocketChannel elder = closedAtEnd(server.accept());
        elder.configureBlocking(false);
        return new Younger(link, elder, process);
    }

    /** A link that a recorded younger process has dialled. */
    private SocketChannel dialElder(RecordingProcess process, List<HandoverLink> link) throws IOException {
        link.add(new HandoverLink(net.loop, directory, NODE, process));
        open.add(link.get(0)::close);
        Path socket;
        try (var files = Files.list(directory)) {
            socket = files.findFirst().orElseThrow();
        }
        assertTrue(socket.getFileName().toString().matches("beechseam-n-[0-9a-f]{7}\\.sock"), socket.toString());
        SocketChannel younger = closedAtEnd(SocketChannel.open(UnixDomainSocketAddress.of(socket)));
        younger.configureBlocking(false);
        return younger;
    }

    @Test
    void recordedGreetingDeliversStateAndLearnedStateBeforeWelcome() throws IOException {
        Younger younger = younger();
        assertEquals(1, younger.link.peerCount());
        assertTrue(younger.link.awaitsPeerState());
        say(younger.elder, "elder-greeting.bin");
        net.until("the welcome", () -> !younger.link.awaitsPeerState());
        assertEquals(
                List.of("call standby", "learned " + new String(recordedPiece(), StandardCharsets.UTF_8)),
                younger.process.delivered);
        assertFalse(younger.link.hasSuccessor(), "an elder is no successor");
    }

    @Test
    void readyIsSentWithTheRecordedBytesAndTheRecordedAnswerAcknowledgesIt() throws IOException {
        Younger younger = younger();
        say(younger.elder, "elder-greeting.bin");
        net.until("the welcome", () -> !younger.link.awaitsPeerState());
        younger.link.ready();
        assertHeard("younger-ready.bin", younger.elder);
        assertTrue(younger.link.awaitsReadyAcknowledgement());
        say(younger.elder, "elder-seen.bin");
        net.until("the acknowledgement", () -> !younger.link.awaitsReadyAcknowledgement());
    }

    @Test
    void recordedCallAndCallbackAreDelivered() throws IOException {
        Younger younger = younger();
        say(younger.elder, "elder-call.bin");
        say(younger.elder, "elder-event.bin");
        net.until("both", () -> younger.process.delivered.size() == 2);
        assertEquals(
                List.of("call maint-on s-17", "callback {\"id\":\"job-1\",\"type\":\"done\",\"result\":\"ok\"}"),
                younger.process.delivered);
        assertTrue(younger.link.awaitsPeerState(), "neither is a welcome");
    }

    /** All frames in one stream, cut at every byte. */
    @Test
    void recordedFramesAreDeliveredHoweverTheyAreCut() throws IOException {
        Younger younger = younger();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (String each : List.of("elder-greeting.bin", "elder-seen.bin", "elder-call.bin", "elder-event.bin")) {
            all.write(Recordings.read(each));
        }
        for (byte each : all.toByteArray()) {
            younger.elder.write(ByteBuffer.wrap(new byte[] {each}));
            net.loop.turn(0);
        }
        net.until("all four", () -> younger.process.delivered.size() == 4);
        assertEquals(
                List.of(
                        "call standby",
                        "learned " + new String(recordedPiece(), StandardCharsets.UTF_8),
                        "call maint-on s-17",
                        "callback {\"id\":\"job-1\",\"type\":\"done\",\"result\":\"ok\"}"),
                younger.process.delivered);
        assertFalse(younger.link.awaitsPeerState());
        assertFalse(younger.link.awaitsReadyAcknowledgement());
    }

    @Test
    void everyFrameOfTheElderIsSentWithTheRecordedBytes() throws IOException {
        RecordingProcess process = new RecordingProcess();
        process.learnedPiece = recordedPiece();
        List<HandoverLink> link = new ArrayList<>();
        SocketChannel younger = dialElder(process, link);
        assertHeard("elder-greeting.bin", younger);
        assertEquals(List.of("peers changed"), process.delivered);
        assertFalse(link.get(0).hasSuccessor());
        say(younger, "younger-ready.bin");
        assertHeard("elder-seen.bin", younger);
        assertTrue(link.get(0).hasSuccessor());
        assertEquals(List.of("peers changed", "peers changed"), process.delivered);
        link.get(0).sendCall("maint-on s-17");
        assertHeard("elder-call.bin", younger);
        byte[] event = " {\"id\":\"job-1\",\"type\":\"done\",\"result\":\"ok\"} ".getBytes(StandardCharsets.UTF_8);
        assertTrue(link.get(0).forwardCallback(event, 1, event.length - 2));
        assertHeard("elder-event.bin", younger);
    }
}
