package beechseam.load;

import beechseam.config.Json;
import beechseam.config.MemberList;
import beechseam.config.ModuleOptions;
import beechseam.core.Attempt;
import beechseam.core.Counters;
import beechseam.core.Egress;
import beechseam.core.Engine;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.WorkerEndpoint;
import beechseam.net.TimerQueue;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the time that a node needs for one complete list from discovery, by the number of servers: parsing
 * the text, and applying the entries to the route table and the dispatcher.
 */
public final class ListIntake {
    private static final int WARM_UP_LISTS = 30;
    private static final String SETTINGS = "{\"Classes\":[{\"Name\":\"c\",\"AimNs\":100000000,"
            + "\"DeadlineNs\":1000000000,\"Effect\":\"read_like\"}]}";

    /**
     * The results for one list size.
     *
     * @param servers number of entries in the list
     * @param bytes length of the list as JSON text
     * @param readUs median time to parse the text, in microseconds
     * @param takeUs median time to apply the entries, in microseconds
     */
    public record Figures(int servers, int bytes, double readUs, double takeUs) {
        /** Total time per server, in microseconds. */
        public double usPerServer() {
            return (readUs + takeUs) / servers;
        }

        /** Formats the figures as one row of the printed table. */
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT, "%7d %9d %10.0f %10.0f %10.2f", servers, bytes, readUs, takeUs, usPerServer());
        }
    }

    private ListIntake() {}

    /** Measures {@code lists} complete lists of {@code servers} entries each, after uncounted warm-up lists. */
    public static Figures measure(int servers, int lists) throws IOException {
        Engine engine = engine();
        byte[] text = list(servers);
        Histogram reading = new Histogram(3);
        Histogram taking = new Histogram(3);
        for (int i = -WARM_UP_LISTS; i < lists; i++) {
            long start = System.nanoTime();
            MemberList list = MemberList.of((Map<?, ?>) Json.parse(text, 0, text.length), why -> {});
            long read = System.nanoTime();
            engine.updateEndpoints(EndpointUpdate.SNAPSHOT, workers(list));
            long taken = System.nanoTime();
            if (i >= 0) {
                reading.recordValue(read - start);
                taking.recordValue(taken - read);
            }
        }
        return new Figures(servers, text.length, medianUs(reading), medianUs(taking));
    }

    private static double medianUs(Histogram times) {
        return times.getValueAtPercentile(50) / (double) TimeUnit.MICROSECONDS.toNanos(1);
    }

    private static Engine engine() throws IOException {
        byte[] settings = SETTINGS.getBytes(StandardCharsets.UTF_8);
        ModuleOptions options = ModuleOptions.of((Map<?, ?>) Json.parse(settings, 0, settings.length));
        return new Engine(options.settings, 1, System::nanoTime, new TimerQueue(), new NoEgress(), new Counters());
    }

    private static byte[] list(int servers) {
        StringBuilder text = new StringBuilder("{\"version\":1,\"full\":true,\"servers\":[");
        for (int i = 0; i < servers; i++) {
            text.append(i == 0 ? "" : ",")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"id\":\"s-%08x\",\"addr\":\"127.0.%d.%d:8081\",\"zone\":\"z%d\",\"kind\":\"k%d\","
                                    + "\"cell\":%d,\"state\":\"SERVING\",\"weight\":1.0,\"started_ms\":0}",
                            i + 1,
                            i / 250,
                            i % 250 + 1,
                            i % 7,
                            i % 3,
                            i % 40));
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private static List<WorkerEndpoint> workers(MemberList list) {
        List<WorkerEndpoint> workers = new ArrayList<>(list.servers().size());
        for (MemberList.Server each : list.servers()) {
            workers.add(each.worker(Long.parseLong(each.id().substring(2), 16), 0));
        }
        return workers;
    }

    /** An egress that is never asked to send, as no request is accepted. */
    private static final class NoEgress implements Egress {
        @Override
        public void send(Attempt attempt) {
            throw new IllegalStateException("unexpected attempt: the list measurement accepts no requests");
        }

        @Override
        public void cancel(Attempt attempt) {
            throw new IllegalStateException("unexpected cancellation: the list measurement accepts no requests");
        }

        @Override
        public void healthCheck(long target) {
            // The dispatcher may check the health of a server as soon as it is listed; no answer is simulated.
        }
    }
}
