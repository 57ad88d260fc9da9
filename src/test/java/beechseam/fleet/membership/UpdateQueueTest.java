package beechseam.fleet.membership;

import static org.junit.jupiter.api.Assertions.*;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the order, size limit and retransmit limit of queued gossip updates. */
class UpdateQueueTest {
    private static final int UNLIMITED_BYTES = 1_000_000;

    private final UpdateQueue queue = new UpdateQueue();

    private static Member member(String name) {
        return new Member(name, "host:1", 1, 1, 1, MemberStatus.ALIVE, "", Map.of());
    }

    private MemberEntry enqueue(String name) {
        MemberEntry entry = new MemberEntry();
        queue.enqueue(entry, member(name));
        return entry;
    }

    private List<String> take(int maxBytes, int retransmitLimit) {
        return queue.take(maxBytes, retransmitLimit).stream().map(Member::name).toList();
    }

    @Test
    void leastSentUpdatesComeFirstAndNewestAmongEqualCounts() {
        enqueue("a");
        enqueue("b");
        assertEquals(List.of("b", "a"), take(UNLIMITED_BYTES, 9));
        enqueue("c");
        assertEquals(List.of("c"), take(1, 9));
        enqueue("d");
        assertEquals(List.of("d", "c", "b", "a"), take(UNLIMITED_BYTES, 9));
        assertEquals(
                List.of("d", "c", "b", "a"), take(UNLIMITED_BYTES, 9), "they were sent 1, 2, 2 and 2 times before");
    }

    @Test
    void updateIsDroppedAtTheRetransmitLimit() {
        enqueue("a");
        assertEquals(List.of("a"), take(UNLIMITED_BYTES, 2));
        assertFalse(queue.isEmpty());
        assertEquals(List.of("a"), take(UNLIMITED_BYTES, 2));
        assertTrue(queue.isEmpty());
        assertEquals(List.of(), take(UNLIMITED_BYTES, 2));
    }

    @Test
    void newUpdateReplacesQueuedUpdateOfSameMember() {
        MemberEntry entry = enqueue("a");
        take(UNLIMITED_BYTES, 9);
        Member suspect = member("a").withStatus(MemberStatus.SUSPECT, "b");
        queue.enqueue(entry, suspect);
        assertEquals(List.of(suspect), queue.take(UNLIMITED_BYTES, 9));
    }

    @Test
    void messageEndsWithTheUpdateThatReachesTheByteLimit() {
        enqueue("a");
        enqueue("b");
        enqueue("c");
        int updateBytes = member("a").approximateBytes();
        assertEquals(List.of("c"), take(updateBytes, 9));
        assertEquals(List.of("b", "a"), take(updateBytes + 1, 9));
    }
}
