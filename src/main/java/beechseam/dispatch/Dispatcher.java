package beechseam.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.DoubleStream;

/**
 * The decision module: speed-scaled least-loaded dispatch (eLL), one dispatcher. Interface: java,
 * it is told {@link Events} and answers with {@link Actions}. Each job goes to the suitable worker of lowest
 * effective load, el, least recently used on ties; where all exceed reject-threshold it is held while its aim
 * can still be met, then refused. Single-threaded; same events, same actions. More: docs/DESIGN.md.
 */
public final class Dispatcher implements DispatchEvents {

    // ---- Tunables. Each is a ratio or a share of something set or observed, none a figure of a deployment.

    /** The paper's tolerance tol, in slots: among loads this close the least recently used decides. */
    private static final double TOL = 0.25;
    /** Of what this dispatcher has sent a worker since its report, each other is taken to have sent this. */
    private static final double HERD = 0.7;
    /** Up to so many dispatchers can tell by reports and own sends what the others do; of more, less. */
    private static final double FEW = 8;
    /** Runs after which a worker's own PI outweighs its kind's: sizes are heavy-tailed, few tell little. */
    private static final double PI_SHRINK = 4;
    /** Share of a job's slack that may pass waiting at a worker; of the slack of a class of more worth. */
    private static final double QUEUE_SHARE = 0.7;

    private static final double YIELD_SHARE = 0.5;
    /** Share of a worker's slots that a less worthy class leaves to the worthier. */
    private static final double RESERVE = 0.1;
    /** A doubted worker's sf is raised at most so much, and the doubt fades by e in this time. */
    private static final double MAX_DOUBT = 16;

    private static final double DOUBT_FADE_NS = 4e9;
    /** Doubt above which an answered probe takes back half of it. */
    private static final double FIRM_DOUBT = 4;
    /** Part of the cold budget that is used: speeds and sizes are estimates. */
    private static final double COLD_SAFETY = 0.5;
    /** A job's work may be this multiple of its estimate when it is booked on a cold worker. */
    private static final double COLD_SURPRISE = 1.25;
    /** Copies and repeats for each job taken, and the most that all dispatchers together save up. */
    private static final double REPEATS_PER_JOB = 0.1;

    private static final double REPEATS_SAVED = 20;
    /** How the price of a crossing or a new connection, by the job's worth, counts as load of each slot. */
    private static final double TOLL_LOAD = 8;
    /** The tick is this share of the shortest aim, but not below a least. */
    private static final long MIN_TICK_NS = 20_000_000L;

    private static final int TICKS_PER_AIM = 8;
    /** What probing may cost for each job taken, in the points that the settings price it at. */
    private static final double PROBE_SPEND = 0.003;
    /** Of many dispatchers each draws so many workers at random for a job, by what they can do. */
    private static final int DRAWN = 2;

    private static final int TRIES = 24;
    /** A worker of another zone is drawn the less by this, times what a crossing costs of the mean worth. */
    private static final double FAR = 100;
    /** Of so many jobs one goes by the least recent use where loads are equal. */
    private static final int JOBS_PER_EXPLORATION = 8;
    /** Share of the limit on idle connections for which one is taken to be open: hosts close them sooner. */
    private static final double KEPT_OPEN = 0.5;
    /** A report of so many mean runs ago tells nothing any more: by e to that. */
    private static final double FORGOTTEN = 30;
    /** How far back own sends are remembered to date a report; no report is taken to be older. */
    private static final double HISTORY_NS = 4e9;

    private static final long LOG_GAP_NS = 5_000_000_000L;

    private static final long TICK = 1;
    private static final long LIST = 2;

    private final DispatchSettings settings;
    private final DispatchLimits limits;
    private final WorkerRules rules;
    private final DispatchActions actions;
    private final Random random;
    private final double seen; // share of the group's sends that it can account for
    private final long tickNs;
    private final long minAimNs;
    private final Map<Long, Member> members = new LinkedHashMap<>();
    private final Map<String, PerformanceIndex> kinds = new LinkedHashMap<>();
    private final Map<Long, Held> jobs = new LinkedHashMap<>();
    private final List<Held> waiting = new ArrayList<>();
    private final List<Member> ready = new ArrayList<>(), colds = new ArrayList<>();
    /** Workers that have ended an attempt; some may have no open connection any more. */
    private final List<Member> used = new ArrayList<>();

    private final ClassRunTimes[] stats;

    private long now, bornAt;
    private boolean ticking, listFailed, everReported;
    private double piMin = 1, meanNeed = 1, meanRunNs, runs = 3, meanWorth, othersMean, reportGapNs;
    private double startLagNs, slotsOfAny = 2, capacity, repeats = 1, copies = 1, probes = Double.MAX_VALUE;
    private long useCount, watchBackoffNs;
    private long loggedAt, refreshedAt, refused, failed;

    /** A worker on the list, with its row of the el table. */
    private static final class Member {
        WorkerEndpoint info;
        PerformanceIndex kind;
        final PerformanceIndex speed = new PerformanceIndex();
        final List<Attempt> out = new ArrayList<>();
        final ArrayDeque<double[]> changes = new ArrayDeque<>();
        final ArrayDeque<double[]> coldSent = new ArrayDeque<>();
        double slots, own, others, ownAtReport, slotsSeen, reports, capacityTo;
        double doubt = 1, pi = 1;
        LoadReport lastLoad;
        long idle, idleAt, loadChangedAt, reportAt, probeAt, lastUsed, doubtAt;
        boolean slotsKnown, probing, isUsed;

