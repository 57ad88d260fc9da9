package beechseam.dispatch;

import beechseam.core.Attempt;
import beechseam.core.Counters;
import beechseam.core.Egress;
import beechseam.core.Engine;
import beechseam.core.Ingress;
import beechseam.core.Request;
import beechseam.core.Timer;
import beechseam.core.Timers;
import beechseam.net.TimerQueue;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Many real engines with their modules before stand-in workers, on one virtual clock: a day of a few minutes
 * takes a second, and the same seed gives the same day. It knows the rules, and counts what breaks them.
 */
final class FleetSimulation {
    static final long MS = 1_000_000L;
    static final long S = 1_000_000_000L;
    private static final long WAY = MS / 2;

    /** A worker: {@code slots} jobs at once, in order where {@code fifo}, else whatever fits. */
    final class Box {
        final long id;
        final String zone;
        final int cell;
        final int slots;
        final ArrayDeque<Job> queue = new ArrayDeque<>();
        final List<Job> running = new ArrayList<>();
        final ArrayDeque<double[]> taken = new ArrayDeque<>();
        final double speed;
        double slow = 1;
        double fails;
        boolean silent;
        boolean fell;
        long born;
        long toldDraining = Long.MAX_VALUE;
        EndpointState state = EndpointState.READY;
        LoadReport shown;

        Box(long id, String zone, int cell, int slots, double speed) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
            this.slots = slots;
            this.speed = speed;
            shown = new LoadReport(0, 0, slots, Double.NaN, Double.NaN);
        }

        double ramp() {
            double start = settings.rules().initialCapacity();
            double share =
                    born == 0 ? 1 : (now - born) / (double) settings.rules().slowStartNs();
            return Math.max(start, Math.min(1, start + (1 - start) * share));
        }

        double used() {
            return running.stream().mapToDouble(j -> j.need).sum();
        }

        int held() {
            return queue.size() + running.size();
        }

        void take(Job job) {
            if (silent || fell) {
                return; // nothing is said
            }
            bear(job);
            if (random.nextDouble() < fails) {
                after(5 * MS, () -> end(job, Outcome.ERROR));
                return;
            }
            queue.add(job);
            next();
        }

        /** What a cold worker gets in the time of the rule; past it, with the slack for chance, it falls. */
        private void bear(Job job) {
            if (born == 0 || now - born > settings.rules().slowStartNs()) {
                return;
            }
            long span = settings.rules().overloadWindowNs();
            taken.add(new double[] {now, job.work * job.need, job.toldBorn == born ? 1 : 0});
            taken.removeIf(t -> t[0] < now - span);
            double mean = meanWork();
            double n = settings.rules().overloadFactor() * ramp() * slots * speed * span / mean;
            double most = n + 2 * Math.sqrt(n) + 2; // the operators' term: the rest is chance
            double sum = taken.stream().mapToDouble(t -> t[1]).sum() / mean;
            double knowing = taken.stream().mapToDouble(t -> t[1] * t[2]).sum() / mean;
            mostOfBudget = Math.max(mostOfBudget, knowing / most);
            if (!fell && sum > most) {
                fell = true;
                if (knowing > sum * 2 / 3) {
                    broken.add(id + " pushed over by " + knowing + " of " + sum + ", it bears " + most);
                }
            }
        }

        void next() {
            for (var i = queue.iterator(); i.hasNext(); ) {
                Job job = i.next();
                if (job.gone) {
                    i.remove();
                } else if (used() + job.need <= slots) {
                    i.remove();
                    running.add(job);
                    double time = job.work / (speed * ramp()) * slow;
                    after(WAY, () -> job.tell(e -> e.attemptStarted(job.attempt)));
                    after((long) time, () -> {
                        if (running.remove(job)) {
                            end(job, Outcome.SERVED);
                            next();
                        }
                    });
                } else if (fifo) {
                    return;
                }
            }
        }

