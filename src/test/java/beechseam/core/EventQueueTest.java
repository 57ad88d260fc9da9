package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventQueueTest {
    private final Counters counters = new Counters();
    private final EventQueue events = new EventQueue(counters);
    private final List<String> order = new ArrayList<>();

    @Test
    void eventSubmittedWithinAnotherRunsAfterItInOrderOfArrival() {
        events.submit(() -> {
            events.submit(() -> {
                order.add("second");
                events.submit(() -> order.add("fourth"));
            });
            events.submit(() -> order.add("third"));
            order.add("first");
        });
        assertEquals(List.of("first", "second", "third", "fourth"), order);
    }

    @Test
    void exceptionOfAnEventIsCountedAndTheNextEventRuns() {
        events.submit(() -> {
            events.submit(() -> order.add("next"));
            throw new IllegalStateException("thrown by the test");
        });
        assertEquals(List.of("next"), order);
        assertEquals(1, counters.faults);
        events.submit(() -> order.add("later"));
        assertEquals(List.of("next", "later"), order);
    }

    @Test
    void eventsQueuedDuringCreationRunAfterTheNextOne() {
        String created = events.createWithEventsQueued(() -> {
            events.submit(() -> order.add("queued"));
            return "created";
        });
        assertEquals("created", created);
        assertTrue(order.isEmpty());
        events.submit(() -> order.add("next"));
        assertEquals(List.of("next", "queued"), order);
    }
}
