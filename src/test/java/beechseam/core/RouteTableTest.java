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
    /** Lists, changes and operators' words in any order: a target left out never shows as ready. */
    @Property(seed = "77", tries = 200)
    void whatOperatorsSayHoldsWhateverIsListed(@ForAll long seed) {
        Random random = new Random(seed);
        RouteTable table = new RouteTable();
        Map<Long, WorkerEndpoint> shown = new HashMap<>(); // as the module is told
        Map<Long, EndpointState> listed = new HashMap<>();
        Map<Long, Long> back = new HashMap<>();
        Set<Long> out = new HashSet<>();
        for (int step = 1; step < 60; step++) {
            long id = random.nextInt(4);
            if (random.nextBoolean()) {
                boolean full = random.nextInt(3) == 0;
                List<WorkerEndpoint> lines = new ArrayList<>();
                if (full) {
                    listed.clear();
                    shown.clear();
                }
                for (long each = 0; each < 4; each++) {
                    EndpointState state = EndpointState.values()[random.nextInt(full ? 2 : 3)];
                    if (random.nextBoolean()) {
                        lines.add(new WorkerEndpoint(each, 1, "z", "k", random.nextInt(60), state));
                        listed.put(each, state);
                    }
                }
                listed.values().removeIf(state -> state == EndpointState.REMOVED);
                table.apply(full ? EndpointUpdate.SNAPSHOT : EndpointUpdate.DELTA, lines)
                        .forEach(each -> shown.put(each.id(), each));
            } else {
                boolean leaveOut = random.nextBoolean();
                if (leaveOut ? out.add(id) : out.remove(id)) {
                    back.put(id, leaveOut ? 0L : step);
                    WorkerEndpoint row = table.setMaintenance(id, leaveOut, step);
                    assertEquals(listed.containsKey(id), row != null);
                    if (row != null) {
                        shown.put(id, row);
                    }
                }
            }
            for (long each = 0; each < 4; each++) {
                boolean serves = listed.get(each) == EndpointState.READY && !out.contains(each);
                assertEquals(serves, table.acceptsNewWork(each));
                WorkerEndpoint told = shown.get(each);
                assertEquals(serves, told != null && told.state() == EndpointState.READY);
                // It may have restarted while it was out, whatever its row says of that.
                assertTrue(!serves || told.startedNs() >= back.getOrDefault(each, 0L));
            }
        }
    }
}
