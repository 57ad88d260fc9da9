package beechseam.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example of a host, in full. */
class EmbeddingTest {
    /** A real host carries out these actions with connections and timers; this one only records them. */
    private static final class Host implements DispatchActions {
        final List<String> actions = new ArrayList<>();

        @Override
        public void send(long job, long worker, long timeoutNs) {
            actions.add("send job " + job + " to worker " + worker);
        }

        @Override
        public void cancel(long job, int attempt) {
            actions.add("cancel");
        }

        @Override
        public void shed(long job, long retryAfterNs) {
            actions.add("shed job " + job);
        }

        @Override
        public void fail(long job) {
            actions.add("fail job " + job);
        }

        @Override
        public void healthCheck(long worker) {
            actions.add("health check");
        }

        @Override
        public void scheduleTimer(long delayNs, long tag) {
            // a real host sets a timer here that calls timerFired
        }

        @Override
        public void watchEndpoints() {
            actions.add("watch");
        }

        @Override
        public void log(String text) {
            actions.add("log");
        }
    }

    @Test
    void jobIsSentServedAndForgotten() {
        JobClass mail = new JobClass(
                "mail", 200_000_000L, 2_000_000_000L, 2, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, null);
        DispatchSettings settings = new DispatchSettings(
                List.of(mail),
                new DispatchLimits(3, 1_000_000_000L, true, true, false, true, 0),
                new WorkerRules(1_000_000_000L, 8_000_000_000L, 0.3, 8_000_000_000L, 3, 1_000_000_000L, false),
                LoadReportSource.ANSWERS,
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
        dispatcher.endpointsUpdated(
                now, EndpointUpdate.SNAPSHOT, List.of(new WorkerEndpoint(1, 0, "east", "std", 0, EndpointState.READY)));
        dispatcher.jobArrived(now, new Job(17, 0, 2_000_000_000L, 0, 1, 0));
        dispatcher.attemptStarted(now + 1_000_000, 17, 0);
        dispatcher.attemptEnded(now + 90_000_000, 17, 0, Outcome.SERVED, true, null);
        assertEquals(List.of("send job 17 to worker 1"), host.actions);
    }
}
