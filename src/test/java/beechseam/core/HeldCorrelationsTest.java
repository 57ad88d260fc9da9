package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import org.junit.jupiter.api.Test;

class HeldCorrelationsTest {
    private static final long HOLD_NS = 100;

    private final HeldCorrelations held = new HeldCorrelations();

    @Test
    void nothingIsHeldWithoutADuration() {
        held.hold("a", 0);
        assertFalse(held.isHeld("a", 0));
    }

    @Test
    void idIsHeldForTheDurationAndLongerIfHeldAgain() {
        held.setDuration(HOLD_NS);
        held.hold("a", 0);
        held.hold("b", 10);
        held.hold("a", 50);
        assertTrue(held.isHeld("b", 109));
        assertFalse(held.isHeld("b", 110));
        assertEquals(List.of("a"), held.all(149));
        assertFalse(held.isHeld("a", 150));
    }

    @Test
    void latestIdsAreHeldAtTheBound() {
        held.setDuration(HOLD_NS);
        int bound = 20_000;
        for (int i = 0; i <= bound; i++) {
            held.hold("id-" + i, 0);
        }
        assertFalse(held.isHeld("id-0", 0));
        assertTrue(held.isHeld("id-1", 0));
        assertTrue(held.isHeld("id-" + bound, 0));
        assertEquals(bound, held.all(0).size());
    }
}
