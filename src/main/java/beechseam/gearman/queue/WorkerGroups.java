package beechseam.gearman.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The workers of one function as a bounded number of egress targets. Workers that are alike (same location,
 * same pace, none suspected) share a target, a group; up to {@code maxTargets} each has a target of its own.
 * The dispatcher chooses the group by its effective load; its workers are alike, so the least recently used
 * available one is taken, as the design has it for ties. Joining is O(groups), all that happens for a job
 * O(1).
 *
 * @param <W> a worker
 */
public final class WorkerGroups<W> {
    /**
     * A member whose runs take so much longer or shorter than its group's (natural logarithm) is not alike.
     */
    private static final double PACE_GAP = Math.log(1.5);
    /** Runs before a member's pace is compared with its group's, and between two such checks. */
    private static final int RUNS_BETWEEN_CHECKS = 8;
    /** Weight of one run in a pace once there are many. */
    private static final double GAIN = 0.1;
    /** A run moves a pace by no more (natural logarithm): run times are heavy-tailed. */
    private static final double MAX_STEP = 1.5;

    /** Where a worker is. */
    public record Location(String zone, int cell) {}

    /** One egress target. */
    public static final class Group<W> {
        public final long id;
        public final Location location;
        /** Whether its members are suspected; such ones are kept apart. */
        final boolean suspected;

        private final LinkedHashSet<Member<W>> available = new LinkedHashSet<>();
        private int members;
        private int slots;
        private int jobsInFlight;
        private double pace;
        private int runs;
        /** Whether the dispatcher was last told that it is ready. */
        public boolean announcedReady;

        /** Whether the dispatcher knows of it. */
        public boolean announced;
        /** When the dispatcher last had a load report of it, in nanoseconds of the host's clock. */
        public long reportedAtNs;

        Group(long id, Location location, boolean suspected) {
            this.id = id;
            this.location = location;
            this.suspected = suspected;
        }

        /** Workers of the group, available or not. */
        public int members() {
            return members;
        }

        /** Whether any of its workers may be given a job now. */
        public boolean isReady() {
            return !available.isEmpty();
        }

        /** Workers that may be given a job now. */
        public int availableWorkers() {
            return available.size();
        }

        /** Slots of its members together. */
        public int slots() {
            return slots;
        }

        /** Jobs that its members hold, of whatever function. */
        public int jobsInFlight() {
            return jobsInFlight;
        }
    }

    /** A worker as one of those that can do this function. */
    public static final class Member<W> {
        public final W worker;
        private Group<W> group;
        private boolean available;
        private boolean suspected;
        private int slots = 1;
        private int jobsInFlight;
        private double pace;
        private int runs;
        private int errors;

        Member(W worker) {
            this.worker = worker;
        }

        /** The target that it shares now. */
        public Group<W> group() {
            return group;
        }

        /** Whether it may be given a job now. */
        public boolean isAvailable() {
            return available;
        }
    }

    private final int maxTargets;
    private final Map<Long, Group<W>> groups = new LinkedHashMap<>();
    private final List<Group<W>> emptied = new ArrayList<>();
    private long lastId;
    private int available;
    private final Set<Member<W>> members = new LinkedHashSet<>();
    private double meanLog;
    private long runs;

    /** @param maxTargets groups that workers may be spread over before they share; at least 1 */
    public WorkerGroups(int maxTargets) {
        this.maxTargets = maxTargets;
    }

    /** Workers that may be given a job now, of all groups. */
    public int availableWorkers() {
        return available;
    }

    /** All workers, available or not. */
    public int memberCount() {
        return members.size();
    }

    /** All workers, in the order in which they joined. */
    public Collection<Member<W>> members() {
        return members;
    }

    /** All groups, in the order in which they were made. */
    public Collection<Group<W>> groups() {
        return groups.values();
    }

    /** The group of an id, or null when it has no members any more. */
    public Group<W> find(long id) {
        return groups.get(id);
    }

    /** WorkerGroups that have lost their last member since the last call. */
    public List<Group<W>> drainEmptied() {
        if (emptied.isEmpty()) {
            return List.of();
        }
        List<Group<W>> all = List.copyOf(emptied);
        emptied.clear();
        return all;
    }

    /** A worker that can do the function from now now; it is not available yet. */
    public Member<W> join(W worker, Location location) {
        Member<W> member = new Member<>(worker);
        members.add(member);
        assignGroup(member, location);
        return member;
    }

    /** A worker can do the function no longer. */
    public void leave(Member<W> member) {
        setAvailable(member, false);
        removeFromGroup(member);
        members.remove(member);
    }

    /** The worker is at that location from now on. */
    public void updateLocation(Member<W> member, Location location) {
        if (!member.group.location.equals(location)) {
            migrate(member, location);
        }
    }

