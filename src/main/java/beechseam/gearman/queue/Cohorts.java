package beechseam.gearman.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The workers of one function as a bounded number of egress targets. Workers that are alike (same place, same
 * pace, none in doubt) share a target, a cohort; up to {@code mostTargets} each stands alone. The module
 * chooses the cohort by its effective load; its workers are alike, so the least recently used free one is
 * taken, as the design has it for ties. Joining is O(cohorts), all that happens for a job O(1).
 *
 * @param <W> a worker
 */
public final class Cohorts<W> {
    /**
     * A member whose runs take so much longer or shorter than its cohort's (natural logarithm) is not alike.
     */
    private static final double PACE_GAP = Math.log(1.5);
    /** Runs before a member's pace is believed, and between two looks at it. */
    private static final int RUNS_BETWEEN = 8;
    /** Weight of one run in a pace once there are many. */
    private static final double GAIN = 0.1;
    /** A run moves a pace by no more (natural logarithm): run times are heavy-tailed. */
    private static final double CLIP = 1.5;

    /** Where a worker is. */
    public record Place(String zone, int cell) {}

    /** One egress target. */
    public static final class Cohort<W> {
        public final long id;
        public final Place place;
        /** Whether its members are in doubt; such ones are kept apart. */
        final boolean doubted;

        private final LinkedHashSet<Member<W>> free = new LinkedHashSet<>();
        private int members;
        private int slots;
        private int busy;
        private double pace;
        private int runs;
        /** What the module was last told. */
        public boolean shownReady;

        public boolean shown;
        /** When the module last had a report of its load, by the host's clock. */
        public long reportedAt;

        Cohort(long id, Place place, boolean doubted) {
            this.id = id;
            this.place = place;
            this.doubted = doubted;
        }

        public int members() {
            return members;
        }

        public boolean ready() {
            return !free.isEmpty();
        }

        public int free() {
            return free.size();
        }

        /** Slots of its members together. */
        public int slots() {
            return slots;
        }

        /** Jobs that its members hold, of whatever function. */
        public int busy() {
            return busy;
        }
    }

    /** A worker's place among those that can do this function. */
    public static final class Member<W> {
        public final W worker;
        private Cohort<W> cohort;
        private boolean free;
        private boolean doubted;
        private int slots = 1;
        private int busy;
        private double pace;
        private int runs;
        private int errors;

        Member(W worker) {
            this.worker = worker;
        }

        public Cohort<W> cohort() {
            return cohort;
        }

        public boolean free() {
            return free;
        }
    }

    private final int mostTargets;
    private final Map<Long, Cohort<W>> cohorts = new LinkedHashMap<>();
    private final List<Cohort<W>> emptied = new ArrayList<>();
    private long lastId;
    private int free;
    private final Set<Member<W>> everyone = new LinkedHashSet<>();
    private double meanLog;
    private long runs;

    /** @param mostTargets cohorts that workers may be spread over before they share; at least 1 */
    public Cohorts(int mostTargets) {
        this.mostTargets = mostTargets;
    }

    /** Free workers, whichever cohort they are of. */
    public int free() {
        return free;
    }

    /** Workers, free or not. */
    public int members() {
        return everyone.size();
    }

    /** All workers, in the order in which they joined. */
    public Collection<Member<W>> everyone() {
        return everyone;
    }

    public Collection<Cohort<W>> all() {
        return cohorts.values();
    }

    /** The cohort of an id, or null when it is gone. */
    public Cohort<W> find(long id) {
        return cohorts.get(id);
    }

    /** Cohorts that have lost their last member since the last call. */
    public List<Cohort<W>> takeEmptied() {
        if (emptied.isEmpty()) {
            return List.of();
        }
        List<Cohort<W>> all = List.copyOf(emptied);
        emptied.clear();
        return all;
    }

    /** A worker that can do the function from now on; it is not free yet. */
    public Member<W> join(W worker, Place place) {
        Member<W> m = new Member<>(worker);
        everyone.add(m);
        enter(m, place);
        return m;
    }

    public void leave(Member<W> m) {
        free(m, false);
        exit(m);
        everyone.remove(m);
    }

    /** It is elsewhere from now on. */
    public void moved(Member<W> m, Place place) {
        if (!m.cohort.place.equals(place)) {
            move(m, place);
        }
    }

