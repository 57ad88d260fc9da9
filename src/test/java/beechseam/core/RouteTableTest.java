package beechseam.core;

import static org.junit.jupiter.api.Assertions.*;

import beechseam.dispatch.EndpointState;
import beechseam.dispatch.EndpointUpdate;
import beechseam.dispatch.WorkerEndpoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class RouteTableTest {
    /** With lists, changes and maintenance in any order, a target in maintenance never counts as ready. */
    @Property(seed = "77", tries = 200)
    void maintenanceOverridesListedStateUnderRandomUpdates(@ForAll long seed) {
        Random random = new Random(seed);
        RouteTable table = new RouteTable();
        Map<Long, WorkerEndpoint> effective = new HashMap<>(); // as reported to the dispatcher
        Map<Long, EndpointState> listed = new HashMap<>();
        Map<Long, Long> returnedAt = new HashMap<>();
        Set<Long> inMaintenance = new HashSet<>();
        for (int step = 1; step < 60; step++) {
            long id = random.nextInt(4);
            if (random.nextBoolean()) {
                boolean snapshot = random.nextInt(3) == 0;
                List<WorkerEndpoint> entries = new ArrayList<>();
                if (snapshot) {
                    listed.clear();
                    effective.clear();
                }
                for (long each = 0; each < 4; each++) {
                    EndpointState state = EndpointState.values()[random.nextInt(snapshot ? 2 : 3)];
                    if (random.nextBoolean()) {
                        entries.add(new WorkerEndpoint(each, 1, "z", "k", random.nextInt(60), state));
                        listed.put(each, state);
                    }
                }
                listed.values().removeIf(state -> state == EndpointState.REMOVED);
                table.apply(snapshot ? EndpointUpdate.SNAPSHOT : EndpointUpdate.DELTA, entries)
                        .forEach(each -> effective.put(each.id(), each));
            } else {
                boolean maintenance = random.nextBoolean();
                if (maintenance ? inMaintenance.add(id) : inMaintenance.remove(id)) {
                    returnedAt.put(id, maintenance ? 0L : step);
                    WorkerEndpoint entry = table.setMaintenance(id, maintenance, step);
                    assertEquals(listed.containsKey(id), entry != null);
                    if (entry != null) {
                        effective.put(id, entry);
                    }
                }
            }
            for (long each = 0; each < 4; each++) {
                boolean ready = listed.get(each) == EndpointState.READY && !inMaintenance.contains(each);
                assertEquals(ready, table.acceptsNewWork(each));
                WorkerEndpoint reported = effective.get(each);
                assertEquals(ready, reported != null && reported.state() == EndpointState.READY);
                // The target may have restarted while in maintenance, whatever start time its entry has.
                assertTrue(!ready || reported.startedNs() >= returnedAt.getOrDefault(each, 0L));
            }
        }
    }
}