    private void migrate(Member<W> member, Location location) {
        boolean wasAvailable = member.available;
        setAvailable(member, false);
        removeFromGroup(member);
        assignGroup(member, location);
        setAvailable(member, wasAvailable);
    }

    private void assignGroup(Member<W> member, Location location) {
        Group<W> best = null;
        if (groups.size() >= maxTargets) {
            for (Group<W> each : groups.values()) {
                if (each.location.equals(location)
                        && each.suspected == member.suspected
                        && (best == null || isCloser(member, each, best))) {
                    best = each;
                }
            }
        }
        if (best == null) {
            // A new location, or suspicion, gets a target of its own even over the bound.
            best = new Group<>(++lastId, location, member.suspected);
            best.pace = member.pace;
            groups.put(best.id, best);
        }
        member.group = best;
        best.members++;
        best.slots += member.slots;
        best.jobsInFlight += member.jobsInFlight;
    }

    /** Nearer in pace, by whole steps of the gap; of those equally near the smaller. */
    private boolean isCloser(Member<W> member, Group<W> candidate, Group<W> other) {
        long candidateGap = Math.round(Math.abs(candidate.pace - member.pace) / PACE_GAP);
        long otherGap = Math.round(Math.abs(other.pace - member.pace) / PACE_GAP);
        return candidateGap != otherGap ? candidateGap < otherGap : candidate.members < other.members;
    }

    private void removeFromGroup(Member<W> member) {
        Group<W> group = member.group;
        group.members--;
        group.slots -= member.slots;
        group.jobsInFlight -= member.jobsInFlight;
        if (group.members == 0) {
            groups.remove(group.id);
            emptied.add(group);
        }
    }

    /** Whether the worker may be given a job now; the one that became available first is used first. */
    public void setAvailable(Member<W> member, boolean now) {
        if (member.available != now) {
            member.available = now;
            available += now ? 1 : -1;
            if (now) {
                member.group.available.add(member);
            } else {
                member.group.available.remove(member);
            }
        }
    }

    /** Jobs in flight at the worker and the most it can hold, of whatever function. */
    public void updateLoad(Member<W> member, int jobsInFlight, int slots) {
        member.group.jobsInFlight += jobsInFlight - member.jobsInFlight;
        member.group.slots += slots - member.slots;
        member.jobsInFlight = jobsInFlight;
        member.slots = slots;
    }

    /** The least recently used available worker of a group, or null. */
    public W leastRecentlyUsed(Group<W> group) {
        return group.available.isEmpty() ? null : group.available.iterator().next().worker;
    }

    /**
     * A run of {@code runNs} nanoseconds has succeeded: its time tells the worker's pace, and one that is no
     * longer alike moves. The member's own runs against the function's, since jobs of one function are what
     * can be compared.
     */
    public void recordSuccess(Member<W> member, long runNs) {
        double logRun = Math.log(Math.max(1, runNs));
        runs++;
        meanLog += (logRun - meanLog) * Math.max(0.01, 1.0 / runs);
        member.runs++;
        member.errors = 0;
        double deviation = Math.max(-MAX_STEP, Math.min(MAX_STEP, logRun - meanLog - member.pace));
        member.pace += deviation * Math.max(GAIN, 1.0 / (member.runs + 1));
        Group<W> group = member.group;
        group.runs++;
        group.pace += (member.pace - group.pace) * Math.max(GAIN, 1.0 / group.runs);
        boolean outOfPace = group.members > 1
                && member.runs % RUNS_BETWEEN_CHECKS == 0
                && Math.abs(member.pace - group.pace) > PACE_GAP;
        if (outOfPace || member.suspected) {
            member.suspected = false;
            if (outOfPace && closerGroupExists(member) || group.suspected) {
                migrate(member, group.location);
            }
        }
    }

    /** Whether another group of the location is closer in pace, or one more may be made. */
    private boolean closerGroupExists(Member<W> member) {
        for (Group<W> each : groups.values()) {
            if (each != member.group
                    && each.location.equals(member.group.location)
                    && !each.suspected
                    && Math.abs(each.pace - member.pace) < PACE_GAP) {
                return true;
            }
        }
        return groups.size() < maxTargets;
    }

    /**
     * It did not answer a wake-up, or timed out: apart from those alike, so that the suspicion of the dispatcher
     * falls on it and not on them. Alone in its group it stays where it is.
     */
    public void suspect(Member<W> member) {
        if (!member.suspected && member.group.members > 1) {
            member.suspected = true;
            migrate(member, member.group.location);
        }
    }

    /** A job failed there; one failure tells of the job, three in a row of the worker. */
    public void recordFailure(Member<W> member) {
        if (++member.errors >= 3) {
            member.errors = 0;
            suspect(member);
        }
    }
}
