package beechseam.ops;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The link between two processes of a node, with as much learned state as a large fleet makes. */
class HandoverLinkTest {
    private static final int PIECES = 40;

    private final Loopback net = new Loopback();

    /** Records the sizes of the pieces it gets, and hands over pieces of the largest size. */
    private static final class TestProcess implements HandoverLink.Process {
        private final List<Integer> receivedBytes = new ArrayList<>();

        @Override
        public Iterable<String> currentState() {
            return List.of();
        }

        @Override
        public Iterable<byte[]> learnedState() {
            List<byte[]> pieces = new ArrayList<>();
            for (int i = 0; i < PIECES; i++) {
                pieces.add(new byte[HandoverLink.MAX_PIECE_BYTES]);
            }
            return pieces;
        }

        @Override
        public void learnedStateReceived(ByteBuffer piece) {
            receivedBytes.add(piece.remaining());
        }

        @Override
        public void callReceived(String line) {}

        @Override
        public void callbackReceived(ByteBuffer body) {}

        @Override
        public void peersChanged() {}
    }

    @AfterEach
    void close() {
        net.close();
    }

    /** All of it is queued before the successor has read a byte: 5 MB here. */
    @Test
    void learnedStateMayExceedTheWriteLimit(@TempDir Path directory) {
        HandoverLink predecessor = new HandoverLink(net.loop, directory, "n", new TestProcess());
        TestProcess successor = new TestProcess();
        HandoverLink link = new HandoverLink(net.loop, directory, "n", successor);
        net.until("the whole state", () -> !link.awaitsPeerState());
        assertEquals(PIECES, successor.receivedBytes.size());
        assertTrue(successor.receivedBytes.stream().allMatch(each -> each == HandoverLink.MAX_PIECE_BYTES));
        assertEquals(1, link.peerCount());
        predecessor.close();
        link.close();
    }
}
