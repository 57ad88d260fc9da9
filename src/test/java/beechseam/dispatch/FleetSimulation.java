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
 * Simulates a fleet: real engines with their dispatchers send to simulated workers on one virtual clock. A run of a few
 * minutes takes a second, and the same seed gives the same run. Violations of the deployment's rules are collected in
 * {@link #violations}.
 */
final class FleetSimulation {
    static final long MS = 1_000_000L;
    static final long S = 1_000_000_000L;
    private static final long HOP_NS = MS / 2;

    /** Work that a worker received while warming up, and whether the sender knew of the worker's latest start. */
    private record ReceivedWork(long at, double work, boolean startKnown) {}

    /**
     * A worker that runs jobs as far as its slots suffice. With {@code fifo}, a job that does not fit blocks the jobs
     * behind it; otherwise they overtake it.
     */
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
                return; // no answer
            }
            chargeBudget(job);
            if (random.nextDouble() < failureRate) {
                after(5 * MS, () -> end(job, Outcome.ERROR));
                return;
            }
            queue.add(job);
            startNext();
        }

        /**
         * Counts the work that a warming worker receives within the overload window. The worker collapses when that
         * exceeds the budget and its allowance for chance.
         */
        private void chargeBudget(Execution job) {
            if (startedNs == 0 || now - startedNs > settings.rules().slowStartNs()) {
                return;
            }
            long windowNs = settings.rules().overloadWindowNs();
            receivedWork.add(new ReceivedWork(now, job.work * job.requiredSlots, job.knownStartNs == startedNs));
            receivedWork.removeIf(each -> each.at < now - windowNs);
            double mean = meanWork();
            double n = settings.rules().overloadFactor() * slowStartCapacity() * slots * speed * windowNs / mean;
            double maxRuns = n + 2 * Math.sqrt(n) + 2; // the excess over n that the operators accept as chance
            double sum = receivedWork.stream().mapToDouble(each -> each.work).sum() / mean;
            double knownStartWork = receivedWork.stream()
                            .mapToDouble(each -> each.startKnown ? each.work : 0)
                            .sum()
                    / mean;
            maxBudgetUse = Math.max(maxBudgetUse, knownStartWork / maxRuns);
            if (!collapsed && sum > maxRuns) {
                collapsed = true;
                if (knownStartWork > sum * 2 / 3) {
                    violations.add(
                            id + " overloaded by " + knownStartWork + " of " + sum + ", its budget is " + maxRuns);
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
        /** Start time of the worker that the node knew when it sent the job. */
        long knownStartNs;

        /** Delivers an event to the engine that sent the job, unless its process has ended. */
        void deliver(Consumer<Engine> event) {
            if (engine == node.engine) {
                event.accept(engine);
            }
        }
    }

    /** A node: an engine with its timers and its connections to workers. */
    final class Node implements Egress, Timers {
        private final Set<Timer> armed = new HashSet<>();
        /** Start time of each worker as known from discovery. */
        final Map<SimulatedWorker, Long> knownStarts = new HashMap<>();

        final int number;
        Engine engine;

        Node(int number) {
            this.number = number;
            start();
        }

        void start() {
            DispatchSettings s = settings;
            DispatchSettings nodeSettings = new DispatchSettings(
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
            engine = new Engine(nodeSettings, random.nextLong(), () -> now, this, this, new Counters());
        }

        private String zone() {
            return zones.get(number % zones.size());
        }

        /** Ends the process and starts another one without its state; the clients of the first one disconnect. */
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
                violations.add("sent to " + worker.id + " after its drain grace period");
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
            long delayNs = HOP_NS + (worker.zone.equals(zone()) ? 0 : MS);
            after(delayNs, () -> worker.receive(job));
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

    /** A client's request; checks that it is answered once, and retried only as the class's idempotency allows. */
    final class ClientRequest implements Ingress {
        final int jobClass;
        final double work;
        final double requiredSlots;
        final long firstAt;
        final int clientAttempt;
        int answers;
        private SimulatedWorker firstWorker;
        private long firstSentAt;

        ClientRequest(int jobClass, double work, double requiredSlots, long firstAt, int clientAttempt) {
            this.jobClass = jobClass;
            this.work = work;
            this.requiredSlots = requiredSlots;
            this.firstAt = firstAt;
            this.clientAttempt = clientAttempt;
        }

        /** Checks that an attempt is allowed after earlier ones, each of which may have run. */
        private void checkRetry(SimulatedWorker worker, String id) {
            JobClass c = settings.classes().get(jobClass);
            if (firstWorker != null && c.idempotency() != Idempotency.IDEMPOTENT) {
                boolean sameScope = c.deduplicationScope() == DeduplicationScope.ALL
                        || firstWorker.zone.equals(worker.zone)
                                && (c.deduplicationScope() == DeduplicationScope.ZONE
                                        || firstWorker.cell == worker.cell);
                if (c.idempotency() == Idempotency.NON_IDEMPOTENT
                        || !sameScope
                        || now - firstSentAt > c.idempotencyWindowNs()) {
                    violations.add(id + " of " + c.name() + " sent to " + firstWorker.id + ", then to " + worker.id);
                }
            }
            firstSentAt = firstWorker == null ? now : firstSentAt;
            firstWorker = firstWorker == null ? worker : firstWorker;
        }

        private void recordAnswer(Request r) {
            if (++answers > 1) {
                violations.add("two answers to " + r.correlation);
            }
            if (now > r.deadlineAt) {
                violations.add("answer after the deadline of " + r.correlation);
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
            if (clientAttempt < maxClientAttempts) { // the client ignores the advised retry time
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
    /** Relative share of the traffic for each node, or null for equal shares. */
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

    private static void count(Map<Integer, Integer> counts, int jobClass) {
        counts.merge(jobClass, 1, Integer::sum);
    }

    void after(long delayNs, Runnable action) {
        timers.set(
                new Timer() {
                    @Override
                    protected void fire() {
                        action.run();
                    }
                },
                now + delayNs);
    }

    SimulatedWorker addWorker(long id, String zone, int cell, int slots, double speed) {
        SimulatedWorker worker = new SimulatedWorker(id, zone, cell, slots, speed);
        workers.put(id, worker);
        return worker;
    }

    /** Starts nodes with the full endpoint list, and periodic load reports of the workers. */
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

    static WorkerEndpoint endpoint(SimulatedWorker worker) {
        return new WorkerEndpoint(
                worker.id, worker.cell, worker.zone, "k" + worker.slots, worker.startedNs, worker.state, Double.NaN);
    }

    /** Announces a changed worker to all nodes, to each at a random time within {@code withinNs}. */
    void announce(SimulatedWorker worker, long withinNs) {
        WorkerEndpoint entry = endpoint(worker);
        for (Node node : nodes) {
            after((long) (random.nextDouble() * withinNs), () -> {
                node.engine.updateEndpoints(EndpointUpdate.DELTA, List.of(entry));
                node.knownStarts.put(worker, entry.startedNs());
            });
        }
        worker.drainListedAt = worker.state == EndpointState.READY ? Long.MAX_VALUE : now + withinNs;
    }

    private void report() {
        for (SimulatedWorker worker : workers.values()) {
            double free = Math.max(0, worker.slots - worker.slotsInUse());
            LoadReport load = reporting
                    ? new LoadReport(worker.inFlight(), worker.queue.size(), free, Double.NaN, Double.NaN)
                    : null;
            after(reportMs * MS / 2, () -> worker.lastReport = load);
        }
        if (settings.liveWeights()) { // the endpoint list carries loads, with a delay that is equal for all nodes
            List<WorkerEndpoint> entries = workers.values().stream()
                    .filter(worker -> worker.state == EndpointState.READY)
                    .map(worker -> new WorkerEndpoint(
                            worker.id,
                            worker.cell,
                            worker.zone,
                            "k" + worker.slots,
                            worker.startedNs,
                            worker.state,
                            worker.slots / (1 + worker.inFlight() / (double) worker.slots)))
                    .toList();
            after(
                    reportMs * MS,
                    () -> nodes.forEach(node -> node.engine.updateEndpoints(
                            EndpointUpdate.DELTA,
                            entries.stream()
                                    .filter(entry -> workers.get(entry.id()).state == EndpointState.READY)
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

    /** Submits jobs of random classes to random nodes for {@code forNs}, as a Poisson process. */
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

    /** Draws an index with the probabilities given by the weights. */
    private int draw(double[] weights) {
        double position = random.nextDouble() * Arrays.stream(weights).sum();
        for (int i = 0; i < weights.length; i++) {
            position -= weights[i];
            if (position < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    void submit(int jobClass, double work, double requiredSlots, long firstAt, int clientAttempt) {
        Node node = nodes.get(nodeShares == null ? random.nextInt(nodes.size()) : draw(nodeShares));
        ClientRequest clientRequest = new ClientRequest(jobClass, work, requiredSlots, firstAt, clientAttempt);
        unanswered++;
        long budget = settings.classes().get(jobClass).deadlineNs();
        beechseam.dispatch.Job job =
                new beechseam.dispatch.Job(0, jobClass, budget, 0, requiredSlots, 0, clientAttempt == 1);
        node.engine.submit("j" + ++jobs, job, clientRequest, clientRequest);
    }

    void run(long durationNs) {
        long end = now + durationNs;
        for (Timer t = timers.due(end); t != null; t = timers.due(end)) {
            now = t.due();
            t.run();
        }
        now = end;
    }

    static int sum(Map<Integer, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Share of the ended jobs of a class, or of all classes for -1, that were served in time. */
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
