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
 * Many real engines with their dispatchers before simulated workers, on one virtual clock: a run of a few minutes
 * takes a second, and the same seed gives the same run. It checks the rules of the deployment, and counts violations.
 */
final class FleetSimulation {
    static final long MS = 1_000_000L;
    static final long S = 1_000_000_000L;
    private static final long HOP_NS = MS / 2;

    /** Work that reached a worker while it warmed up, and whether the sender knew of that start of the worker. */
    private record ReceivedWork(long at, double work, boolean startKnown) {}

    /** A worker: {@code slots} jobs at once, in order where {@code fifo}, else whatever fits. */
    final class SimulatedWorker {
        final long id;
        final String zone;
        final int cell;
        final int slots;
        final ArrayDeque<Execution> queue = new ArrayDeque<>();
        final List<Execution> running = new ArrayList<>();
        final ArrayDeque<ReceivedWork> receivedWork = new ArrayDeque<>();
        final double speed;
        double slowdown = 1;
        double failureRate;
        boolean stalled;
        boolean collapsed;
        long startedNs;
        long drainListedAt = Long.MAX_VALUE;
        EndpointState state = EndpointState.READY;
        LoadReport lastReport;

        SimulatedWorker(long id, String zone, int cell, int slots, double speed) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
            this.slots = slots;
            this.speed = speed;
            lastReport = new LoadReport(0, 0, slots, Double.NaN, Double.NaN);
        }

        double slowStartCapacity() {
            double start = settings.rules().initialCapacity();
            double share = startedNs == 0
                    ? 1
                    : (now - startedNs) / (double) settings.rules().slowStartNs();
            return Math.max(start, Math.min(1, start + (1 - start) * share));
        }

        double slotsInUse() {
            return running.stream().mapToDouble(j -> j.requiredSlots).sum();
        }

        int inFlight() {
            return queue.size() + running.size();
        }

        void receive(Execution job) {
            if (stalled || collapsed) {
                return; // nothing is said
            }
            chargeBudget(job);
            if (random.nextDouble() < failureRate) {
                after(5 * MS, () -> end(job, Outcome.ERROR));
                return;
            }
            queue.add(job);
            startNext();
        }

        /** What a warming worker receives within the window of the rule; past the budget and chance it collapses. */
        private void chargeBudget(Execution job) {
            if (startedNs == 0 || now - startedNs > settings.rules().slowStartNs()) {
                return;
            }
            long span = settings.rules().overloadWindowNs();
            receivedWork.add(new ReceivedWork(now, job.work * job.requiredSlots, job.knownStartNs == startedNs));
            receivedWork.removeIf(each -> each.at < now - span);
            double mean = meanWork();
            double n = settings.rules().overloadFactor() * slowStartCapacity() * slots * speed * span / mean;
            double most = n + 2 * Math.sqrt(n) + 2; // the operators' term: the rest is chance
            double sum = receivedWork.stream().mapToDouble(each -> each.work).sum() / mean;
            double sentKnowingly = receivedWork.stream()
                            .mapToDouble(each -> each.startKnown ? each.work : 0)
                            .sum()
                    / mean;
            maxBudgetUse = Math.max(maxBudgetUse, sentKnowingly / most);
            if (!collapsed && sum > most) {
                collapsed = true;
                if (sentKnowingly > sum * 2 / 3) {
                    violations.add(id + " overloaded by " + sentKnowingly + " of " + sum + ", its budget is " + most);
                }
            }
        }

        void startNext() {
            for (var i = queue.iterator(); i.hasNext(); ) {
                Execution job = i.next();
                if (job.cancelled) {
                    i.remove();
                } else if (slotsInUse() + job.requiredSlots <= slots) {
                    i.remove();
                    running.add(job);
                    double time = job.work / (speed * slowStartCapacity()) * slowdown;
                    after(HOP_NS, () -> job.deliver(e -> e.attemptStarted(job.attempt)));
                    after((long) time, () -> {
                        if (running.remove(job)) {
                            end(job, Outcome.SERVED);
                            startNext();
                        }
                    });
                } else if (fifo) {
                    return;
                }
            }
        }

        private void end(Execution job, Outcome outcome) {
            LoadReport load = lastReport;
            if (!stalled && !collapsed) {
                after(HOP_NS, () -> job.deliver(e -> e.attemptEnded(job.attempt, outcome, new byte[0], load)));
            }
        }

