package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.net.TimerQueue;
import org.junit.jupiter.api.Test;

class RequestTableTest {
    private final TimerQueue timers = new TimerQueue();
    private final RequestTable table = new RequestTable(timers);

    private Request add(long id, String correlation) {
        Request request = new Request(id, correlation, 0, 1000, null, null);
        request.deadline = Timer.running(() -> fail("the deadline of a finished request fired"));
        timers.set(request.deadline, 1000);
        table.add(request);
        return request;
    }

    @Test
    void requestStaysUntilItIsFinishedAndNoAttemptIsInFlight() {
        Request request = add(1, "a");
        table.removeIfSettled(request);
        assertSame(request, table.find("a"), "the request has no final answer yet");
        request.attemptsInFlight = 1;
        table.finish(request);
        table.removeIfSettled(request);
        assertSame(request, table.find(1));
        assertNull(table.findUnfinished(1));
        request.attemptsInFlight = 0;
        table.removeIfSettled(request);
        assertNull(table.find(1));
        assertNull(table.find("a"));
        assertEquals(0, table.size());
    }

    @Test
    void finishCancelsTheDeadline() {
        Request request = add(1, "a");
        assertSame(request, table.findUnfinished(1));
        table.finish(request);
        assertFalse(request.deadline.armed());
        assertNull(timers.due(2000));
    }
}