        private void end(Job job, Outcome outcome) {
            LoadReport load = shown;
            if (!silent && !fell) {
                after(WAY, () -> job.tell(e -> e.attemptEnded(job.attempt, outcome, new byte[0], load)));
            }
        }

        void cancel(Job job) {
            job.gone = true;
            if (cancelStops && running.remove(job)) {
                next();
            }
        }
    }

    private static final class Job {
        Node node;
        Engine engine;
        Attempt attempt;
        double work;
        double need;
        boolean gone;
        /** The start of its worker that its node knew of as it was sent. */
        long toldBorn;

        /** A process that has ended hears nothing any more. */
        void tell(Consumer<Engine> what) {
            if (engine == node.engine) {
                what.accept(engine);
            }
        }
    }

    /** One node, on its clients' side and its workers'. */
    final class Node implements Egress, Timers {
        private final Set<Timer> armed = new HashSet<>();
        /** Of which start of each worker it has been told. */
        final Map<Box, Long> toldOf = new HashMap<>();

        final int number;
        Engine engine;

        Node(int number) {
            this.number = number;
            start();
        }

        void start() {
            DispatchSettings s = settings;
            DispatchSettings own = new DispatchSettings(
                    s.classes(),
                    s.limits(),
                    s.rules(),
                    s.loadReportSource(),
                    s.pollsEndpoints(),
                    s.dispatcherCount(),
                    number,
                    zone(),
                    s.reportsStart(),
                    s.progressIntervalNs(),
                    s.crossZoneCost(),
                    s.handshakeCost(),
                    s.healthCheckCost(),
                    s.weightByWork(),
                    s.liveWeights());
            engine = new Engine(own, random.nextLong(), () -> now, this, this, new Counters());
        }

        private String zone() {
            return zones.get(number % zones.size());
        }

        /** The process ends and another begins: nothing of the first is known, and its clients leave. */
        void restart() {
            armed.forEach(timers::cancel);
            armed.clear();
            owed -= engine.counters().current();
            start();
        }

        @Override
        public void set(Timer timer, long at) {
            armed.add(timer);
            timers.set(timer, Math.max(at, now));
        }

        @Override
        public void cancel(Timer timer) {
            armed.remove(timer);
            timers.cancel(timer);
        }

        @Override
        public void send(Attempt attempt) {
            Box box = boxes.get(attempt.target);
            Asked asked = (Asked) attempt.request.message;
            sends.merge(attempt.target, 1, Integer::sum);
            attempt.begun();
            if (now - settings.rules().drainGraceNs() > box.toldDraining) {
                broken.add("sent to " + box.id + " after its drain");
            }
            asked.sentTo(box, attempt.request.correlation);
            Job job = new Job();
            job.node = this;
            job.engine = engine;
            job.attempt = attempt;
            job.work = asked.work;
            job.need = asked.need;
            job.toldBorn = toldOf.getOrDefault(box, 0L);
            attempt.exchange = job;
            long way = WAY + (box.zone.equals(zone()) ? 0 : MS);
            after(way, () -> box.take(job));
        }

        @Override
        public void cancel(Attempt attempt) {
            after(WAY, () -> boxes.get(attempt.target).cancel((Job) attempt.exchange));
        }

        @Override
        public void healthCheck(long target) {
            after(
                    2 * WAY,
                    () -> engine.healthCheckCompleted(target, !boxes.get(target).silent, boxes.get(target).shown));
        }
    }

    /** What a client asked for, and what came of it. */
    final class Asked implements Ingress {
        final int jobClass;
        final double work;
        final double need;
        final long firstAt;
        final int tries;
        int answers;
        private Box first;
        private long firstSentAt;

        Asked(int jobClass, double work, double need, long firstAt, int tries) {
            this.jobClass = jobClass;
            this.work = work;
            this.need = need;
            this.firstAt = firstAt;
            this.tries = tries;
        }

        /** Whatever is sent here may have run: a further one goes as the class allows. */
        private void sentTo(Box box, String id) {
            JobClass c = settings.classes().get(jobClass);
            if (first != null && c.idempotency() != Idempotency.IDEMPOTENT) {
                boolean same = c.deduplicationScope() == DeduplicationScope.ALL
                        || first.zone.equals(box.zone)
                                && (c.deduplicationScope() == DeduplicationScope.ZONE || first.cell == box.cell);
                if (c.idempotency() == Idempotency.NON_IDEMPOTENT
                        || !same
                        || now - firstSentAt > c.idempotencyWindowNs()) {
                    broken.add(id + " of " + c.name() + " sent to " + first.id + ", then to " + box.id);
                }
            }
            firstSentAt = first == null ? now : firstSentAt;
            first = first == null ? box : first;
        }

        private void once(Request r) {
            if (++answers > 1) {
                broken.add("two answers to " + r.correlation);
            }
            if (now > r.deadlineAt) {
                broken.add("an answer after the time of " + r.correlation);
            }
            owed--;
        }

        @Override
        public void served(Request r, byte[] result) {
            JobClass c = settings.classes().get(jobClass);
            once(r);
            count(now - firstAt <= c.latencyObjectiveNs() + c.stretch() * work ? inTime : late, jobClass);
        }

        @Override
        public void shed(Request r, long pauseNs) {
            once(r);
            pauses.add(pauseNs);
            if (tries < clientTries) { // at once, whatever it was told
                after(20 * MS, () -> submit(jobClass, work, need, firstAt, tries + 1));
            } else {
                count(refused, jobClass);
            }
        }

        @Override
        public void failed(Request r, String why) {
            once(r);
            count(failed, jobClass);
        }
    }

    final DispatchSettings settings;
    final Map<Long, Box> boxes = new LinkedHashMap<>();
    final List<Node> nodes = new ArrayList<>();
    final List<String> broken = new ArrayList<>();
    final Map<Long, Integer> sends = new HashMap<>();
    final List<Long> pauses = new ArrayList<>();
    final Map<Integer, Integer> inTime = new HashMap<>();
    final Map<Integer, Integer> late = new HashMap<>();
    final Map<Integer, Integer> refused = new HashMap<>();
    final Map<Integer, Integer> failed = new HashMap<>();
    final Random random;
    List<String> zones = List.of("z1");
    double[] shares = {1};
    /** What each node gets of the traffic, or null: all alike. */
    double[] nodeShares;

    double[] meanWorks = {100 * MS};
    double[][] slotShares = {{1}};
    double spread = 1;
    boolean fifo = true;
    boolean cancelStops = true;
    int clientTries = 1;
    boolean reporting = true;
    long reportMs = 500;
    long now = 1_000_000 * S;
    double mostOfBudget;
    int owed;
    private final TimerQueue timers = new TimerQueue();
    private long jobs;

    FleetSimulation(DispatchSettings settings, long seed) {
        this.settings = settings;
        random = new Random(seed);
    }

    private static void count(Map<Integer, Integer> of, int jobClass) {
        of.merge(jobClass, 1, Integer::sum);
    }

    void after(long span, Runnable what) {
        timers.set(
                new Timer() {
                    @Override
                    protected void fire() {
                        what.run();
                    }
                },
                now + span);
    }

    Box box(long id, String zone, int cell, int slots, double speed) {
        Box b = new Box(id, zone, cell, slots, speed);
        boxes.put(id, b);
        return b;
    }

    /** The nodes start with the whole list; reports are renewed from now on. */
    void begin(int count) {
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i));
            nodes.get(i).engine.updateEndpoints(EndpointUpdate.SNAPSHOT, list());
        }
        report();
    }

    List<WorkerEndpoint> list() {
        return boxes.values().stream().map(FleetSimulation::row).toList();
    }

    static WorkerEndpoint row(Box b) {
        return new WorkerEndpoint(b.id, b.cell, b.zone, "k" + b.slots, b.born, b.state, Double.NaN);
    }

    /** Each node is told of a change, each at a time of its own. */
    void tell(Box b, long withinNs) {
        WorkerEndpoint row = row(b);
        for (Node n : nodes) {
            after((long) (random.nextDouble() * withinNs), () -> {
                n.engine.updateEndpoints(EndpointUpdate.DELTA, List.of(row));
                n.toldOf.put(b, row.startedNs());
            });
        }
        b.toldDraining = b.state == EndpointState.READY ? Long.MAX_VALUE : now + withinNs;
    }

    private void report() {
        for (Box b : boxes.values()) {
            double free = Math.max(0, b.slots - b.used());
            LoadReport l = reporting ? new LoadReport(b.held(), b.queue.size(), free, Double.NaN, Double.NaN) : null;
            after(reportMs * MS / 2, () -> b.shown = l);
        }
        if (settings.liveWeights()) { // a list that tells each one's load, to all alike and late
            List<WorkerEndpoint> rows = boxes.values().stream()
                    .filter(b -> b.state == EndpointState.READY)
                    .map(b -> new WorkerEndpoint(
                            b.id,
                            b.cell,
                            b.zone,
                            "k" + b.slots,
                            b.born,
                            b.state,
                            b.slots / (1 + b.held() / (double) b.slots)))
                    .toList();
            after(
                    reportMs * MS,
                    () -> nodes.forEach(n -> n.engine.updateEndpoints(
                            EndpointUpdate.DELTA,
                            rows.stream()
                                    .filter(r -> boxes.get(r.id()).state == EndpointState.READY)
                                    .toList())));
        }
        after(reportMs * MS, this::report);
    }

    double meanWork() {
        double sum = 0;
        for (int i = 0; i < shares.length; i++) {
            double slots = 0;
            for (int k = 0; k < slotShares[i].length; k++) {
                slots += slotShares[i][k] * (1 << k);
            }
            sum += shares[i] * meanWorks[i] * slots;
        }
        return sum / Arrays.stream(shares).sum();
    }

    /** So many jobs a second come from now on, of all classes, to nodes drawn. */
    void load(double perSecond, long forNs) {
        long end = now + forNs;
        after((long) (-Math.log(1 - random.nextDouble()) / perSecond * S), () -> {
            if (now < end) {
                int c = draw(shares);
                double sigma = spread;
                double work = meanWorks[c] * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
                submit(c, Math.max(MS, work), 1 << draw(slotShares[c]), now, 1);
                load(perSecond, end - now);
            }
        });
    }

    private int draw(double[] of) {
        double at = random.nextDouble() * Arrays.stream(of).sum();
        for (int i = 0; i < of.length; i++) {
            at -= of[i];
            if (at < 0) {
                return i;
            }
        }
        return of.length - 1;
    }

    void submit(int jobClass, double work, double need, long firstAt, int tries) {
        Node n = nodes.get(nodeShares == null ? random.nextInt(nodes.size()) : draw(nodeShares));
        Asked asked = new Asked(jobClass, work, need, firstAt, tries);
        owed++;
        long budget = settings.classes().get(jobClass).deadlineNs();
        beechseam.dispatch.Job job = new beechseam.dispatch.Job(0, jobClass, budget, 0, need, 0, tries == 1);
        n.engine.submit("j" + ++jobs, job, asked, asked);
    }

    void run(long span) {
        long end = now + span;
        for (Timer t = timers.due(end); t != null; t = timers.due(end)) {
            now = t.due();
            t.run();
        }
        now = end;
    }

    static int sum(Map<Integer, Integer> of) {
        return of.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Of the jobs of a class that have ended, or (-1) of all, the share that was served in time. */
    double share(int jobClass) {
        int all = 0;
        for (Map<Integer, Integer> each : List.of(inTime, late, refused, failed)) {
            all += jobClass < 0 ? sum(each) : each.getOrDefault(jobClass, 0);
        }
        return (jobClass < 0 ? sum(inTime) : inTime.getOrDefault(jobClass, 0)) / (double) Math.max(1, all);
    }

    @Override
    public String toString() {
        return "in time " + inTime + " late " + late + " refused " + refused + " failed " + failed + " broken "
                + broken;
    }
}