        boolean usable() {
            return info.state() == EndpointState.READY;
        }
    }

    private static final class Attempt {
        Held job;
        Member at;
        int number;
        long sentAt, startedAt = -1, notedAt;
        double done, bestSlope;
        boolean free, cancelled, over, neverRan, barsWorker;
    }

    /** A job taken and not forgotten yet. */
    private static final class Held {
        Job job;
        JobClass of;
        ClassRunTimes stats;
        double need;
        long takenAt, leavesAt, aimAt, latestStart;
        double workNs;
        final List<Attempt> attempts = new ArrayList<>(1);
        int out;
        boolean answered, streaming;

        /** The first attempt that may have run or is still out. */
        Attempt firstMayHaveRun() {
            for (Attempt a : attempts) {
                if (!a.neverRan) {
                    return a;
                }
            }
            return null;
        }
    }

    public Dispatcher(long now, DispatchSettings settings, long seed, DispatchActions actions) {
        this.now = now;
        this.settings = settings;
        limits = settings.limits();
        rules = settings.rules();
        this.actions = actions;
        random = new Random(seed);
        double few = Math.min(1, FEW / Math.max(1, settings.dispatcherCount()));
        seen = few * few; // of what is sent its own is a share, and its own answers bring a share of the news
        bornAt = now;
        stats = new ClassRunTimes[settings.classes().size()];
        long aim = Long.MAX_VALUE;
        double worth = 0;
        for (int i = 0; i < stats.length; i++) {
            JobClass c = settings.classes().get(i);
            stats[i] = new ClassRunTimes(c, settings.weightByWork());
            aim = Math.min(aim, Math.max(c.latencyObjectiveNs(), MIN_TICK_NS));
            worth += c.priorityWeight();
        }
        minAimNs = stats.length == 0 ? MIN_TICK_NS * TICKS_PER_AIM : aim;
        meanWorth = stats.length == 0 ? 1 : worth / stats.length;
        tickNs = Math.max(MIN_TICK_NS, minAimNs / TICKS_PER_AIM);
        meanRunNs = minAimNs;
        reportGapNs = minAimNs;
        startLagNs = MIN_TICK_NS;
        watchBackoffNs = minAimNs;
        if (settings.pollsEndpoints()) {
            actions.watchEndpoints();
        }
    }

    // ---- WorkerEndpoint table and effective load

    /** A report replaces what is believed of others' load; our own part as of its date is taken off. */
    private void report(Member m, LoadReport load) {
        if (load == null) {
            return;
        }
        everReported = true;
        if (!load.equals(m.lastLoad)) {
            if (m.lastLoad != null && now - m.reportAt < reportGapNs) {
                reportGapNs += 0.05 * (Math.min(now - m.loadChangedAt, HISTORY_NS) - reportGapNs);
            }
            m.loadChangedAt = now;
        }
        m.lastLoad = load;
        double queue = or(load.queued(), 0);
        double running = or(load.inFlight(), 0) - queue;
        double none = Double.MAX_VALUE;
        double free = Math.min(or(load.freeSlots(), none), or(load.freeMemory(), none));
        if (!Double.isNaN(load.freeSlots())) {
            // Free and taken slots add up to all, but for noise: their mean tells, the highest sum does not.
            m.slotsSeen += (load.freeSlots() + Math.max(0, running) - m.slotsSeen) / ++m.reports;
            m.slots = Math.max(1, Math.rint(m.slotsSeen));
            m.slotsKnown = true;
            m.kind.slots = m.slots;
            slotsOfAny = m.slots;
        }
        double inFlight = free < none
                ? Math.max(running, m.slots - free)
                : Double.isNaN(load.inFlight()) ? or(load.utilization(), 0) * m.slots : running;
        double nrl = inFlight + queue * meanNeed;
        told(m, nrl);
    }

    /** What a worker held in all, half a report's age ago. */
    private void told(Member m, double nrl) {
        m.reportAt = now;
        double before = m.own;
        double date = now - reportGapNs / 2;
        for (double[] change : m.changes) {
            before -= change[0] > date ? change[1] : 0;
        }
        m.others = Math.max(0, nrl - before); // the paper's dampening d is 0: reports are late, not jumpy
        m.ownAtReport = before;
        // Full is as much as one report may say of all the others: a long queue at one worker, told again and
        // again, has shut a dispatcher that then sent nothing and so was told nothing better.
        othersMean += 0.02 * (Math.min(1, m.others / m.slots) - othersMean);
    }

    private static double or(double value, double otherwise) {
        return Double.isNaN(value) ? otherwise : value;
    }

    /** Raw load now, own and others'; what others were seen to have fades towards their mean as jobs end. */
    private double rawLoad(Member m) {
        if (!everReported) {
            return m.own * settings.dispatcherCount();
        }
        double mean = othersMean * m.slots;
        double age = (now - m.reportAt + reportGapNs / 2) / meanRunNs;
        if (age > FORGOTTEN) {
            return m.own + mean; // as it is for most of very many workers
        }
        // Others see what we see and choose alike: what we have added since the report, they have in part.
        double herd = HERD * Math.min(FEW, settings.dispatcherCount() - 1) * Math.max(0, m.own - m.ownAtReport);
        // By the age of what it tells: a report that was late already must not draw a crowd.
        double fade = Math.exp(-age);
        return m.own + mean + (m.others + herd - mean) * fade;
    }

