package beechseam.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards the encoding of learned state, which processes of other versions write and read. */
class LearnedStateTest {
    @Test
    void entriesKeepTheirNamesOrderAndFigures() {
        LearnedState state = LearnedState.empty();
        state.putFleet(new LearnedState.Fleet(1, 2, 3, 4, 5, true));
        state.putClass("mail", new LearnedState.ClassEntry(1, 2, 3, 4, 5));
        state.putKind("std", new LearnedState.KindEntry(6, 7));
        state.putWorker(12, new LearnedState.WorkerEntry(1, 2, 3, 4, 5, 6));
        state.putSentWhileWarming(12, 1000, List.of(new TimedWork(900, 7), new TimedWork(950, 8)));
        Map<String, double[]> entries = state.entries();
        assertEquals(List.of("", "class mail", "kind std", "worker 12", "cold 12"), List.copyOf(entries.keySet()));
        assertArrayEquals(new double[] {1, 2, 3, 4, 5, 1}, entries.get(""));
        assertArrayEquals(new double[] {1, 2, 3, 4, 5}, entries.get("class mail"));
        assertArrayEquals(new double[] {6, 7}, entries.get("kind std"));
        assertArrayEquals(new double[] {1, 2, 3, 4, 5, 6}, entries.get("worker 12"));
        assertArrayEquals(new double[] {100, 7, 50, 8}, entries.get("cold 12"), "sends are encoded by their ages");
    }

    @Test
    void typedEntriesSurviveTheCodec() {
        LearnedState written = LearnedState.empty();
        LearnedState.Fleet fleet = new LearnedState.Fleet(1, 2, 3, 4, 5, false);
        LearnedState.ClassEntry jobClass = new LearnedState.ClassEntry(1, 2, 3, 4, 5);
        LearnedState.KindEntry kind = new LearnedState.KindEntry(6, 7);
        LearnedState.WorkerEntry worker = new LearnedState.WorkerEntry(1, 2, 3, 4, 5, 6);
        written.putFleet(fleet);
        written.putClass("", jobClass);
        written.putKind("a b", kind);
        written.putWorker(-3, worker);
        written.putSentWhileWarming(-3, 1000, List.of(new TimedWork(900, 7)));
        LearnedState read = new LearnedState(written.entries());
        assertEquals(fleet, read.fleet());
        assertEquals(jobClass, read.jobClass(""));
        assertEquals(kind, read.kind("a b"));
        assertEquals(worker, read.worker(-3));
        assertEquals(
                List.of(new TimedWork(4900, 7)),
                read.sentWhileWarming(-3, 5000),
                "times are converted to the reader's clock");
    }

    @Test
    void absentEntriesAndThoseOfAnotherLengthAreIgnored() {
        LearnedState state = new LearnedState(Map.of(
                "", new double[5], "class c", new double[6], "kind k", new double[0], "worker 1", new double[2]));
        assertNull(state.fleet());
        assertNull(state.jobClass("c"));
        assertNull(state.kind("k"));
        assertNull(state.worker(1));
        assertNull(state.worker(2));
        assertEquals(List.of(), state.sentWhileWarming(1, 0));
    }

    @Test
    void unpairedFigureOfSendsIsIgnored() {
        LearnedState state = new LearnedState(Map.of("cold 1", new double[] {10, 3, 20}));
        assertEquals(List.of(new TimedWork(90, 3)), state.sentWhileWarming(1, 100));
    }
}
