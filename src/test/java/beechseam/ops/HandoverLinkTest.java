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

/** Tests the link between two processes of a node with the amount of learned state of a large fleet. */
class HandoverLinkTest {
    private static final int PIECES = 40;

    private final Loopback net = new Loopback();

    /** Hands over pieces of the largest size, and records the sizes of the pieces that it receives. */
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

    /** All learned state, here 5 MB, is queued before the successor has read a byte; the connection must stay open. */
    @Test
    void learnedStateMayExceedTheWriteLimit(@TempDir Path directory) {
        HandoverLink predecessorLink = new HandoverLink(net.loop, directory, "n", new TestProcess());
        TestProcess successor = new TestProcess();
        HandoverLink successorLink = new HandoverLink(net.loop, directory, "n", successor);
        net.until("the complete state", () -> !successorLink.awaitsPeerState());
        assertEquals(PIECES, successor.receivedBytes.size());
        assertTrue(successor.receivedBytes.stream().allMatch(each -> each == HandoverLink.MAX_PIECE_BYTES));
        assertEquals(1, successorLink.peerCount());
        predecessorLink.close();
        successorLink.close();
    }
}
