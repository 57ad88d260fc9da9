package beechseam.net;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.Loopback;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConnectionTest {
    /** The first start on the bench crashed here: the discovery client wrote before its connect was done. */
    @Test
    void bytesWrittenBeforeItIsUpWaitForIt() {
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            Loopback.Peer early = net.dial(net.standIn(accepted)).say("early");
            net.until("the bytes", () -> accepted.size() == 1 && accepted.get(0).heard().equals("early"));
            assertFalse(early.gone);
        }
    }

    @Test
    void aRefusedConnectIsLostOnce() {
        try (Loopback net = new Loopback()) {
            List<Loopback.Peer> accepted = new ArrayList<>();
            java.net.InetSocketAddress free;
            try (Loopback other = new Loopback()) {
                free = other.standIn(accepted);
            }
            Loopback.Peer refused = net.dial(free).say("never");
            net.until("the refusal", () -> refused.gone);
            assertTrue(refused.closed());
            assertEquals(5, refused.unwritten(), "none of it has gone out");
        }
    }
}
