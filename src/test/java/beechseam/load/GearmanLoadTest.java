package beechseam.load;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.load.GearmanLoad.Row;
import beechseam.load.GearmanLoad.Scenario;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Short runs of the load scenarios: checks what they count, not the performance that they measure. */
class GearmanLoadTest {
    private final GearmanLoad load = new GearmanLoad(0.1, List.of("-Xmx512m"), text -> {});

    /** Misbehaving clients and workers, driven by a seed: every accepted job must end exactly once. */
    @Test
    void everyAcceptedJobEndsDespiteFaults() throws Exception {
        Row row = load.play(Scenario.FAULTS, List.of(400)).get(0);
        assertEquals(0, row.figures().get("wrong"), () -> "" + row.figures());
        assertEquals(row.figures().get("accepted"), row.figures().get("ended"));
        assertTrue((Integer) row.figures().get("workers_lost") > 0);
        assertTrue((Long) row.figures().get("served") > 0);
    }

    /** Dispatches to workers that serve, fail, are full, are slow or never answer, driven by a seed. */
    @Test
    @Timeout(120)
    void everyDispatchIsAccountedFor() throws Exception {
        LibraryLoad library = new LibraryLoad(text -> {});
        var accounts = library.accounts(20_000, 8, 32, 4730);
        assertEquals(0L, ((Number) accounts.get("wrong")).longValue(), accounts::toString);
        assertTrue((Long) accounts.get("served") > 19_000, accounts::toString);
        assertTrue((Long) accounts.get("failed") > 0, accounts::toString);
        assertTrue(((Number) library.overhead(200).get("median_us")).doubleValue() > 0);
    }

    @Test
    void memoryPerQueuedJobIsMeasuredAndServerStops() throws Exception {
        Row memory = load.play(Scenario.MEMORY, List.of(20_000)).get(0);
        long bytes = ((Number) memory.figures().get("bytes_per_job")).longValue();
        assertTrue(bytes > 100 && bytes < 1200, "bytes per job: " + bytes);
        Row stop = load.play(Scenario.STOP, List.of(5_000)).get(0);
        assertTrue(((Number) stop.figures().get("ms_to_end")).longValue() < 20_000);
    }
}
