package beechseam.fleet.model;

import beechseam.fleet.membership.Options;
import beechseam.fleet.membership.Standing;
import beechseam.fleet.membership.Standing.State;
import java.util.ArrayList;
import java.util.Arrays;
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
 * What membership costs and how well it tells the dead from the living, at sizes that sockets do not reach:
 * the real machine in virtual time. Everything is drawn from the seed.
 */
public final class MembershipMeasure {
    /**
     * One fleet.
     *
     * @param nodes  in it
     * @param loss   share of messages that are lost, each by itself
     * @param slow   share of the nodes that stand still 3 s at a time, for a quarter of the time
     * @param health whether local health (Lifeguard) is on
     * @param deaths how many nodes are killed, one after the other
     * @param hours  node-hours without a death, in which false accusations and bytes are counted
     */
    public record Case(int nodes, double loss, double slow, boolean health, int deaths, double hours) {}

    /**
     * What came of it. Times are seconds of virtual time from the kill; NaN where there was none. Accusations
     * are counted once for each life and incarnation, by the hour of a node; bytes and messages are those
     * that a node sends in a second of the quiet time; {@code joined} is the time until all held all, from
     * the start of all at once.
     */
    public record Figures(
            Case of,
            double noticed50,
            double noticed99,
            double agreed50,
            double agreed99,
            double falseDeaths,
            double suspicions,
            double bytes,
            double messages,
            double joined) {
        /** By name, for a file. */
        public Map<String, Object> row() {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("nodes", of.nodes);
            row.put("loss", of.loss);
            row.put("slow", of.slow);
            row.put("health", of.health);
            row.put("noticed_p50_s", noticed50);
            row.put("noticed_p99_s", noticed99);
            row.put("agreed_p50_s", agreed50);
            row.put("agreed_p99_s", agreed99);
            row.put("false_deaths_per_node_hour", falseDeaths);
            row.put("suspicions_per_node_hour", suspicions);
            row.put("bytes_per_node_second", bytes);
            row.put("messages_per_node_second", messages);
            row.put("all_joined_s", joined);
            return row;
        }
    }

    private static final long SECOND = Options.SECOND;
    private static final long STILL_NS = 3 * SECOND;
    private static final int STILL_EACH = 12;
    private static final long MOST_JOIN_NS = 600 * SECOND;
    private static final long MOST_AGREE_NS = 300 * SECOND;

    private final VirtualFleet fleet;
    private final Case of;
    private final Random random;
    private final Set<Integer> still = new HashSet<>();
    private final Set<String> suspected = new HashSet<>();
    private final Set<String> declared = new HashSet<>();
    private boolean counting;
    private String victim = "";
    private long firstDead;
    private int deadAt;

    private MembershipMeasure(Case of, long seed) {
        this.of = of;
        random = new Random(seed);
        Options u = Options.usual(List.of());
        fleet = new VirtualFleet(
                new Options(
                        u.probeNs(),
                        u.timeoutNs(),
                        u.helpers(),
                        u.patience(),
                        u.doubtful(),
                        u.exchangeNs(),
                        u.forgetNs(),
                        of.health,
                        List.of()),
                seed);
        fleet.loss = of.loss;
        fleet.watcher = this::changed;
    }

    /** Plays one case. */
    public static Figures of(Case of, long seed) {
        return new MembershipMeasure(of, seed).play();
    }

    private void changed(int at, Standing before, Standing after, String why) {
        if (after.name().equals(victim)) {
            if (after.state() == State.DEAD) {
                firstDead = firstDead == 0 ? fleet.now() : firstDead;
                deadAt++;
            }
        } else if (counting && (after.state() == State.DEAD || after.state() == State.SUSPECT)) {
            String life = after.name() + " " + after.epoch() + " " + after.incarnation();
            (after.state() == State.DEAD ? declared : suspected).add(life);
        }
    }