        void cancel(Execution job) {
            job.cancelled = true;
            if (cancelStops && running.remove(job)) {
                startNext();
            }
        }
    }

    private static final class Execution {
        Node node;
        Engine engine;
        Attempt attempt;
        double work;
        double requiredSlots;
        boolean cancelled;
        /** The start of its worker that its node knew of as it was sent. */
        long knownStartNs;

        /** A process that has ended hears nothing any more. */
        void deliver(Consumer<Engine> what) {
            if (engine == node.engine) {
                what.accept(engine);
            }
        }
    }

    /** One node, on its clients' side and its workers'. */
    final class Node implements Egress, Timers {
        private final Set<Timer> armed = new HashSet<>();
        /** Of which start of each worker it has been told. */
        final Map<SimulatedWorker, Long> knownStarts = new HashMap<>();

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

        /** The process ends and another starts: nothing of the first is known, and its clients disconnect. */
        void restart() {
            armed.forEach(timers::cancel);
            armed.clear();
            unanswered -= engine.counters().current();
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
            SimulatedWorker worker = workers.get(attempt.target);
            ClientRequest clientRequest = (ClientRequest) attempt.request.message;
            sends.merge(attempt.target, 1, Integer::sum);
            attempt.begun();
            if (now - settings.rules().drainGraceNs() > worker.drainListedAt) {
                violations.add("sent to " + worker.id + " after its drain");
            }
            clientRequest.checkRetry(worker, attempt.request.correlation);
            Execution job = new Execution();
            job.node = this;
            job.engine = engine;
            job.attempt = attempt;
            job.work = clientRequest.work;
            job.requiredSlots = clientRequest.requiredSlots;
            job.knownStartNs = knownStarts.getOrDefault(worker, 0L);
            attempt.exchange = job;
            long way = HOP_NS + (worker.zone.equals(zone()) ? 0 : MS);
            after(way, () -> worker.receive(job));
        }

        @Override
        public void cancel(Attempt attempt) {
            after(HOP_NS, () -> workers.get(attempt.target).cancel((Execution) attempt.exchange));
        }

        @Override
        public void healthCheck(long target) {
            after(
                    2 * HOP_NS,
                    () -> engine.healthCheckCompleted(
                            target, !workers.get(target).stalled, workers.get(target).lastReport));
        }
    }

    /** A client's request and its answers; it checks that attempts keep to the class's idempotency. */
    final class ClientRequest implements Ingress {
        final int jobClass;
        final double work;
        final double requiredSlots;
        final long firstAt;
        final int clientAttempt;
        int answers;
        private SimulatedWorker first;
        private long firstSentAt;

        ClientRequest(int jobClass, double work, double requiredSlots, long firstAt, int clientAttempt) {
            this.jobClass = jobClass;
            this.work = work;
            this.requiredSlots = requiredSlots;
            this.firstAt = firstAt;
            this.clientAttempt = clientAttempt;
        }

        /** Whatever is sent here may have run: a further one goes as the class allows. */
        private void checkRetry(SimulatedWorker worker, String id) {
            JobClass c = settings.classes().get(jobClass);
            if (first != null && c.idempotency() != Idempotency.IDEMPOTENT) {
                boolean same = c.deduplicationScope() == DeduplicationScope.ALL
                        || first.zone.equals(worker.zone)
                                && (c.deduplicationScope() == DeduplicationScope.ZONE || first.cell == worker.cell);
                if (c.idempotency() == Idempotency.NON_IDEMPOTENT
                        || !same
                        || now - firstSentAt > c.idempotencyWindowNs()) {
                    violations.add(id + " of " + c.name() + " sent to " + first.id + ", then to " + worker.id);
                }
            }
            firstSentAt = first == null ? now : firstSentAt;
            first = first == null ? worker : first;
        }

        private void recordAnswer(Request r) {
            if (++answers > 1) {
                violations.add("two answers to " + r.correlation);
            }
            if (now > r.deadlineAt) {
                violations.add("an answer after the time of " + r.correlation);
            }
            unanswered--;
        }

        @Override
        public void served(Request r, byte[] result) {
            JobClass c = settings.classes().get(jobClass);
            recordAnswer(r);
            count(now - firstAt <= c.latencyObjectiveNs() + c.stretch() * work ? inTime : late, jobClass);
        }

        @Override
        public void shed(Request r, long retryAfterNs) {
            recordAnswer(r);
            retryAfters.add(retryAfterNs);
            if (clientAttempt < maxClientAttempts) { // at once, whatever it was told
                after(20 * MS, () -> submit(jobClass, work, requiredSlots, firstAt, clientAttempt + 1));
            } else {
                count(shed, jobClass);
            }
        }

        @Override
        public void failed(Request r, String why) {
            recordAnswer(r);
            count(failed, jobClass);
        }
    }

    final DispatchSettings settings;
    final Map<Long, SimulatedWorker> workers = new LinkedHashMap<>();
    final List<Node> nodes = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final Map<Long, Integer> sends = new HashMap<>();
    final List<Long> retryAfters = new ArrayList<>();
    final Map<Integer, Integer> inTime = new HashMap<>();
    final Map<Integer, Integer> late = new HashMap<>();
    final Map<Integer, Integer> shed = new HashMap<>();
    final Map<Integer, Integer> failed = new HashMap<>();
    final Random random;
    List<String> zones = List.of("z1");
    double[] classShares = {1};
    /** What each node gets of the traffic, or null: all alike. */
    double[] nodeShares;

    double[] meanWorks = {100 * MS};
    double[][] slotShares = {{1}};
    double workSigma = 1;
    boolean fifo = true;
    boolean cancelStops = true;
    int maxClientAttempts = 1;
    boolean reporting = true;
    long reportMs = 500;
    long now = 1_000_000 * S;
    double maxBudgetUse;
    int unanswered;
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

    SimulatedWorker addWorker(long id, String zone, int cell, int slots, double speed) {
        SimulatedWorker b = new SimulatedWorker(id, zone, cell, slots, speed);
        workers.put(id, b);
        return b;
    }

    /** The nodes start with the whole list; reports are renewed from now on. */
    void start(int count) {
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i));
            nodes.get(i).engine.updateEndpoints(EndpointUpdate.SNAPSHOT, endpoints());
        }
        report();
    }

    List<WorkerEndpoint> endpoints() {
        return workers.values().stream().map(FleetSimulation::endpoint).toList();
    }

    static WorkerEndpoint endpoint(SimulatedWorker b) {
        return new WorkerEndpoint(b.id, b.cell, b.zone, "k" + b.slots, b.startedNs, b.state, Double.NaN);
    }

    /** Each node is told of a change, each at a time of its own. */
    void announce(SimulatedWorker b, long withinNs) {
        WorkerEndpoint row = endpoint(b);
        for (Node n : nodes) {
            after((long) (random.nextDouble() * withinNs), () -> {
                n.engine.updateEndpoints(EndpointUpdate.DELTA, List.of(row));
                n.knownStarts.put(b, row.startedNs());
            });
        }
        b.drainListedAt = b.state == EndpointState.READY ? Long.MAX_VALUE : now + withinNs;
    }

    private void report() {
        for (SimulatedWorker b : workers.values()) {
            double free = Math.max(0, b.slots - b.slotsInUse());
            LoadReport l =
                    reporting ? new LoadReport(b.inFlight(), b.queue.size(), free, Double.NaN, Double.NaN) : null;
            after(reportMs * MS / 2, () -> b.lastReport = l);
        }
        if (settings.liveWeights()) { // a list that tells each one's load, to all alike and late
            List<WorkerEndpoint> rows = workers.values().stream()
                    .filter(b -> b.state == EndpointState.READY)
                    .map(b -> new WorkerEndpoint(
                            b.id,
                            b.cell,
                            b.zone,
                            "k" + b.slots,
                            b.startedNs,
                            b.state,
                            b.slots / (1 + b.inFlight() / (double) b.slots)))
                    .toList();
            after(
                    reportMs * MS,
                    () -> nodes.forEach(n -> n.engine.updateEndpoints(
                            EndpointUpdate.DELTA,
                            rows.stream()
                                    .filter(r -> workers.get(r.id()).state == EndpointState.READY)
                                    .toList())));
        }
        after(reportMs * MS, this::report);
    }

    double meanWork() {
        double sum = 0;
        for (int i = 0; i < classShares.length; i++) {
            double slots = 0;
            for (int k = 0; k < slotShares[i].length; k++) {
                slots += slotShares[i][k] * (1 << k);
            }
            sum += classShares[i] * meanWorks[i] * slots;
        }
        return sum / Arrays.stream(classShares).sum();
    }

    /** So many jobs a second come from now on, of all classes, to nodes drawn. */
    void load(double perSecond, long forNs) {
        long end = now + forNs;
        after((long) (-Math.log(1 - random.nextDouble()) / perSecond * S), () -> {
            if (now < end) {
                int c = draw(classShares);
                double sigma = workSigma;
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

    void submit(int jobClass, double work, double requiredSlots, long firstAt, int clientAttempt) {
        Node n = nodes.get(nodeShares == null ? random.nextInt(nodes.size()) : draw(nodeShares));
        ClientRequest clientRequest = new ClientRequest(jobClass, work, requiredSlots, firstAt, clientAttempt);
        unanswered++;
        long budget = settings.classes().get(jobClass).deadlineNs();
        beechseam.dispatch.Job job =
                new beechseam.dispatch.Job(0, jobClass, budget, 0, requiredSlots, 0, clientAttempt == 1);
        n.engine.submit("j" + ++jobs, job, clientRequest, clientRequest);
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
    double inTimeFraction(int jobClass) {
        int all = 0;
        for (Map<Integer, Integer> each : List.of(inTime, late, shed, failed)) {
            all += jobClass < 0 ? sum(each) : each.getOrDefault(jobClass, 0);
        }
        return (jobClass < 0 ? sum(inTime) : inTime.getOrDefault(jobClass, 0)) / (double) Math.max(1, all);
    }

    @Override
    public String toString() {
        return "in time " + inTime + " late " + late + " shed " + shed + " failed " + failed + " violations "
                + violations;
    }
}