    /** Others hold so much there: as of now, and not as a report of some time ago would have it. */
    private void believe(Member m, double least, double most) {
        double others = rawLoad(m) - m.own;
        if (others < least || others > most) {
            m.others = Math.max(least, Math.min(most, others));
            m.ownAtReport = m.own;
            m.reportAt = now + (long) (reportGapNs / 2);
        }
    }

    /** Slots of a worker that its own running jobs leave to others. */
    private double leftToOthers(Member m) {
        double left = m.slots;
        for (Attempt a : m.out) {
            left -= a.startedAt >= 0 ? a.job.need : 0;
        }
        return Math.max(0, left);
    }

    private double sf(Member m) {
        // One that has just started gets a job at once: it warms by use, and its run tells more than a guess.
        return m.pi / piMin * doubt(m) / (seen == 1 && m.coldSent.isEmpty() ? 1 : ramp(m, now));
    }

    /** Effective load with the job on it, by the paper: floor((sf/tol)·(nrl + pbl·need)), pbl being 1. */
    private double el(Member m, Held h) {
        double el = Math.floor(sf(m) / TOL * (rawLoad(m) + h.need));
        double toll = crossing(h, m) + (connected(m) ? 0 : settings.handshakeCost() * priceWeight(h));
        return el + Math.floor(toll * TOLL_LOAD * m.slots / TOL);
    }

    /** Whether a connection to it stands idle, as far as can be told from here. */
    private boolean connected(Member m) {
        return m.idle > 0 && now - m.idleAt < KEPT_OPEN * limits.idleTimeoutNs();
    }

    /** What sending the job there costs for crossing zones, as a share of the job's worth. */
    private double crossing(Held h, Member m) {
        return m.info.zone().equals(settings.zone()) ? 0 : settings.crossZoneCost() * priceWeight(h);
    }

    /** The mean job's worth relative to this one's: what a price weighs for it. */
    private double priceWeight(Held h) {
        return meanWorth / Math.max(h.of.priorityWeight(), 1e-9);
    }

    private void own(Member m, double change) {
        m.own = Math.max(0, m.own + change);
        m.changes.addLast(new double[] {now, change});
        while (m.changes.size() > 1 && m.changes.peekFirst()[0] < now - HISTORY_NS) {
            m.changes.removeFirst();
        }
    }

    /** A run has ended: its time against what was expected moves the PI of the worker and of its kind. */
    private void learn(Attempt a) {
        long from = a.startedAt >= 0 ? a.startedAt : a.sentAt;
        double run = Math.max(1, (now - from) * ramp(a.at, from)); // as if warm: the ramp counts by itself
        ClassRunTimes s = a.job.stats;
        double value = Math.log(run) - s.expectedLog(a.job.job);
        double share = s.runs > ClassRunTimes.MANY_RUNS ? 0.9 : 1;
        double taken = share * Math.max(-4, Math.min(4, relative(a.at)));
        double atMeanSpeed = run / Math.exp(taken);
        s.learn(a.job.job, Math.log(atMeanSpeed), atMeanSpeed);
        meanRunNs += Math.max(0.01, 1 / ++runs) * (atMeanSpeed * a.job.need - meanRunNs);
        a.at.speed.add(value);
        a.at.kind.add(value);
    }

    /** Logarithm of run time over expected, drawn towards the kind's while there are few runs. */
    private double relative(Member m) {
        return (m.speed.runs * m.speed.log + PI_SHRINK * m.kind.log) / (m.speed.runs + PI_SHRINK);
    }

    private void refreshIndices(long after) {
        if (now - refreshedAt < after) {
            return; // it walks the fleet: not at every tick
        }
        refreshedAt = now;
        piMin = Double.MAX_VALUE;
        capacity = 0;
        colds.clear();
        ready.clear();
        for (Member m : members.values()) {
            m.slots = m.slotsKnown || m.kind.slots == 0 ? m.slots : m.kind.slots;
            m.pi = Math.exp(relative(m)) / m.slots;
            if (m.usable()) {
                piMin = Math.min(piMin, m.pi);
                (cold(m) ? colds : ready).add(m);
                double far = m.info.zone().equals(settings.zone()) ? 0 : FAR * settings.crossZoneCost();
                capacity += cold(m) ? 0 : 1 / (1 + far) / m.pi / doubt(m);
                m.capacityTo = capacity;
            }
        }
    }

    // ---- Cold workers

    private double ramp(Member m, double at) {
        double start = rules.initialCapacity();
        long cold = rules.slowStartNs();
        if (m.info.startedNs() <= 0 || cold <= 0) {
            return 1;
        }
        return Math.max(start, Math.min(1, start + (1 - start) * (at - m.info.startedNs()) / cold));
    }

    private boolean cold(Member m) {
        long since = now - m.info.startedNs();
        return m.info.startedNs() > 0 && since < rules.slowStartNs() + rules.overloadWindowNs();
    }

