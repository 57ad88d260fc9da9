package beechseam.config;

import beechseam.dispatch.DeduplicationScope;
import beechseam.dispatch.DispatchLimits;
import beechseam.dispatch.DispatchSettings;
import beechseam.dispatch.Idempotency;
import beechseam.dispatch.JobClass;
import beechseam.dispatch.LoadReportSource;
import beechseam.dispatch.WorkerRules;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The operator's file of the Gearman front, checked and with its defaults. Times are nanoseconds, sizes
 * bytes.
 */
public record GearmanConfig(
        InetSocketAddress listen,
        String name,
        String zone,
        List<Place> places,
        Bounds bounds,
        Turns turns,
        DispatchLimits limits,
        double crossZonePrice,
        Map<String, Function> functions,
        Function anyFunction) {
    /**
     * How a job was submitted, the most urgent first: each is a class of its own to the module, which puts
     * worth before time, and a level of the line before it.
     */
    public enum Mode {
        HIGH(4, false),
        NORMAL(1, false),
        LOW(0.25, false),
        HIGH_BACKGROUND(0.25, true),
        BACKGROUND(0.0625, true),
        LOW_BACKGROUND(0.015625, true);

        /** Worth relative to the function's. */
        final double scale;

        public final boolean background;

        Mode(double scale, boolean background) {
            this.scale = scale;
            this.background = background;
        }

        /** Its priority whether in the background or not: 0 high, 1 normal, 2 low. */
        public int priority() {
            return ordinal() % 3;
        }
    }

    /** Where workers of a client id are; {@code *} at the end stands for any rest. */
    public record Place(String clientId, String zone, int cell) {
        boolean matches(String id) {
            return clientId.endsWith("*")
                    ? id.startsWith(clientId.substring(0, clientId.length() - 1))
                    : id.equals(clientId);
        }
    }

    /** Jobs that may wait of a function, by priority. */
    public record MaxQueue(int high, int normal, int low) {
        public int of(Mode mode) {
            return switch (mode.priority()) {
                case 0 -> high;
                case 1 -> normal;
                default -> low;
            };
        }
    }

    /** What is known of a function before it is used; {@code classes} are in the order of {@link Mode}. */
    public record Function(List<JobClass> classes, MaxQueue maxQueue) {
        public JobClass of(Mode mode) {
            return classes.get(mode.ordinal());
        }
    }

    /**
     * What may be held: {@code memory} in bytes over all workloads and results, {@code slots} jobs a worker.
     */
    public record Bounds(
            int packet,
            long memory,
            int unread,
            int connections,
            int jobs,
            int jobsPerClient,
            int functions,
            int slots,
            int targets) {}

    /** Times and turns; {@code adminShutdown}: whether the admin line of that name is obeyed. */
    public record Turns(
            long grabTimeoutNs,
            int ageingTurn,
            long ageingNs,
            long stopWithinNs,
            long stallNs,
            boolean adminShutdown) {}

    /** The name that stands for every function that has none of its own. */
    public static final String ANY = "*";

    private static final long MS = 1_000_000L;
    private static final long MAX_MS = 7L * 24 * 3600 * 1000;
    private static final int MB = 1024 * 1024;

    public static GearmanConfig read(String file) throws ConfigException {
        try {
            return of(NodeConfig.read(file));
        } catch (ConfigException e) {
            throw e.in(file);
        }
    }

    /** What a server without a file does: any function, on the loopback address and the well-known port. */
    public static GearmanConfig usual() {
        try {
            // A job waits for a worker for an hour, as one would expect of a queue, and not for a minute.
            return of(new ConfigNode(
                    "",
                    Map.of(
                            "functions",
                            List.of(Map.of(
                                    "name",
                                    ANY,
                                    "effect",
                                    "unsafe",
                                    "deadline_ms",
                                    3_600_000,
                                    "background_deadline_ms",
                                    MAX_MS,
                                    "aim_ms",
                                    1000)))));
        } catch (ConfigException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A file with one of each that it can have, read: what was asked of it is its schema. */
    public static ConfigNode sample() {
        ConfigNode sample = new ConfigNode(
                "", Map.of("functions", List.of(Map.of("name", "f")), "workers", List.of(Map.of("client_id", "w"))));
        try {
            of(sample);
        } catch (ConfigException e) {
            throw new IllegalStateException(e);
        }
        return sample;
    }

    /** Reads, checks, and complains of keys that nobody asked for. */
    public static GearmanConfig of(ConfigNode c) throws ConfigException {
        String zone = c.text("zone", "-");
        List<Place> places = new ArrayList<>();
        for (ConfigNode each : c.objects("workers")) {
            places.add(new Place(each.text("client_id"), each.text("zone", zone), (int)
                    each.whole("cell", 0, Integer.MAX_VALUE, 0)));
            each.noOthers();
        }
        Map<String, Function> functions = functions(c);
        DispatchLimits limits = new DispatchLimits(
                (int) c.whole("attempts", 1, 100, 6),
                c.whole("retry_after_ms", 0, MAX_MS, 2000) * MS,
                true,
                true,
                false,
                c.flag("copies", false),
                0);
        int packet = (int) c.whole("max_packet_kb", 1, 1024 * 1024, 16 * 1024) * 1024;
        int jobs = (int) c.whole("max_jobs", 1, 100_000_000, 1_000_000);
        long memory = c.whole("max_memory_mb", 0, 1 << 20, 0) * MB; // 0: half of the heap
        memory = memory == 0 ? Runtime.getRuntime().maxMemory() / 2 : memory;
        int perClient = (int) c.whole("max_jobs_per_client", 0, 100_000_000, 0); // 0: as many as there may be
        int unread = (int) c.whole("max_unread_kb", 64, 1024 * 1024, 16 * 1024) * 1024;
        Bounds bounds = new Bounds(
                packet,
                memory,
                unread,
                (int) c.whole("max_connections", 1, 1_000_000, 4096),
                jobs,
                perClient == 0 ? jobs : perClient,
                (int) c.whole("max_functions", 1, 1_000_000, 1000),
                (int) c.whole("worker_slots", 1, 10_000, 16),
                (int) c.whole("max_targets", 1, 10_000, 48));
        Turns turns = new Turns(
                c.whole("grab_timeout_ms", 1, MAX_MS, 1000) * MS,
                (int) c.whole("ageing_turn", 0, 1_000_000, 16),
                c.whole("ageing_ms", 0, MAX_MS, 10_000) * MS,
                c.whole("stop_within_ms", 0, MAX_MS, 10_000) * MS,
                c.whole("stall_ms", 100, MAX_MS, 30_000) * MS,
                c.flag("admin_shutdown", true));
        GearmanConfig config = new GearmanConfig(
                c.address("listen", "127.0.0.1:4730"),
                c.text("name", "beechseam"),
                zone,
                List.copyOf(places),
                bounds,
                turns,
                limits,
                c.number("cross_zone_price", 0, 1, 0),
                Map.copyOf(functions),
                functions.get(ANY));
        c.noOthers();
        return config;
    }

    private static Map<String, Function> functions(ConfigNode c) throws ConfigException {
        Map<String, Function> functions = new LinkedHashMap<>();
        List<ConfigNode> named = c.objects("functions", ANY);
        if (named == null) {
            functions.put(ANY, function(new ConfigNode("functions", Map.of()), ANY));
            return functions;
        }
        for (ConfigNode each : named) {
            String name = each.text("name");
            if (functions.put(name, function(each, name)) != null) {
                throw each.wrong("name", "is there twice: " + name);
            }
            each.noOthers();
        }
        if (functions.isEmpty()) {
            throw c.wrong("functions", "must be \"*\" or name at least one function");
        }
        return functions;
    }

    private static Function function(ConfigNode f, String name) throws ConfigException {
        long deadline = f.whole("deadline_ms", 10, MAX_MS, 60_000) * MS;
        long background = f.whole("background_deadline_ms", 10, MAX_MS, 3_600_000) * MS;
        // The module takes a run to last the aim until it knows better, so the aim leaves room for a wait.
        long aim = f.whole("aim_ms", 0, MAX_MS, 0) * MS; // 0: a quarter of the deadline
        aim = aim == 0 ? Math.max(MS, deadline / 4) : aim;
        double stretch = f.number("stretch", 0, 1000, 1);
        double worth = f.number("worth", 0.001, 1e9, 1);
        // Worth a lot after its aim: a Gearman job waits for a worker until its client gives up.
        double late = f.number("late_worth", 0, 1, 0.9);
        Idempotency effect = f.word("effect", Idempotency.class, Idempotency.NON_IDEMPOTENT);
        DeduplicationScope group = f.word("group", DeduplicationScope.class, DeduplicationScope.CELL);
        long window = f.whole("window_ms", 0, MAX_MS, 0) * MS;
        if (effect == Idempotency.KEYED && window == 0) {
            throw f.wrong("window_ms", "must be set for a keyed function");
        }
        ConfigNode most = f.object("max_queue", Map.of());
        MaxQueue maxQueue = new MaxQueue(
                (int) most.whole("high", 0, Integer.MAX_VALUE, Integer.MAX_VALUE),
                (int) most.whole("normal", 0, Integer.MAX_VALUE, Integer.MAX_VALUE),
                (int) most.whole("low", 0, Integer.MAX_VALUE, Integer.MAX_VALUE));
        most.noOthers();
        List<JobClass> classes = new ArrayList<>();
        for (Mode mode : Mode.values()) {
            long modeAim = mode.background ? background / 4 : aim;
            long modeDeadline = mode.background ? background : deadline;
            classes.add(new JobClass(
                    mode.name(),
                    modeAim,
                    modeDeadline,
                    stretch,
                    worth * mode.scale,
                    late,
                    effect,
                    group,
                    window,
                    name));
        }
        return new Function(List.copyOf(classes), maxQueue);
    }

    /** What is known of a function by that name; null when this server does not serve it. */
    public Function function(String name) {
        return functions.getOrDefault(name, anyFunction);
    }

    /**
     * What the module of one function is told: its classes by {@link Mode}, run by workers of that kind
     * alone.
     */
    public DispatchSettings settings(String name, Function f) {
        List<JobClass> classes = f.classes().stream()
                .map(c -> new JobClass(
                        c.name(),
                        c.latencyObjectiveNs(),
                        c.deadlineNs(),
                        c.stretch(),
                        c.priorityWeight(),
                        c.lateWeight(),
                        c.idempotency(),
                        c.deduplicationScope(),
                        c.idempotencyWindowNs(),
                        name))
                .toList();
        // Gearman's workers say nothing of their start or load, so there is no cold budget to keep.
        WorkerRules rules = new WorkerRules(300 * MS, Long.MAX_VALUE, 1, 0, 1, 0, false);
        return new DispatchSettings(
                classes,
                limits,
                rules,
                LoadReportSource.ANSWERS,
                false,
                1,
                0,
                zone,
                true,
                0,
                crossZonePrice,
                0,
                0,
                false);
    }

    public Place place(String clientId) {
        for (Place each : places) {
            if (each.matches(clientId)) {
                return each;
            }
        }
        return new Place(clientId, zone, 0);
    }

    /** Zones that the file names. */
    public Set<String> zones() {
        Set<String> zones = new HashSet<>(Set.of(zone));
        places.forEach(each -> zones.add(each.zone()));
        return zones;
    }
}
