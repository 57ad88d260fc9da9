package beechseam.fleet.model;

import beechseam.fleet.membership.Member;
import beechseam.fleet.membership.MemberStatus;
import beechseam.fleet.membership.MembershipOptions;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * Measures the membership protocol in a {@link VirtualFleet}, at fleet sizes that are impractical with real sockets:
 * its load, the time until a death is detected and disseminated, and its false positives. The same seed gives the same
 * result.
 */
public final class MembershipExperiment {
    /**
     * One case to measure.
     *
     * @param nodes  number of nodes
     * @param loss   probability, 0 to 1, with which each message is lost
     * @param slow   share of the nodes that are paused for 3 s at a time, a quarter of the time in total
     * @param health whether local health (Lifeguard) is enabled
     * @param deaths number of deaths to measure, one after the other
     * @param hours  node-hours without deaths during which false positives and load are measured
     */
    public record Case(int nodes, double loss, double slow, boolean health, int deaths, double hours) {}

    /**
     * Result of one case. Times are seconds of virtual time, or NaN if nothing was observed.
     *
     * @param of                       the case
     * @param detectionP50             median time from a kill until the first member confirms the death
     * @param detectionP99             99th percentile of the same time
     * @param disseminationP50         median time from a kill until all members have confirmed the death
     * @param disseminationP99         99th percentile of the same time
     * @param falseDeathsPerNodeHour   living members confirmed dead, each incarnation counted once
     * @param suspicionsPerNodeHour    living members suspected, each incarnation counted once
     * @param bytesPerNodeSecond       bytes that a node sends per second while there are no deaths
     * @param messagesPerNodeSecond    messages that a node sends per second while there are no deaths
     * @param convergenceAfterStart    time from the simultaneous start of all nodes until all know all others
     */
    public record Result(
            Case of,
            double detectionP50,
            double detectionP99,
            double disseminationP50,
            double disseminationP99,
            double falseDeathsPerNodeHour,
            double suspicionsPerNodeHour,
            double bytesPerNodeSecond,
            double messagesPerNodeSecond,
            double convergenceAfterStart) {
        /** The case and its result under the keys of the results file, in the order of that file. */
        public Map<String, Object> toRow() {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("nodes", of.nodes);
            row.put("loss", of.loss);
            row.put("slow", of.slow);
            row.put("health", of.health);
            row.put("noticed_p50_s", detectionP50);
            row.put("noticed_p99_s", detectionP99);
            row.put("agreed_p50_s", disseminationP50);
            row.put("agreed_p99_s", disseminationP99);
            row.put("false_deaths_per_node_hour", falseDeathsPerNodeHour);
            row.put("suspicions_per_node_hour", suspicionsPerNodeHour);
            row.put("bytes_per_node_second", bytesPerNodeSecond);
            row.put("messages_per_node_second", messagesPerNodeSecond);
            row.put("all_joined_s", convergenceAfterStart);
            return row;
        }
    }

    /** Load of a node while no node is killed. */
    private record Load(double bytesPerSecond, double messagesPerSecond, double nodeHours) {}

    private static final long SECOND_NS = MembershipOptions.SECOND_NS;
    private static final double NS_PER_SECOND = 1e9;
    private static final double NS_PER_HOUR = 3600e9;
    private static final long NS_PER_MS = 1_000_000;
    private static final double MS_PER_SECOND = 1e3;

    private static final long PAUSE_NS = 3 * SECOND_NS;
    /** Mean time from the start of one pause of a node to the next. */
    private static final int PAUSE_PERIOD_SECONDS = 12;

    private static final long CONVERGENCE_LIMIT_NS = 600 * SECOND_NS;
    private static final long DISSEMINATION_LIMIT_NS = 300 * SECOND_NS;
    private static final long SETTLING_NS = 30 * SECOND_NS;
    private static final long RECOVERY_NS = 20 * SECOND_NS;
    private static final double MIN_LOAD_NS = 60 * NS_PER_SECOND;

    /** Largest fleet for which the full number of deaths is measured; larger ones take long to simulate. */
    private static final int SMALL_FLEET = 100;

    private static final int MAX_LATENCY_MS = 3_600_000;

    private final VirtualFleet fleet;
    private final Case of;
    private final Random random;
    private final Set<Integer> pausingNodes = new HashSet<>();
    private final Set<String> falseSuspects = new HashSet<>();
    private final Set<String> falseDeaths = new HashSet<>();
    private final Histogram detectionMs = new Histogram(1, MAX_LATENCY_MS, 3);
    private final Histogram disseminationMs = new Histogram(1, MAX_LATENCY_MS, 3);
    private boolean countsFalsePositives;
    /** Name of the killed member whose death is being measured, or empty. */
    private String killedName = "";
    /** When the first member confirmed the death, or 0 if none has. */
    private long detectedAtNs;

    private int confirmations;

    private MembershipExperiment(Case of, long seed) {
        this.of = of;
        random = new Random(seed);
        fleet = new VirtualFleet(MembershipOptions.defaults(List.of()).withLocalHealth(of.health), seed);
        fleet.setLossRate(of.loss);
        fleet.setListener(this::memberChanged);
    }

    /** Runs one case. */
    public static Result run(Case of, long seed) {
        return new MembershipExperiment(of, seed).run();
    }

    private void memberChanged(int observer, Member before, Member after, String reason) {
        MemberStatus status = after.status();
        if (after.name().equals(killedName)) {
            if (status == MemberStatus.DEAD) {
                detectedAtNs = detectedAtNs == 0 ? fleet.nowNs() : detectedAtNs;
                confirmations++;
            }
        } else if (countsFalsePositives && (status == MemberStatus.DEAD || status == MemberStatus.SUSPECT)) {
            String incarnation = after.name() + " " + after.epoch() + " " + after.incarnation();
            (status == MemberStatus.DEAD ? falseDeaths : falseSuspects).add(incarnation);
        }
    }

