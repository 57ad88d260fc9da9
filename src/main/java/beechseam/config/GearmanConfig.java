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
 * Configuration of the Gearman server, validated and with its defaults. Times are in nanoseconds, sizes in
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
     * Priority of a submitted job and whether it runs in the background, the most urgent mode first. The dispatch
     * module has one job class per mode, since it orders jobs by priority weight before time; the priority queues
     * in front of the module have one level per mode.
     */
    public enum Mode {
        HIGH(4, false),
        NORMAL(1, false),
        LOW(0.25, false),
        HIGH_BACKGROUND(0.25, true),
        BACKGROUND(0.0625, true),
        LOW_BACKGROUND(0.015625, true);

        private static final int PRIORITIES = 3;

        /** Priority weight relative to the function's. */
        final double scale;

        /** Whether the client does not wait for the result. */
        public final boolean background;

        Mode(double scale, boolean background) {
            this.scale = scale;
            this.background = background;
        }

        /** Priority regardless of background: 0 high, 1 normal, 2 low. */
        public int priority() {
            return ordinal() % PRIORITIES;
        }
    }

    /** Location of the workers of a client id; a trailing {@code *} matches any suffix. */
    public record Place(String clientId, String zone, int cell) {
        boolean matches(String id) {
            return clientId.endsWith("*")
                    ? id.startsWith(clientId.substring(0, clientId.length() - 1))
                    : id.equals(clientId);
        }
    }

    /** Limits of a function's queued jobs, by priority. */
    public record MaxQueue(int high, int normal, int low) {
        /** The limit for this mode's priority. */
        public int of(Mode mode) {
            return switch (mode.priority()) {
                case 0 -> high;
                case 1 -> normal;
                default -> low;
            };
        }
    }

    /** Configuration of a function; {@code classes} are in the order of {@link Mode}. */
    public record Function(List<JobClass> classes, MaxQueue maxQueue) {
        /** The job class of this mode. */
        public JobClass of(Mode mode) {
            return classes.get(mode.ordinal());
        }
    }

    /**
     * Resource limits.
     *
     * @param packet size of the largest permitted packet, in bytes
     * @param memory total size of all workloads and results, in bytes
     * @param unread size of the output buffered for a connection that does not read, in bytes
     * @param slots jobs in flight per worker
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

    /**
     * Timeouts and queue scheduling; times in nanoseconds.
     *
     * @param ageingTurn every {@code ageingTurn}-th turn takes the oldest job first; 0 for never
     * @param adminShutdown whether the admin command {@code shutdown} is permitted
     */
    public record Turns(
            long grabTimeoutNs,
            int ageingTurn,
            long ageingNs,
            long stopWithinNs,
            long stallNs,
            boolean adminShutdown) {}

    /** Wildcard name for every function that is not configured by its own name. */
    public static final String ANY = "*";

    private static final long NANOS_PER_MS = 1_000_000L;
    private static final long DRAIN_GRACE_NS = 300 * NANOS_PER_MS;
    /** Largest configurable time, a week in milliseconds. */
    private static final long MAX_MS = 7L * 24 * 3600 * 1000;

    private static final int BYTES_PER_KB = 1024;
    private static final int BYTES_PER_MB = 1024 * 1024;

    /**
     * Reads a configuration file.
     *
     * @throws ConfigException if the file cannot be read or is invalid; the message names the file
     */
    public static GearmanConfig read(String file) throws ConfigException {
        try {
            return of(NodeConfig.read(file));
        } catch (ConfigException e) {
            throw e.in(file);
        }
    }

    /** The configuration without a file: it serves any function on the loopback address and the well-known port. */
    public static GearmanConfig usual() {
        try {
            // The deadline is an hour, not the default minute, since users of a job queue expect jobs to wait that
            // long.
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

    /** A sample with one object in each list, which has been read; its declared keys make up the schema. */
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

    /**
     * Reads and validates a configuration; absent keys have their defaults.
     *
     * @throws ConfigException for the first fault or unknown key
     */
    public static GearmanConfig of(ConfigNode root) throws ConfigException {
        // The schema lists the keys in the order in which they are read here.
        String zone = root.text("zone", "-");
        List<Place> places = places(root, zone);
        Map<String, Function> functions = functions(root);
        DispatchLimits limits = limits(root);
        Bounds bounds = bounds(root);
        Turns turns = turns(root);
        GearmanConfig config = new GearmanConfig(
                root.address("listen", "127.0.0.1:4730"),
                root.text("name", "beechseam"),
                zone,
                places,
                bounds,
                turns,
                limits,
                root.number("cross_zone_price", 0, 1, 0),
                Map.copyOf(functions),
                functions.get(ANY));
        root.rejectUnknownKeys();
        return config;
    }

    private static List<Place> places(ConfigNode root, String defaultZone) throws ConfigException {
        List<Place> places = new ArrayList<>();
        for (ConfigNode each : root.objects("workers")) {
            places.add(new Place(each.text("client_id"), each.text("zone", defaultZone), (int)
                    each.integer("cell", 0, Integer.MAX_VALUE, 0)));
            each.rejectUnknownKeys();
        }
        return List.copyOf(places);
    }

    private static DispatchLimits limits(ConfigNode root) throws ConfigException {
        return new DispatchLimits(
                (int) root.integer("attempts", 1, 100, 6),
                root.integer("retry_after_ms", 0, MAX_MS, 2000) * NANOS_PER_MS,
                true,
                true,
                false,
                root.bool("copies", false),
                0);
    }

    private static Bounds bounds(ConfigNode root) throws ConfigException {
        int packet = (int) root.integer("max_packet_kb", 1, 1024 * 1024, 16 * 1024) * BYTES_PER_KB;
        int jobs = (int) root.integer("max_jobs", 1, 100_000_000, 1_000_000);
        long memory = root.integer("max_memory_mb", 0, 1 << 20, 0) * BYTES_PER_MB; // 0: half of the heap
        memory = memory == 0 ? Runtime.getRuntime().maxMemory() / 2 : memory;
        int perClient = (int) root.integer("max_jobs_per_client", 0, 100_000_000, 0); // 0: only max_jobs applies
        int unread = (int) root.integer("max_unread_kb", 64, 1024 * 1024, 16 * 1024) * BYTES_PER_KB;
        return new Bounds(
                packet,
                memory,
                unread,
                (int) root.integer("max_connections", 1, 1_000_000, 4096),
                jobs,
                perClient == 0 ? jobs : perClient,
                (int) root.integer("max_functions", 1, 1_000_000, 1000),
                (int) root.integer("worker_slots", 1, 10_000, 16),
                (int) root.integer("max_targets", 1, 10_000, 48));
    }

    private static Turns turns(ConfigNode root) throws ConfigException {
        return new Turns(
                root.integer("grab_timeout_ms", 1, MAX_MS, 1000) * NANOS_PER_MS,
                (int) root.integer("ageing_turn", 0, 1_000_000, 16),
                root.integer("ageing_ms", 0, MAX_MS, 10_000) * NANOS_PER_MS,
                root.integer("stop_within_ms", 0, MAX_MS, 10_000) * NANOS_PER_MS,
                root.integer("stall_ms", 100, MAX_MS, 30_000) * NANOS_PER_MS,
                root.bool("admin_shutdown", true));
    }

    private static Map<String, Function> functions(ConfigNode root) throws ConfigException {
        Map<String, Function> functions = new LinkedHashMap<>();
        List<ConfigNode> nodes = root.objects("functions", ANY);
        if (nodes == null) {
            functions.put(ANY, function(new ConfigNode("functions", Map.of()), ANY));
            return functions;
        }
        for (ConfigNode each : nodes) {
            String name = each.text("name");
            if (functions.put(name, function(each, name)) != null) {
                throw each.invalid("name", "is configured twice: " + name);
            }
            each.rejectUnknownKeys();
        }
        if (functions.isEmpty()) {
            throw root.invalid("functions", "must be \"*\" or name at least one function");
        }
        return functions;
    }

    private static Function function(ConfigNode node, String name) throws ConfigException {
        long deadline = node.integer("deadline_ms", 10, MAX_MS, 60_000) * NANOS_PER_MS;
        long background = node.integer("background_deadline_ms", 10, MAX_MS, 3_600_000) * NANOS_PER_MS;
        // Until the module has measured runs, it assumes that a run lasts as long as the objective; a quarter of the
        // deadline therefore leaves time to queue.
        long objective = node.integer("aim_ms", 0, MAX_MS, 0) * NANOS_PER_MS; // 0: a quarter of the deadline
        objective = objective == 0 ? Math.max(NANOS_PER_MS, deadline / 4) : objective;
        double stretch = node.number("stretch", 0, 1000, 1);
        double weight = node.number("worth", 0.001, 1e9, 1);
        // The default is high, since a late result keeps its value until the client gives up.
        double lateWeight = node.number("late_worth", 0, 1, 0.9);
        Idempotency idempotency = node.choice("effect", Idempotency.class, Idempotency.NON_IDEMPOTENT);
        DeduplicationScope scope = node.choice("group", DeduplicationScope.class, DeduplicationScope.CELL);
        long window = node.integer("window_ms", 0, MAX_MS, 0) * NANOS_PER_MS;
        if (idempotency == Idempotency.KEYED && window == 0) {
            throw node.invalid("window_ms", "must be set for a keyed function");
        }
        MaxQueue maxQueue = maxQueue(node);
        List<JobClass> classes = new ArrayList<>();
        for (Mode mode : Mode.values()) {
            classes.add(new JobClass(
                    mode.name(),
                    mode.background ? background / 4 : objective,
                    mode.background ? background : deadline,
                    stretch,
                    weight * mode.scale,
                    lateWeight,
                    idempotency,
                    scope,
                    window,
                    name));
        }
        return new Function(List.copyOf(classes), maxQueue);
    }

    private static MaxQueue maxQueue(ConfigNode function) throws ConfigException {
        ConfigNode limits = function.object("max_queue", Map.of());
        MaxQueue maxQueue = new MaxQueue(
                (int) limits.integer("high", 0, Integer.MAX_VALUE, Integer.MAX_VALUE),
                (int) limits.integer("normal", 0, Integer.MAX_VALUE, Integer.MAX_VALUE),
                (int) limits.integer("low", 0, Integer.MAX_VALUE, Integer.MAX_VALUE));
        limits.rejectUnknownKeys();
        return maxQueue;
    }

    /** The configuration of a function; null if this server does not serve it. */
    public Function function(String name) {
        return functions.getOrDefault(name, anyFunction);
    }

    /**
     * Settings of a function's dispatch module: its job classes by {@link Mode}, restricted to workers of this
     * function.
     */
    public DispatchSettings settings(String name, Function function) {
        List<JobClass> classes = function.classes().stream()
                .map(each -> new JobClass(
                        each.name(),
                        each.latencyObjectiveNs(),
                        each.deadlineNs(),
                        each.stretch(),
                        each.priorityWeight(),
                        each.lateWeight(),
                        each.idempotency(),
                        each.deduplicationScope(),
                        each.idempotencyWindowNs(),
                        name))
                .toList();
        // Gearman workers report neither their start nor their load, so there is no slow start.
        WorkerRules rules = new WorkerRules(DRAIN_GRACE_NS, Long.MAX_VALUE, 1, 0, 1, 0, false);
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

    /** Location of the worker with this client id: the first entry that matches, else the server's zone. */
    public Place place(String clientId) {
        for (Place each : places) {
            if (each.matches(clientId)) {
                return each;
            }
        }
        return new Place(clientId, zone, 0);
    }

    /** All zones in the configuration. */
    public Set<String> zones() {
        Set<String> zones = new HashSet<>(Set.of(zone));
        places.forEach(each -> zones.add(each.zone()));
        return zones;
    }
}