    private void move(Member<W> m, Place place) {
        boolean was = m.free;
        free(m, false);
        exit(m);
        enter(m, place);
        free(m, was);
    }

    private void enter(Member<W> m, Place place) {
        Cohort<W> best = null;
        if (cohorts.size() >= mostTargets) {
            for (Cohort<W> each : cohorts.values()) {
                if (each.place.equals(place) && each.doubted == m.doubted && (best == null || less(m, each, best))) {
                    best = each;
                }
            }
        }
        if (best == null) { // a place that is new, or doubt, gets a target of its own even over the bound
            best = new Cohort<>(++lastId, place, m.doubted);
            best.pace = m.pace;
            cohorts.put(best.id, best);
        }
        m.cohort = best;
        best.members++;
        best.slots += m.slots;
        best.busy += m.busy;
    }

    /** Nearer in pace, by whole steps of the gap; of those equally near the smaller. */
    private boolean less(Member<W> m, Cohort<W> a, Cohort<W> b) {
        long offA = Math.round(Math.abs(a.pace - m.pace) / PACE_GAP);
        long offB = Math.round(Math.abs(b.pace - m.pace) / PACE_GAP);
        return offA != offB ? offA < offB : a.members < b.members;
    }

    private void exit(Member<W> m) {
        Cohort<W> c = m.cohort;
        c.members--;
        c.slots -= m.slots;
        c.busy -= m.busy;
        if (c.members == 0) {
            cohorts.remove(c.id);
            emptied.add(c);
        }
    }

    /** Whether the worker may be given a job now; the one that became free first is used first. */
    public void free(Member<W> m, boolean on) {
        if (m.free != on) {
            m.free = on;
            free += on ? 1 : -1;
            if (on) {
                m.cohort.free.add(m);
            } else {
                m.cohort.free.remove(m);
            }
        }
    }

    /** What it holds and can hold, in jobs of whatever function. */
    public void load(Member<W> m, int busy, int slots) {
        m.cohort.busy += busy - m.busy;
        m.cohort.slots += slots - m.slots;
        m.busy = busy;
        m.slots = slots;
    }

    /** The least recently used free worker of a cohort, or null. */
    public W pick(Cohort<W> c) {
        return c.free.isEmpty() ? null : c.free.iterator().next().worker;
    }

    /**
     * A run has ended well: its time tells the worker's pace, and one that is no longer alike moves. The
     * member's own runs against the function's, since jobs of one function are what can be compared.
     */
    public void ran(Member<W> m, long runNs) {
        double log = Math.log(Math.max(1, runNs));
        runs++;
        meanLog += (log - meanLog) * Math.max(0.01, 1.0 / runs);
        m.runs++;
        m.errors = 0;
        double off = Math.max(-CLIP, Math.min(CLIP, log - meanLog - m.pace));
        m.pace += off * Math.max(GAIN, 1.0 / (m.runs + 1));
        Cohort<W> c = m.cohort;
        c.runs++;
        c.pace += (m.pace - c.pace) * Math.max(GAIN, 1.0 / c.runs);
        boolean misfit = c.members > 1 && m.runs % RUNS_BETWEEN == 0 && Math.abs(m.pace - c.pace) > PACE_GAP;
        if (misfit || m.doubted) {
            m.doubted = false;
            if (misfit && better(m) || c.doubted) {
                move(m, c.place);
            }
        }
    }

    /** Whether another cohort of the place is nearer, or one more may be made. */
    private boolean better(Member<W> m) {
        for (Cohort<W> each : cohorts.values()) {
            if (each != m.cohort
                    && each.place.equals(m.cohort.place)
                    && !each.doubted
                    && Math.abs(each.pace - m.pace) < PACE_GAP) {
                return true;
            }
        }
        return cohorts.size() < mostTargets;
    }

    /**
     * It did not come when called, or ran out of time: apart from those alike, so that the module's doubt
     * falls on it and not on them. Alone in its cohort it stays where it is.
     */
    public void troubled(Member<W> m) {
        if (!m.doubted && m.cohort.members > 1) {
            m.doubted = true;
            move(m, m.cohort.place);
        }
    }

    /** A job failed there; one failure tells of the job, three in a row of the worker. */
    public void failed(Member<W> m) {
        if (++m.errors >= 3) {
            m.errors = 0;
            troubled(m);
        }
    }
}
