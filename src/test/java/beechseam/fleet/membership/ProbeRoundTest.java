package beechseam.fleet.membership;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that each member that is up is probed once per round, and members that are down are not probed. */
class ProbeRoundTest {
    private static final int MEMBERS = 20;

    @Test
    void eachRoundVisitsEveryMemberThatIsUpOnce() {
        ProbeRound round = new ProbeRound(new Random(1));
        List<MemberEntry> up = new ArrayList<>();
        assertNull(round.next(up));
        for (int i = 0; i < MEMBERS; i++) {
            MemberEntry entry = new MemberEntry();
            entry.upIndex = i;
            up.add(entry);
            round.add(entry);
        }
        for (int pass = 0; pass < 3; pass++) {
            Set<MemberEntry> visited = new HashSet<>();
            for (int i = 0; i < MEMBERS; i++) {
                visited.add(round.next(up));
            }
            assertEquals(Set.copyOf(up), visited);
        }
        MemberEntry down = up.remove(MEMBERS - 1);
        down.upIndex = MemberEntry.NOT_UP;
        for (int i = 0; i < 2 * MEMBERS; i++) {
            assertNotSame(down, round.next(up));
        }
    }
}