    /** A cold worker, by the list, takes in any span only this dispatcher's part of what it can do. */
    private boolean coldBudgetAllows(Member m, Held h) {
        long span = rules.overloadWindowNs();
        if (!cold(m)) {
            return true;
        }
        if (now - bornAt < span) {
            return false; // what an earlier life of this dispatcher has sent is not known
        }
        double sum = 0;
        for (double[] sent : m.coldSent) {
            sum += sent[0] > now - span ? sent[1] : 0;
        }
        double budget = rules.overloadFactor() * COLD_SAFETY * ramp(m, now - span) / m.pi * span;
        // As many as can send it a mean job hold the right, in turns of a span: one turn's have half of it.
        int group = Math.max(1, settings.dispatcherCount());
        int holders = (int) Math.max(1, Math.min(group, budget / 2 / COLD_SURPRISE / meanRunNs));
        long turn = (now - m.info.startedNs()) / span * holders + m.info.id() + settings.dispatcherIndex();
        return turn % group < holders && sum + coldWork(h) <= budget / holders / (holders < group ? 2 : 1);
    }

    /** A job of small hint is booked as a mean one: choosing the small chooses hints that are too low. */
    private double coldWork(Held h) {
        return COLD_SURPRISE * h.need * Math.max(h.workNs, h.stats.meanRunNs);
    }

    // ---- Placement

    private boolean suits(Held h, Member m) {
        return m.usable()
                && (h.of.kind() == null || h.of.kind().equals(m.info.kind()))
                && !tried(h, m)
                && !(m.slotsKnown && h.need > m.slots)
                && groupAllows(h, m)
                && coldBudgetAllows(m, h);
    }

    /** The suitable worker of lowest el, least recently used on ties; null when all exceed the threshold. */
    private Member choose(Held h, Iterable<Member> among, boolean copy) {
        Member best = null;
        double bestEl = 0;
        for (Member m : among) {
            double el = el(m, h);
            // Most are no better than the best so far: what is dearer to ask comes after.
            boolean better = best == null || el < bestEl || el == bestEl && precedes(m, best);
            if (better && suits(h, m) && underThreshold(h, m, copy)) {
                best = m;
                bestEl = el;
            }
        }
        return best;
    }

    /**
     * Of equal loads an open connection decides, which costs no handshake, then the least recent use; now and
     * then that alone, or a worker that is never used could never show that it is faster.
     */
    private boolean precedes(Member m, Member other) {
        boolean explores = useCount % JOBS_PER_EXPLORATION == 0;
        boolean open = connected(m);
        return explores || open == connected(other) ? m.lastUsed < other.lastUsed : open;
    }

    /**
     * Whom a job may go to: all, where the table tells what they hold. Many dispatchers that were told the
     * same a while ago would all choose alike; there each draws some, by what they can do. Mitzenmacher,
     * "How useful is old information?" (2000): by old news the best of two drawn serves better than of all.
     */
    private Iterable<Member> candidates(Held h) {
        if (seen == 1) {
            return members.values();
        }
        List<Member> drawn = new ArrayList<>(colds); // a turn at a cold worker is not left to chance
        Member open = drawConnected();
        if (open != null && !drawn.contains(open) && suits(h, open)) {
            drawn.add(open);
        }
        int wanted = colds.size() + (int) Math.max(DRAWN, seen * ready.size());
        for (int i = 0; i < TRIES + 2 * wanted && drawn.size() < wanted && !ready.isEmpty(); i++) {
            Member m = readyAt(random.nextDouble() * capacity);
            if (!drawn.contains(m) && suits(h, m)) {
                drawn.add(m);
            }
        }
        return drawn;
    }

    /** Any worker with an open connection, or null: of very many workers one drawn at random has none. */
    private Member drawConnected() {
        while (!used.isEmpty()) {
            int place = random.nextInt(used.size());
            Member m = used.get(place);
            if (m.usable() && connected(m)) {
                return m;
            }
            used.set(place, used.get(used.size() - 1));
            used.remove(used.size() - 1);
            m.isUsed = false;
        }
        return null;
    }

