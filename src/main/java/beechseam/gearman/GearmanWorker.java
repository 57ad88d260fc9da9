package beechseam.gearman;

import beechseam.config.GearmanConfig.Place;
import beechseam.core.Hop;
import beechseam.core.Timer;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The worker's side of a connection. To the module it is one egress target for each function it can do, all
 * of them out of service while it holds a job: it may do several functions, yet holds one job.
 */
final class GearmanWorker {
    final long number;
    final GearmanConnection connection;
    /** Functions by name, with the seconds that a job may take (0: no limit). */
    final Map<String, Integer> abilities = new LinkedHashMap<>();
    /** Hops that wait for it to ask; they have not begun. */
    final ArrayDeque<Hop> parked = new ArrayDeque<>();
    Place place;
    /** It has asked for work since its last job, and waits or sleeps. */
    boolean asked;
    boolean asleep;
    /** What it holds, also once nobody waits for it any more: only the worker can end that. */
    Hop running;
    Timer limit;
    Timer grab;
    /** Whether the module was last told that it is free. */
    boolean shownFree;

    GearmanWorker(long number, GearmanConnection connection, Place place) {
        this.number = number;
        this.connection = connection;
        this.place = place;
    }

    boolean free() {
        return asked && running == null && parked.isEmpty() && !connection.closed();
    }
}
