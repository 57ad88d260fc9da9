package beechseam.fleet.membership;

import static org.junit.jupiter.api.Assertions.*;

import org.junit.jupiter.api.Test;

/** Tests the bounds of the local health score and its effect on time-outs. */
class AwarenessTest {
    @Test
    void scoreStaysWithinItsBoundsAndScalesTimeouts() {
        Awareness awareness = new Awareness(true);
        assertEquals(10, awareness.scale(10));
        awareness.adjust(-1);
        assertEquals(0, awareness.score());
        awareness.adjust(3);
        assertEquals(40, awareness.scale(10));
        awareness.adjust(100);
        assertEquals(8, awareness.score());
        assertEquals(90, awareness.scale(10));
    }

    @Test
    void timeoutsAreNotScaledIfLocalHealthIsDisabled() {
        Awareness awareness = new Awareness(false);
        awareness.adjust(5);
        assertEquals(10, awareness.scale(10));
    }
}