    /** The worker at this place in the sum of capacities; O(log n). */
    private Member readyAt(double at) {
        int low = 0;
        for (int high = ready.size() - 1; low < high; ) {
            int middle = (low + high) / 2;
            if (ready.get(middle).capacityTo < at) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return ready.get(low);
    }

    private void decide(Held h) { // settle() has asked whether it has time left
        Member m = choose(h, candidates(h), false);
        if (m != null) {
            place(h, m);
        } else {
            hold(h);
        }
    }

    private boolean tried(Held h, Member m) { // out, barred, or failed there only just
        for (Attempt a : h.attempts) {
            boolean recent = !a.over || now - a.sentAt < minAimNs;
            if (a.at.info.id() == m.info.id() && (recent || a.barsWorker)) {
                return true;
            }
        }
        return false;
    }

    /** reject-threshold: the load past which waiting uses up the job's slack (late: a share of its aim). */
    private boolean underThreshold(Held h, Member m, boolean copy) {
        double doubt = doubt(m);
        double time = m.pi * m.slots * doubt / ramp(m, now);
        double left = h.latestStart - now;
        if (left > Math.max(0, h.latestStart - h.takenAt) * (1.05 - 3 * seen * crossing(h, m))) {
            return false; // a slot may yet free nearer by: the dearer the crossing, the longer the wait
        }
        // Where much is sent unseen, an expected wait is often a longer one: for a while it looks for better.
        double share = QUEUE_SHARE * (left > 0.8 * (h.latestStart - h.takenAt) ? seen : 1);
        double slack = Math.max(left, h.of.latencyObjectiveNs() * 0.25) * share * h.stats.patience();
        double reserve = 0; // a less worthy job leaves some room to the next of a worthier class
        for (ClassRunTimes s : stats) {
            if (s.density() > h.stats.density()) {
                slack = Math.min(slack, s.slackNs() * YIELD_SHARE * s.patience());
                reserve = RESERVE * m.slots;
            }
        }
        // What others hold is a mean among many: one that leaves part of a slot leaves a whole one at times.
        double over = Math.max(0, rawLoad(m) + (copy ? h.need : seen * (h.need + reserve)) - m.slots);
        double wait = expectedWait(m, over);
        if (copy) {
            return over == 0
                    && (!limits.healthChecks() || now - m.reportAt <= 2 * reportGapNs)
                    && now + h.workNs * time <= h.aimAt;
        }
        return wait <= slack && (doubt < 1.5 || h.workNs * (time - 1) <= slack);
    }

    private double expectedWait(Member m, double over) {
        return Math.max(0, over) * meanRunNs / meanNeed * m.pi * doubt(m) / ramp(m, now);
    }

    private void place(Held h, Member m) {
        Attempt a = new Attempt();
        a.job = h;
        a.at = m;
        a.number = h.attempts.size();
        a.sentAt = now;
        a.notedAt = now;
        a.free = rawLoad(m) + h.need <= m.slots;
        h.attempts.add(a);
        h.out++;
        m.out.add(a);
        m.lastUsed = ++useCount;
        m.idle = Math.max(0, m.idle - 1);
        own(m, h.need);
        if (cold(m)) {
            while (!m.coldSent.isEmpty() && m.coldSent.peekFirst()[0] <= now - rules.overloadWindowNs()) {
                m.coldSent.removeFirst();
            }
            m.coldSent.addLast(new double[] {now, coldWork(h)});
        }
        actions.send(h.job.id(), m.info.id(), 0);
    }

    /** Places what waits, the most worth a unit of work first, then by latest start. */
    private void placeWaiting() {
        for (int i = 0; i < waiting.size(); ) {
            Held h = waiting.get(i);
            Member m = choose(h, candidates(h), false);
            if (m != null) {
                waiting.remove(i);
                place(h, m);
            } else {
                i++;
            }
        }
    }

    private void hold(Held h) {
        int i = waiting.size();
        while (i > 0 && before(h, waiting.get(i - 1))) {
            i--;
        }
        waiting.add(i, h);
        startTicking();
    }

    private boolean before(Held a, Held b) {
        return a.stats != b.stats ? a.stats.density() > b.stats.density() : a.latestStart < b.latestStart;
    }

    // ---- Jobs, attempts and outcomes

    @Override
    public void jobArrived(long at, Job job) {
        now = at;
        Held h = new Held();
        h.job = job;
        h.stats = stats[job.jobClass()];
        h.of = h.stats.of;
        h.need = Math.max(job.slots(), job.memory());
        h.takenAt = now;
        h.leavesAt = now + job.budgetNs();
        // The aim runs from the client's first try. Where retries are not marked, a shorter budget shows one;
        // where they are, it shows a client in haste: taken for a retry its job would be late at once.
        h.stats.longestBudgetNs = Math.max(h.stats.longestBudgetNs, job.budgetNs());
        double elapsed = job.firstAttempt() ? 0 : h.stats.longestBudgetNs - job.budgetNs();
        h.workNs = Math.exp(h.stats.expectedLog(job));
        double aim = Math.min(h.of.latencyObjectiveNs() + h.of.stretch() * h.workNs - elapsed, job.budgetNs());
        h.aimAt = now + (long) aim;
        h.latestStart = (long) (h.aimAt - h.workNs);
        meanNeed += 0.01 * (h.need - meanNeed);
        h.stats.meanNeed += 0.01 * (h.need - h.stats.meanNeed);
        meanWorth += 0.01 * (h.of.priorityWeight() - meanWorth);
        repeats = Math.min(Math.max(1, REPEATS_SAVED / settings.dispatcherCount()), repeats + REPEATS_PER_JOB);
        // Where little is seen a copy waits as the first does, and what is cancelled may run all the same.
        copies = Math.min(REPEATS_SAVED, copies + REPEATS_PER_JOB * seen);
        probes = Math.min(2 * members.size(), probes + PROBE_SPEND / Math.max(settings.healthCheckCost(), 1e-6));
        jobs.put(job.id(), h);
        startTicking();
        settle(h);
    }

    /** Decides what becomes of a job with no attempt out: placed, held, or its final answer. */
    private void settle(Held h) {
        if (h.answered || h.out > 0) {
            forget(h);
            return;
        }
        boolean again = h.firstMayHaveRun() != null;
        // Where copies are barred only a job that waited is taken back: it had not begun, and is no repeat.
        boolean charged = again && (limits.hedging() || !h.attempts.get(h.attempts.size() - 1).cancelled);
        if (again && h.of.idempotency() == Idempotency.NON_IDEMPOTENT
                || h.attempts.size() >= limits.maxAttempts()
                || expired(h)
                || charged && repeats < 1) {
            answer(h);
            return;
        }
        repeats -= charged ? 1 : 0;
        decide(h);
    }

    /** No start can be of use any more, or the client is about to leave. */
    private boolean expired(Held h) {
        return now >= h.leavesAt - 2 * tickNs || h.of.lateWeight() <= 0 && now > h.latestStart;
    }

    /** The final answer of what is not served: a refusal where a further try is sure to be harmless. */
    private void answer(Held h) {
        h.answered = true;
        boolean harmless = h.firstMayHaveRun() == null
                || h.of.idempotency() == Idempotency.IDEMPOTENT
                || h.of.idempotency() == Idempotency.KEYED && h.of.deduplicationScope() == DeduplicationScope.ALL;
        if (harmless) {
            refused++;
            actions.shed(h.job.id(), limits.retryAfter() ? limits.maxRetryAfterNs() : 0);
        } else {
            failed++;
            actions.fail(h.job.id());
        }
        forget(h);
    }

    private void forget(Held h) {
        if (h.answered && h.out == 0) {
            jobs.remove(h.job.id());
        }
    }

    private boolean groupAllows(Held h, Member m) {
        Attempt first = h.firstMayHaveRun();
        boolean bound = first != null && h.of.idempotency() == Idempotency.KEYED;
        if (!bound || now > windowEnd(first) - tickNs) {
            return !bound;
        }
        return switch (h.of.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> m.info.zone().equals(first.at.info.zone());
            case CELL -> m.info.cell() == first.at.info.cell() && m.info.zone().equals(first.at.info.zone());
        };
    }

    /**
     * When the attempt must have begun where it repeats one that may have run, else the end of time; the host
     * asks again, as an attempt may wait for a connection.
     */
    public long retryDeadline(long job, int number) {
        Attempt first = jobs.containsKey(job) ? jobs.get(job).firstMayHaveRun() : null;
        boolean repeats = first != null && first.number < number && first.job.of.idempotency() == Idempotency.KEYED;
        return repeats ? windowEnd(first) : Long.MAX_VALUE;
    }

    private static long windowEnd(Attempt first) {
        return first.sentAt + first.job.of.idempotencyWindowNs();
    }

    private Attempt attempt(long job, int number) {
        Held h = jobs.get(job);
        return h == null || number < 0 || number >= h.attempts.size() || h.attempts.get(number).over
                ? null
                : h.attempts.get(number);
    }

    @Override
    public void attemptStarted(long at, long job, int number) {
        now = at;
        Attempt a = attempt(job, number);
        if (a == null) {
            return;
        }
        a.startedAt = now;
        a.notedAt = now;
        // It begins: others hold what its own leave free, and what came behind it while it waited.
        double behind = othersMean * a.at.slots * Math.min(1, (now - a.sentAt) / meanRunNs);
        believe(a.at, 0, leftToOthers(a.at) + behind);
        if (a.free) {
            startLagNs += 0.05 * (Math.min(now - a.sentAt, minAimNs) - startLagNs);
        }
        cancelAll(a.job, a, true); // one copy runs: what waits is not needed
    }

    private void cancelAll(Held h, Attempt but, boolean onlyWaiting) {
        for (Attempt a : h.attempts) {
            boolean spared = a == but || onlyWaiting && a.startedAt >= 0;
            if (limits.cancel() && !spared && !a.over && !a.cancelled) {
                a.cancelled = true;
                actions.cancel(h.job.id(), a.number);
            }
        }
    }

    @Override
    public void attemptProgressed(long at, long job, int number, double done) {
        now = at;
        Attempt a = attempt(job, number);
        if (a == null || now <= a.notedAt) {
            return;
        }
        double slope = (done - a.done) / (now - a.notedAt);
        a.done = done;
        a.notedAt = now;
        if (slope > 0 && a.bestSlope > 1.3 * slope) {
            doubt(a.at, a.bestSlope / slope);
        } else if (slope > 0) {
            trust(a.at);
        }
        a.bestSlope = Math.max(a.bestSlope, slope);
    }

    @Override
    public void streamingStarted(long at, long job, int number) {
        now = at;
        Attempt a = attempt(job, number);
        if (a == null) {
            return;
        }
        a.job.streaming = true;
        cancelAll(a.job, a, false);
    }

    @Override
    public void barWorker(long at, long job, int number) {
        now = at;
        Attempt a = attempt(job, number);
        if (a != null) {
            a.barsWorker = true;
        }
    }

    @Override
    public void attemptEnded(long at, long job, int number, Outcome outcome, boolean closed, LoadReport load) {
        now = at;
        Attempt a = attempt(job, number);
        if (a == null) {
            return;
        }
        Held h = a.job;
        a.over = true;
        a.neverRan = outcome.neverRan() && !(outcome == Outcome.REJECTED && rules.rejectionMayHaveRun());
        h.out--;
        a.at.out.remove(a);
        own(a.at, -h.need);
        a.at.idle += load != null || outcome == Outcome.SERVED ? 1 : 0; // its connection stays open a while
        a.at.idleAt = now;
        if (!a.at.isUsed && seen < 1) {
            a.at.isUsed = used.add(a.at);
        }
        report(a.at, load);
        h.answered |= closed;
        switch (outcome) {
            case SERVED -> {
                learn(a);
                trust(a.at);
            }
            case ERROR, LOST, UNREACHABLE -> doubt(a.at, doubt(a.at) * 2);
            case REJECTED -> { // its queue is full whatever the table says
                a.at.others = Math.max(a.at.others, a.at.slots + meanNeed);
                doubt(a.at, doubt(a.at) * 1.5);
            }
            default -> {}
        }
        if (h.answered) {
            cancelAll(h, null, false);
        }
        settle(h);
        placeWaiting();
    }

    @Override
    public void clientDisconnected(long at, long job) {
        now = at;
        Held h = jobs.get(job);
        if (h == null) {
            return;
        }
        h.answered = true;
        waiting.remove(h);
        cancelAll(h, null, false);
        forget(h);
    }

    // ---- Doubt: silence and slowness

    /** Doubt fades by itself, and a sign of health takes back half of it. */
    private double doubt(Member m) {
        return m.doubt <= 1 ? 1 : 1 + (m.doubt - 1) * Math.exp((m.doubtAt - now) / DOUBT_FADE_NS);
    }

    private void doubt(Member m, double by) {
        m.doubt = Math.max(doubt(m), Math.min(MAX_DOUBT, by));
        m.doubtAt = now;
    }

    private void trust(Member m) {
        m.doubt = 1 + (doubt(m) - 1) / 2;
        m.doubtAt = now;
    }

    /**
     * A job that has not begun when a free worker would have told so waits for others': that is load, not a
     * fault. Silence past the time in which what they hold is worked off is one, and so is silence of a run.
     */
    private void watchSilence(Attempt a) {
        if (a.over || !settings.reportsStart()) {
            return;
        }
        double grace = 2 * startLagNs + 2 * tickNs;
        double silent = now - a.notedAt;
        double due = settings.progressIntervalNs() > 0 ? settings.progressIntervalNs() : Double.MAX_VALUE;
        if (a.startedAt < 0) {
            if (silent > grace - tickNs) {
                believe(a.at, leftToOthers(a.at), Double.MAX_VALUE);
            }
            due = (rawLoad(a.at) - a.at.own + 1) * meanRunNs * a.at.pi;
        }
        if (silent > due + grace) {
            doubt(a.at, a.startedAt < 0 ? 1 + (silent - due) / (due + grace) : (silent - due) / grace);
        }
    }

    /**
     * A job that waits there, or runs at a doubted worker, gets a copy where one would still be in time.
     * Where a job may have but one attempt out, one that waits is taken back and goes where it need not.
     */
    private void rescue(Held h) {
        boolean moves = !limits.hedging() && limits.cancel();
        if (h.answered
                || h.out != 1
                || h.of.idempotency() == Idempotency.NON_IDEMPOTENT
                || h.streaming
                || h.attempts.size() >= limits.maxAttempts()
                || !moves && (!limits.hedging() || repeats < 1 || copies < 1)) {
            return;
        }
        Attempt a = h.attempts.get(h.attempts.size() - 1);
        boolean stuck = a.startedAt < 0 ? now - a.sentAt > h.of.latencyObjectiveNs() * 0.25 : !moves && doubt(a.at) > 2;
        Member m = a.over || a.cancelled || !stuck ? null : choose(h, candidates(h), true);
        if (m != null && moves) {
            a.cancelled = true; // settle() sends it on once its end is told
            actions.cancel(h.job.id(), a.number);
        } else if (m != null) {
            repeats--;
            copies--;
            place(h, m);
        }
    }

    // ---- Ticks, refusal of what waits too long

    private void startTicking() {
        if (!ticking) {
            ticking = true;
            actions.scheduleTimer(tickNs, TICK);
        }
    }

    @Override
    public void timerFired(long at, long tag) {
        now = at;
        if (tag == LIST) {
            if (listFailed) {
                listFailed = false;
                actions.watchEndpoints();
            }
            return;
        }
        ticking = false;
        refreshIndices(minAimNs);
        probeSilent();
        for (Held h : List.copyOf(jobs.values())) {
            h.attempts.forEach(this::watchSilence);
            rescue(h);
        }
        for (Held h : List.copyOf(waiting)) {
            if (expired(h)) {
                waiting.remove(h);
                answer(h);
            }
        }
        placeWaiting();
        logState();
        if (!jobs.isEmpty()) {
            startTicking();
        }
    }

    private void logState() {
        if (now - loggedAt < LOG_GAP_NS) {
            return;
        }
        long doubted = members.values().stream().filter(this::avoids).count();
        long ready = members.values().stream().filter(Member::usable).count();
        if (doubted > 0 || refused > 0 || failed > 0) {
            loggedAt = now;
            actions.log("ready " + ready + " doubted " + doubted + " waiting " + waiting.size() + " refused " + refused
                    + " failed " + failed + (listFailed ? " list out of reach" : ""));
            refused = 0;
            failed = 0;
        }
    }

    private boolean avoids(Member m) {
        return m != null && m.usable() && doubt(m) > 2;
    }

    /** Whether the worker is passed over for its doubt, as a rule; for the host to tell. */
    public boolean isEjected(long at, long worker) {
        now = at;
        return avoids(members.get(worker));
    }

    // ---- Membership

    @Override
    public void endpointsUpdated(long at, EndpointUpdate form, List<WorkerEndpoint> lines) {
        now = at;
        if (form == EndpointUpdate.FAILED) {
            listFailed = true;
            watchBackoffNs = Math.min(2 * watchBackoffNs, rules.pollIntervalLimitNs() / 4);
            actions.scheduleTimer(watchBackoffNs, LIST);
            return;
        }
        if (form != EndpointUpdate.CACHED) {
            listFailed = false;
            watchBackoffNs = minAimNs;
        }
        if (form == EndpointUpdate.SNAPSHOT) {
            for (Member m : members.values()) { // whatever the list does not name is gone
                WorkerEndpoint w = m.info;
                m.info = new WorkerEndpoint(
                        w.id(), w.cell(), w.zone(), w.kind(), w.startedNs(), EndpointState.REMOVED, w.weight());
            }
        }
        for (WorkerEndpoint w : lines) {
            Member m = members.get(w.id());
            if (m == null) {
                m = new Member();
                m.kind = kinds.computeIfAbsent(w.kind(), k -> new PerformanceIndex());
                m.slots = m.kind.slots > 0 ? m.kind.slots : slotsOfAny; // until it reports
                m.lastUsed = -random.nextInt(1 << 20);
                members.put(w.id(), m);
            } else if (w.startedNs() != m.info.startedNs()) { // a new process: the old one is void
                m.others = 0;
                m.doubt = 1;
                m.coldSent.clear();
            }
            m.info = w;
            if (settings.liveWeights() && w.weight() > 0) { // its size: the most that one of its kind had
                m.kind.size = Math.max(m.kind.size, w.weight());
                told(m, m.slots * (m.kind.size / w.weight() - 1));
                everReported = true;
            }
        }
        members.values().removeIf(m -> m.info.state() == EndpointState.REMOVED && m.out.isEmpty());
        refreshIndices(0);
        placeWaiting();
    }

    // ---- What was learned, for a dispatcher that takes this one's place

    /** What was learned, by name. With what cold workers were sent goes, for a span, the right to send. */
    public LearnedState exportLearnedState(long at) {
        now = bornAt = at;
        Map<String, double[]> all = new LinkedHashMap<>();
        double told = everReported ? 1 : 0;
        all.put("", new double[] {meanRunNs, runs, othersMean, reportGapNs, startLagNs, told});
        for (ClassRunTimes s : stats) {
            all.put("class " + s.of.name(), new double[] {s.logRun, s.meanRunNs, s.runs, s.meanNeed, s.longestBudgetNs
            });
        }
        kinds.forEach((name, k) -> all.put("kind " + name, new double[] {k.log, k.runs}));
        for (Member m : members.values()) { // to another dispatcher what is out from here is others' load
            all.put(
                    "worker " + m.info.id(),
                    new double[] {m.speed.log, m.speed.runs, m.slotsSeen, m.reports, m.others + m.own, doubt(m)});
            all.put(
                    "cold " + m.info.id(),
                    m.coldSent.stream()
                            .flatMapToDouble(sent -> DoubleStream.of(now - sent[0], sent[1]))
                            .toArray());
        }
        return new LearnedState(all);
    }

    /** Takes over what another dispatcher hands over; what it lacks, or has otherwise, stays as it is. */
    public void importLearnedState(long at, LearnedState state) {
        now = at;
        Map<String, double[]> learned = state.entries();
        take(learned, "", 6, v -> {
            meanRunNs = v[0];
            runs = v[1];
            othersMean = v[2];
            reportGapNs = v[3];
            startLagNs = v[4];
            everReported |= v[5] > 0;
            bornAt = now - rules.overloadWindowNs(); // what was sent to cold workers before is known
        });
        for (ClassRunTimes s : stats) {
            take(learned, "class " + s.of.name(), 5, v -> {
                s.logRun = v[0];
                s.meanRunNs = v[1];
                s.runs = v[2];
                s.meanNeed = v[3];
                s.longestBudgetNs = v[4];
            });
        }
        kinds.forEach((name, k) -> take(learned, "kind " + name, 2, v -> k.set(v[0], v[1])));
        for (Member m : members.values()) {
            take(learned, "worker " + m.info.id(), 6, v -> {
                m.speed.set(v[0], v[1]);
                m.slotsSeen = v[2];
                m.reports = v[3];
                m.slotsKnown = v[3] > 0;
                if (m.slotsKnown) {
                    m.slots = m.kind.slots = slotsOfAny = Math.max(1, Math.rint(v[2]));
                }
                m.others = v[4];
                m.reportAt = now;
                doubt(m, v[5]);
            });
            double[] sent = learned.getOrDefault("cold " + m.info.id(), new double[0]);
            for (int i = 1; i < sent.length; i += 2) {
                m.coldSent.addLast(new double[] {now - sent[i - 1], sent[i]}); // its age: clocks may differ
            }
        }
        refreshIndices(0);
    }

    private static void take(Map<String, double[]> all, String name, int length, Consumer<double[]> taker) {
        if (all.get(name) != null && all.get(name).length == length) {
            taker.accept(all.get(name));
        }
    }

    // ---- Probes

    /** Asks workers that were long not heard of, or are avoided, as far as the price allows. */
    private void probeSilent() {
        for (Member m : limits.healthChecks() ? members.values() : List.<Member>of()) {
            boolean soon = settings.loadReportSource() == LoadReportSource.HEALTH_CHECKS || avoids(m);
            // One that answers no probe has no newer report: it has a pause all the same.
            if (m.usable()
                    && !m.probing
                    && probes >= 1
                    && now - Math.max(m.reportAt, m.probeAt) > (soon ? 2 * reportGapNs : HISTORY_NS)) {
                probes--;
                m.probing = true;
                m.probeAt = now;
                actions.healthCheck(m.info.id());
            }
        }
    }

    @Override
    public void healthCheckCompleted(long at, long worker, boolean answered, LoadReport load) {
        now = at;
        Member m = members.get(worker);
        if (m == null) {
            return;
        }
        m.probing = false;
        if (answered) {
            report(m, load);
            if (doubt(m) > FIRM_DOUBT) {
                trust(m); // so doubted no job goes there to tell that a silence is over: an answer does
            }
        } else {
            doubt(m, doubt(m) * 1.5);
        }
    }
}
