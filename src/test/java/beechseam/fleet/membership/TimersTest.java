package beechseam.fleet.membership;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which scheduled tasks run, cancellation and rescheduling. */
class TimersTest {
    private final Timers timers = new Timers(0);
    private final List<String> completed = new ArrayList<>();

    @Test
    void tasksDueAtTheSameTimeRunInSchedulingOrder() {
        timers.at(5, () -> completed.add("second"));
        timers.at(3, () -> completed.add("first"));
        timers.at(5, () -> {
            completed.add("third");
            timers.after(0, () -> completed.add("fourth"));
        });
        timers.at(6, () -> completed.add("later"));
        timers.advanceTo(5);
        timers.runDue();
        assertEquals(List.of("first", "second", "third", "fourth"), completed);
        assertEquals(6, timers.nextDueNs());
    }

    @Test
    void cancelledAndRescheduledTasksDoNotRunAtTheirOldTime() {
        timers.at(1, () -> completed.add("cancelled")).cancel();
        timers.reschedule(timers.at(2, () -> completed.add("moved")), 4);
        assertEquals(4, timers.nextDueNs());
        timers.advanceTo(3);
        timers.runDue();
        assertEquals(List.of(), completed);
        timers.advanceTo(4);
        timers.runDue();
        assertEquals(List.of("moved"), completed);
        assertEquals(Long.MAX_VALUE, timers.nextDueNs());
    }
}