    private Result run() {
        fleet.startAll(of.nodes);
        double convergenceSeconds = awaitConvergence();
        fleet.run(SETTLING_NS);
        startPauses();
        Load load = measureLoad();
        for (int i = 0; i < of.deaths; i++) {
            measureDeath();
        }
        return new Result(
                of,
                percentileSeconds(detectionMs, 50),
                percentileSeconds(detectionMs, 99),
                percentileSeconds(disseminationMs, 50),
                percentileSeconds(disseminationMs, 99),
                falseDeaths.size() / load.nodeHours,
                falseSuspects.size() / load.nodeHours,
                load.bytesPerSecond,
                load.messagesPerSecond,
                convergenceSeconds);
    }

    private double awaitConvergence() {
        double seconds = Double.NaN;
        while (fleet.nowNs() < CONVERGENCE_LIMIT_NS && Double.isNaN(seconds)) {
            fleet.run(SECOND_NS / 2);
            seconds = fleet.hasConverged() ? fleet.nowNs() / NS_PER_SECOND : Double.NaN;
        }
        return seconds;
    }

    private void startPauses() {
        for (int i = 0; i < of.nodes * of.slow; i++) {
            int node = random.nextInt(of.nodes);
            if (pausingNodes.add(node)) {
                fleet.after((long) (random.nextDouble() * PAUSE_PERIOD_SECONDS * SECOND_NS), () -> pause(node));
            }
        }
    }

    private Load measureLoad() {
        long durationNs = (long) Math.max(MIN_LOAD_NS, of.hours * NS_PER_HOUR / of.nodes);
        long bytesBefore = fleet.bytesSent();
        long messagesBefore = fleet.messagesSent();
        countsFalsePositives = true;
        fleet.run(durationNs);
        countsFalsePositives = false;
        double nodeSeconds = durationNs / NS_PER_SECOND * of.nodes;
        return new Load(
                (fleet.bytesSent() - bytesBefore) / nodeSeconds,
                (fleet.messagesSent() - messagesBefore) / nodeSeconds,
                nodeSeconds / 3600);
    }

    private static double percentileSeconds(Histogram latenciesMs, double percentile) {
        return latenciesMs.getTotalCount() == 0
                ? Double.NaN
                : latenciesMs.getValueAtPercentile(percentile) / MS_PER_SECOND;
    }

    /** Pauses a node, and pauses it again repeatedly after random gaps. */
    private void pause(int node) {
        fleet.setPaused(node, true);
        fleet.after(PAUSE_NS, () -> {
            fleet.setPaused(node, false);
            long meanGapNs = PAUSE_PERIOD_SECONDS * SECOND_NS - PAUSE_NS;
            fleet.after((long) ((0.5 + random.nextDouble()) * meanGapNs), () -> pause(node));
        });
    }

    private void measureDeath() {
        int node = random.nextInt(of.nodes);
        killedName = fleet.membership(node).self().name();
        detectedAtNs = 0;
        confirmations = 0;
        fleet.run((long) (random.nextDouble() * SECOND_NS));
        long killedAtNs = fleet.nowNs();
        fleet.kill(node);
        boolean disseminated = fleet.runUntil(DISSEMINATION_LIMIT_NS, () -> confirmations >= of.nodes - 1);
        if (detectedAtNs > 0) {
            record(detectionMs, detectedAtNs - killedAtNs);
        }
        if (disseminated) {
            record(disseminationMs, fleet.nowNs() - killedAtNs);
        }
        killedName = "";
        fleet.restart(node);
        fleet.run(RECOVERY_NS);
    }

    private static void record(Histogram latenciesMs, long latencyNs) {
        latenciesMs.recordValue(Math.max(1, latencyNs / NS_PER_MS));
    }

    /**
     * The cases of the design's table: each size with three loss rates, at the highest loss rate without local health,
     * and with paused nodes with and without local health.
     *
     * @param sizes the fleet sizes, in nodes
     * @param scale factor of the number of deaths and of the node-hours; 1 for the full measurement
     */
    public static List<Case> standardCases(int[] sizes, double scale) {
        List<Case> cases = new ArrayList<>();
        for (int nodes : sizes) {
            int deaths = (int) Math.max(3, (nodes <= SMALL_FLEET ? 100 : 20) * scale);
            double hours = 50 * scale;
            for (double loss : new double[] {0, 0.05, 0.2}) {
                cases.add(new Case(nodes, loss, 0, true, deaths, hours));
            }
            cases.add(new Case(nodes, 0.2, 0, false, 0, hours));
            cases.add(new Case(nodes, 0.05, 0.1, true, 0, hours));
            cases.add(new Case(nodes, 0.05, 0.1, false, 0, hours));
        }
        return cases;
    }

    /**
     * Runs cases in parallel on all cores, starting with the largest, each with its own seed.
     *
     * @param cases    the cases to run
     * @param seed     seed of the first case; each following case adds one
     * @param onResult called with each result as soon as it is available, by one thread at a time
     * @return the results in the order of the cases
     */
    public static List<Result> runAll(List<Case> cases, long seed, Consumer<Result> onResult) {
        Result[] results = new Result[cases.size()];
        IntStream.range(0, results.length)
                .boxed()
                .sorted(Comparator.comparingInt((Integer i) -> cases.get(i).nodes)
                        .reversed())
                .toList()
                .parallelStream()
                .forEach(i -> {
                    results[i] = run(cases.get(i), seed + i);
                    synchronized (onResult) {
                        onResult.accept(results[i]);
                    }
                });
        return Arrays.asList(results);
    }
}
