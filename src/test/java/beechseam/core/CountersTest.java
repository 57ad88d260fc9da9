package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.Outcome;
import org.junit.jupiter.api.Test;

class CountersTest {
    private static Counters sampleCounters() {
        Counters counters = new Counters();
        counters.requestsAccepted = 100;
        counters.attemptsSent = 2;
        counters.of(0).recordServed();
        counters.of(1).recordServed();
        counters.of(1).recordShed();
        counters.of(2).recordFailed();
        counters.of(2).crowdedOut = 9;
        counters.crowdedOutUnclassified = 5;
        counters.of(0).written = 4;
        counters.clientsDisconnected = 8;
        counters.recordHealthCheck();
        counters.lateCallbacks = 10;
        counters.badInput = 11;
        counters.withheld = 12;
        counters.silent = 13;
        counters.faults = 15;
        counters.recordOutcome(Outcome.SERVED);
        counters.recordOutcome(Outcome.REJECTED);
        counters.recordOutcome(Outcome.REJECTED);
        return counters;
    }

    /** Operators and their tools parse this line: its keys, their order and the format must not change. */
    @Test
    void countersLineHasStableKeysAndOrder() {
        assertEquals(
                "{\"taken\":100,\"sent\":2,\"answered\":4,\"written\":4,\"served\":2,\"shed\":1,\"failed\":1,"
                        + "\"left\":8,\"probes\":1,\"late_callbacks\":10,\"bad_input\":11,"
                        + "\"withheld\":12,\"silent\":13,"
                        + "\"crowded_out\":14,\"faults\":15,\"hops\":{\"served\":1,\"error\":0,\"refused\":2,"
                        + "\"timeout\":0,\"unreachable\":0,\"lost\":0,\"cancelled\":0,\"not_sent\":0}}",
                sampleCounters().toString());
        assertEquals(88, sampleCounters().current());
    }

    @Test
    void addSumsEveryCounterClassByClass() {
        Counters sum = sampleCounters();
        sum.add(sampleCounters());
        assertEquals(
                "{\"taken\":200,\"sent\":4,\"answered\":8,\"written\":8,\"served\":4,\"shed\":2,\"failed\":2,"
                        + "\"left\":16,\"probes\":2,\"late_callbacks\":20,\"bad_input\":22,"
                        + "\"withheld\":24,\"silent\":26,"
                        + "\"crowded_out\":28,\"faults\":30,\"hops\":{\"served\":2,\"error\":0,\"refused\":4,"
                        + "\"timeout\":0,\"unreachable\":0,\"lost\":0,\"cancelled\":0,\"not_sent\":0}}",
                sum.toString());
        assertEquals(2, sum.of(1).answered());
        assertEquals(2, sum.of(1).deferred());
        assertEquals(18, sum.of(2).deferred());
        assertEquals(2, sum.of(2).errored());
    }
}
