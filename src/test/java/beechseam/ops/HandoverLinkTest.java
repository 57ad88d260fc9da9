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

/** The link between two processes of a node, at the size that a large fleet makes of what they hand over. */
class HandoverLinkTest {
    private static final int PIECES = 40;

    private final Loopback net = new Loopback();

    /** Notes what it is told, and hands over pieces of the longest frames. */
    private static final class End implements HandoverLink.Process {
        private final List<Integer> recalled = new ArrayList<>();

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
            recalled.add(piece.remaining());
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

    /** All of it waits at once for a process that has not read a byte yet: 5 MB here. */
    @Test
    void whatIsHandedOverMayBeOfAnySize(@TempDir Path directory) {
        HandoverLink elder = new HandoverLink(net.loop, directory, "n", new End());
        End younger = new End();
        HandoverLink link = new HandoverLink(net.loop, directory, "n", younger);
        net.until("the welcome", () -> !link.awaitsPeerState());
        assertEquals(PIECES, younger.recalled.size());
        assertTrue(younger.recalled.stream().allMatch(each -> each == HandoverLink.MAX_PIECE_BYTES));
        assertEquals(1, link.peerCount());
        elder.close();
        link.close();
    }
}