    private Figures play() {
        fleet.startAll(of.nodes);
        double joined = Double.NaN;
        while (fleet.now() < MOST_JOIN_NS && Double.isNaN(joined)) {
            fleet.run(SECOND / 2);
            joined = fleet.agreed() ? fleet.now() / 1e9 : Double.NaN;
        }
        fleet.run(30 * SECOND);
        for (int i = 0; i < of.nodes * of.slow; i++) {
            int node = random.nextInt(of.nodes);
            if (still.add(node)) {
                fleet.after((long) (random.nextDouble() * STILL_EACH * SECOND), () -> still(node));
            }
        }
        long quiet = (long) Math.max(60 * 1e9, of.hours * 3600e9 / of.nodes);
        long bytes = fleet.bytes;
        long messages = fleet.messages;
        counting = true;
        fleet.run(quiet);
        counting = false;
        double seconds = quiet / 1e9 * of.nodes;
        double perSecond = (fleet.bytes - bytes) / seconds;
        double messagesPerSecond = (fleet.messages - messages) / seconds;
        Histogram noticed = new Histogram(1, 3_600_000, 3);
        Histogram agreed = new Histogram(1, 3_600_000, 3);
        for (int i = 0; i < of.deaths; i++) {
            death(noticed, agreed);
        }
        double hours = seconds / 3600;
        return new Figures(
                of,
                at(noticed, 50),
                at(noticed, 99),
                at(agreed, 50),
                at(agreed, 99),
                declared.size() / hours,
                suspected.size() / hours,
                perSecond,
                messagesPerSecond,
                joined);
    }

    private static double at(Histogram h, double percentile) {
        return h.getTotalCount() == 0 ? Double.NaN : h.getValueAtPercentile(percentile) / 1e3;
    }

    /** One stands still now and then. */
    private void still(int node) {
        fleet.still(node, true);
        fleet.after(STILL_NS, () -> {
            fleet.still(node, false);
            fleet.after((long) ((0.5 + random.nextDouble()) * (STILL_EACH * SECOND - STILL_NS)), () -> still(node));
        });
    }

    private void death(Histogram noticed, Histogram agreed) {
        int node = random.nextInt(of.nodes);
        victim = fleet.at(node).own().name();
        firstDead = 0;
        deadAt = 0;
        fleet.run((long) (random.nextDouble() * SECOND));
        long at = fleet.now();
        fleet.kill(node);
        boolean all = fleet.runUntil(MOST_AGREE_NS, () -> deadAt >= of.nodes - 1);
        if (firstDead > 0) {
            noticed.recordValue(Math.max(1, (firstDead - at) / 1_000_000));
        }
        if (all) {
            agreed.recordValue(Math.max(1, (fleet.now() - at) / 1_000_000));
        }
        victim = "";
        fleet.start(node, "node-" + node, 0, 1, 2);
        fleet.run(20 * SECOND);
    }

    /** The table of the design: all sizes and losses, and slow nodes with and without local health. */
    public static List<Case> table(int[] sizes, double scale) {
        List<Case> all = new ArrayList<>();
        for (int n : sizes) {
            int deaths = (int) Math.max(3, (n <= 100 ? 100 : 20) * scale);
            for (double loss : new double[] {0, 0.05, 0.2}) {
                all.add(new Case(n, loss, 0, true, deaths, 50 * scale));
            }
            all.add(new Case(n, 0.2, 0, false, 0, 50 * scale));
            all.add(new Case(n, 0.05, 0.1, true, 0, 50 * scale));
            all.add(new Case(n, 0.05, 0.1, false, 0, 50 * scale));
        }
        return all;
    }

    /** Plays them on all cores, each by its own seed, and gives the figures in their order. */
    public static List<Figures> play(List<Case> cases, long seed, Consumer<Figures> told) {
        Figures[] all = new Figures[cases.size()];
        IntStream.range(0, all.length)
                .boxed()
                .sorted((a, b) -> Integer.compare(cases.get(b).nodes, cases.get(a).nodes))
                .toList()
                .parallelStream()
                .forEach(i -> {
                    all[i] = of(cases.get(i), seed + i);
                    synchronized (told) {
                        told.accept(all[i]);
                    }
                });
        return Arrays.asList(all);
    }
}
