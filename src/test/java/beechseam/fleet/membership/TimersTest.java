package beechseam.fleet.membership;

import static org.junit.jupiter.api.Assertions.*;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Order of scheduled tasks. */
class TimersTest {
    private final Timers timers = new Timers(0);
    private final List<String> ran = new ArrayList<>();

    @Test
    void tasksOfOneTimeRunInTheOrderOfScheduling() {
        timers.at(5, () -> ran.add("second"));
        timers.at(3, () -> ran.add("first"));
        timers.at(5, () -> {
            ran.add("third");
            timers.after(0, () -> ran.add("fourth"));
        });
        timers.at(6, () -> ran.add("later"));
        timers.advanceTo(5);
        timers.runDue();
        assertEquals(List.of("first", "second", "third", "fourth"), ran);
        assertEquals(6, timers.nextDueNs());
    }

    @Test
    void cancelledAndRescheduledTasksDoNotRunAtTheirOldTime() {
        timers.at(1, () -> ran.add("cancelled")).cancel();
        timers.reschedule(timers.at(2, () -> ran.add("moved")), 4);
        assertEquals(4, timers.nextDueNs());
        timers.advanceTo(3);
        timers.runDue();
        assertEquals(List.of(), ran);
        timers.advanceTo(4);
        timers.runDue();
        assertEquals(List.of("moved"), ran);
        assertEquals(Long.MAX_VALUE, timers.nextDueNs());
    }
}
