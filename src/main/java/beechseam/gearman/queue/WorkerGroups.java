package beechseam.gearman.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The workers of one function as a bounded number of egress targets. Up to {@code maxTargets} workers have a
 * target each. Beyond that, similar workers share a target, called a group: they have the same location, a similar
 * pace, and are either all suspected or all not. The dispatcher chooses a group by its effective load. Since the
 * workers of a group are similar, the job goes to the available one that was used least recently, which is also
 * the dispatcher's rule for ties. Joining is O(groups); each operation for a job is O(1).
 *
 * @param <W> a worker
 */
public final class WorkerGroups<W> {
    /** Difference in pace (natural logarithm of the run time) above which a member no longer fits its group. */
    private static final double PACE_GAP = Math.log(1.5);
    /** Number of runs after which a member's pace is compared with its group's again. */
    private static final int RUNS_BETWEEN_CHECKS = 8;
    /** Smoothing factor: the weight of the latest run in a pace after many runs. */
    private static final double SMOOTHING_FACTOR = 0.1;
    /** Bound on how far one run changes a pace (natural logarithm), since run times are heavy-tailed. */
    private static final double MAX_PACE_STEP = 1.5;

    /** The zone and cell of a worker. */
    public record Location(String zone, int cell) {}

    /** Similar workers that form one egress target. */
    public static final class Group<W> {
        public final long id;
        public final Location location;
        /** Whether its members are suspected; suspected workers share no group with others. */
        final boolean suspected;

        private final LinkedHashSet<Member<W>> available = new LinkedHashSet<>();
        private int members;
        private int slots;
        private int jobsInFlight;
        private double pace;
        private int runs;
        /** Whether the group was last announced to the dispatcher as ready. */
        public boolean announcedReady;

        /** Whether the group has been announced to the dispatcher. */
        public boolean announced;
        /** When its load was last reported to the dispatcher, in nanoseconds of the host's clock. */
        public long reportedAtNs;

        Group(long id, Location location, boolean suspected) {
            this.id = id;
            this.location = location;
            this.suspected = suspected;
        }

        /** Number of workers of the group, available or not. */
        public int members() {
            return members;
        }

        /** Whether any of its workers may be given a job now. */
        public boolean isReady() {
            return !available.isEmpty();
        }

        /** Number of workers of the group that may be given a job now. */
        public int availableWorkers() {
            return available.size();
        }

        /** Sum of its members' slots. */
        public int slots() {
            return slots;
        }

        /** Number of jobs that its members hold, of any function. */
        public int jobsInFlight() {
            return jobsInFlight;
        }
    }

    /** A worker in its role as a member of this function's groups. */
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

        /** The group that it belongs to now. */
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
    private double meanLogRunTime;
    private long runs;

    /** @param maxTargets number of groups up to which each worker has its own; at least 1 */
    public WorkerGroups(int maxTargets) {
        this.maxTargets = maxTargets;
    }

    /** Number of workers of all groups that may be given a job now. */
    public int availableWorkers() {
        return available;
    }

    /** Number of workers, available or not. */
    public int memberCount() {
        return members.size();
    }

    /** All workers, in the order in which they joined. */
    public Collection<Member<W>> members() {
        return members;
    }

    /** All groups, in the order in which they were created. */
    public Collection<Group<W>> groups() {
        return groups.values();
    }

    /** The group with that id, or null if it has lost its last member. */
    public Group<W> find(long id) {
        return groups.get(id);
    }

    /** Returns the groups that have lost their last member since the last call. */
    public List<Group<W>> drainEmptied() {
        if (emptied.isEmpty()) {
            return List.of();
        }
        List<Group<W>> all = List.copyOf(emptied);
        emptied.clear();
        return all;
    }

    /** Adds a worker that can do the function from now on; it is not available yet. */
    public Member<W> join(W worker, Location location) {
        Member<W> member = new Member<>(worker);
        members.add(member);
        assignGroup(member, location);
        return member;
    }

    /** Removes a worker that can no longer do the function. */
    public void leave(Member<W> member) {
        setAvailable(member, false);
        removeFromGroup(member);
        members.remove(member);
    }

    /** Sets the worker's location, which may move it to another group. */
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
            // The first worker of a location, or the first suspected one there, gets a group even past the bound.
            best = new Group<>(++lastId, location, member.suspected);
            best.pace = member.pace;
            groups.put(best.id, best);
        }
        member.group = best;
        best.members++;
        best.slots += member.slots;
        best.jobsInFlight += member.jobsInFlight;
    }

    /**
     * Whether a group is closer in pace to a member than another, in whole multiples of the gap; among equally close
     * ones, the group with fewer members is closer.
     */
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

    /** Sets whether the worker may be given a job now; the worker that became available first is used first. */
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

    /** Updates the worker's jobs in flight and the most it can hold, both of any function. */
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
     * Records a successful run of {@code runNs} nanoseconds. The run time updates the worker's pace, and a worker
     * that no longer fits its group moves to another. The pace is relative to the mean of the function's runs,
     * since only jobs of the same function are comparable. A suspected worker is no longer suspected.
     */
    public void recordSuccess(Member<W> member, long runNs) {
        double logRunTime = Math.log(Math.max(1, runNs));
        runs++;
        meanLogRunTime += (logRunTime - meanLogRunTime) * Math.max(0.01, 1.0 / runs);
        member.runs++;
        member.errors = 0;
        double deviation = Math.max(-MAX_PACE_STEP, Math.min(MAX_PACE_STEP, logRunTime - meanLogRunTime - member.pace));
        member.pace += deviation * Math.max(SMOOTHING_FACTOR, 1.0 / (member.runs + 1));
        Group<W> group = member.group;
        group.runs++;
        group.pace += (member.pace - group.pace) * Math.max(SMOOTHING_FACTOR, 1.0 / group.runs);
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

    /** Whether another group of the location is close in pace, or one more group may be created. */
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
     * Moves a worker that did not answer a wake-up, or whose job timed out, to a group of suspected workers, so that
     * the dispatcher's suspicion of the target does not affect the other workers. A worker that is alone in its
     * group stays there.
     */
    public void suspect(Member<W> member) {
        if (!member.suspected && member.group.members > 1) {
            member.suspected = true;
            migrate(member, member.group.location);
        }
    }

    /**
     * Records a failed job. One or two failures are attributed to the jobs; after three in a row the worker is
     * suspected.
     */
    public void recordFailure(Member<W> member) {
        if (++member.errors >= 3) {
            member.errors = 0;
            suspect(member);
        }
    }
}
