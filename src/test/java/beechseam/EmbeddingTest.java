package beechseam;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beechseam.Dispatching.*;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example of a host, whole. */
class EmbeddingTest {
    /** A host keeps connections and timers behind these; here it only notes what it was asked. */
    private static final class Host implements Actions {
        final List<String> asked = new ArrayList<>();

        @Override
        public void send(long job, long worker, long timeoutNs) {
            asked.add("send job " + job + " to worker " + worker);
        }

        @Override
        public void cancel(long job, int attempt) {
            asked.add("cancel");
        }

        @Override
        public void refuse(long job, long pauseNs) {
            asked.add("refuse job " + job);
        }

        @Override
        public void fail(long job) {
            asked.add("fail job " + job);
        }

        @Override
        public void probe(long worker) {
            asked.add("probe");
        }

        @Override
        public void wakeIn(long offsetNs, long tag) {
            // a host sets a timer here that calls wake
        }

        @Override
        public void watchList() {
            asked.add("watch");
        }

        @Override
        public void log(String text) {
            asked.add("log");
        }
    }

    @Test
    void aJobIsSentServedAndForgotten() {
        JobClass mail = new JobClass("mail", 200_000_000L, 2_000_000_000L, 2, 1, 0, Effect.SAFE, Group.ALL, 0, null);
        Settings settings = new Settings(
                List.of(mail),
                new Limits(3, 1_000_000_000L, true, true, false, true, 0),
                new Rules(1_000_000_000L, 8_000_000_000L, 0.3, 8_000_000_000L, 3, 1_000_000_000L, false),
                Reports.ANSWERS,
                false,
                1,
                0,
                "east",
                true,
                1_000_000_000L,
                0,
                0,
                0,
                false);
        Host host = new Host();
        long now = 5_000_000_000L;
        Dispatcher dispatcher = new Dispatcher(now, settings, 42, host);
        dispatcher.list(now, ListForm.FULL, List.of(new Worker(1, 0, "east", "std", 0, State.READY)));
        dispatcher.job(now, new Job(17, 0, 2_000_000_000L, 0, 1, 0));
        dispatcher.started(now + 1_000_000, 17, 0);
        dispatcher.ended(now + 90_000_000, 17, 0, Outcome.SERVED, true, null);
        assertEquals(List.of("send job 17 to worker 1"), host.asked);
    }
}
