package beechseam.config;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The configuration of a platform node: the one place where PROXY_CONFIG and the other environment variables are
 * read, checked and given defaults.
 *
 * @param name             the node's name
 * @param listen           where clients are accepted
 * @param discovery        where discovery is reached
 * @param discoveryHost    the same as written in the configuration, for the Host header
 * @param console          the admin endpoint, or null for none
 * @param state            the state directory, or null for none
 * @param seed             of the dispatcher's random draws
 * @param sockets          the most connections that the node may hold
 * @param known            the endpoint list to start with, until discovery has answered
 * @param options          the settings of the dispatcher and the engine
 * @param connectTimeoutNs how long connecting to a worker may take, in nanoseconds
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        String discoveryHost,
        InetSocketAddress console,
        Path state,
        long seed,
        int sockets,
        MemberList known,
        ModuleOptions options,
        long connectTimeoutNs) {
    private static final Logger LOG = System.getLogger(NodeConfig.class.getName());
    private static final long DEFAULT_CONNECT_TIMEOUT_NS = 250_000_000L;

    /**
     * Reads the configuration at the start of the process: the file that PROXY_CONFIG names, if any, then the other
     * variables, which replace what stands in the file; TMPDIR only fills a gap.
     *
     * @throws ConfigException if a key is missing, wrong or misspelt, or the file cannot be read
     */
    public static NodeConfig of(Map<String, String> environment) throws ConfigException {
        return of(environment, false);
    }

    /**
     * Reads the configuration again while the node runs. PROXY_DISCOVERY gives the address at the start only: here
     * an address in the file, which is newer, goes first.
     *
     * @throws ConfigException as at the start
     */
    public static NodeConfig reload(Map<String, String> environment) throws ConfigException {
        return of(environment, true);
    }

    private static NodeConfig of(Map<String, String> environment, boolean reload) throws ConfigException {
        Map<Object, Object> values = new HashMap<>();
        String file = environment.get("PROXY_CONFIG");
        if (file != null) {
            values.putAll(read(file).values());
        }
        put(values, "name", environment.get("PROXY_NAME"));
        put(values, "listen", environment.get("PROXY_LISTEN"));
        put(values, "console", environment.get("PROXY_CONSOLE"));
        if (values.get("state_dir") == null) { // TMPDIR is set for other purposes too: the file goes first
            put(values, "state_dir", environment.get("TMPDIR"));
        }
        if (!reload || values.get("discovery") == null) {
            put(values, "discovery", environment.get("PROXY_DISCOVERY"));
        }
        return of(new ConfigNode("", values));
    }

    private static void put(Map<Object, Object> values, String key, String value) {
        if (value != null && !value.isBlank()) {
            values.put(key, value);
        }
    }

    /**
     * Reads a file with one JSON object.
     *
     * @throws ConfigException if the file cannot be read or holds anything else
     */
    public static ConfigNode read(String file) throws ConfigException {
        byte[] content;
        try {
            content = Files.readAllBytes(Path.of(file));
        } catch (IOException | RuntimeException e) {
            throw new ConfigException(file, "cannot be read: " + e.getMessage());
        }
        try {
            if (Json.parse(content, 0, content.length) instanceof Map<?, ?> map) {
                return new ConfigNode("", map);
            }
        } catch (IOException e) {
            throw new ConfigException(
                    file, "is not JSON: " + e.getMessage().lines().findFirst().orElse(""));
        }
        throw new ConfigException(file, "must hold one object");
    }

    /**
     * Reads the configuration from parsed JSON. Unknown keys are logged, unless they look like misspelt ones.
     *
     * @throws ConfigException if a key is missing, wrong or misspelt
     */
    public static NodeConfig of(ConfigNode root) throws ConfigException {
        ConfigNode settings = root.object("settings");
        check(settings);
        ConfigNode limits = root.object("limits", Map.of());
        ConfigNode bounds = settings.object("Limits", Map.of());
        limits.mayHave("cores", "memory_mb"); // enforced by the platform, not here
        root.mayHave("seed", "console", "state_dir");
        NodeConfig config = new NodeConfig(
                root.text("name", "node"),
                root.address("listen", null),
                root.address("discovery", null),
                root.text("discovery"),
                root.has("console") ? root.address("console", null) : null,
                root.directory("state_dir"),
                seed(root),
                (int) limits.whole("sockets", 32, 1 << 20, 1024),
                MemberList.of(root.object("known", Map.of())),
                ModuleOptions.of(settings.values()),
                bounds.whole("ConnectTimeoutNs", 1_000_000L, 60_000_000_000L, DEFAULT_CONNECT_TIMEOUT_NS));
        checkUnknownKeys(root);
        checkUnknownKeys(limits);
        return config;
    }

    /**
     * The platform writes this file and may add keys of its own, so an unknown key is only logged; but one that is
     * nearly a known key is an error, since its setting would be ignored unnoticed.
     */
    private static void checkUnknownKeys(ConfigNode node) throws ConfigException {
        for (Map.Entry<String, String> each : node.others().entrySet()) {
            if (each.getValue() != null) {
                throw node.unknown(each.getKey(), each.getValue());
            }
            LOG.log(Level.WARNING, "unknown configuration key ignored key=" + node.path(each.getKey()));
        }
    }

    /** The address that clients are accepted at, in a form that is valid in file names. */
    public String address() {
        return listen.getAddress().getHostAddress().replace(':', '-') + "-" + listen.getPort();
    }

    private static long seed(ConfigNode root) throws ConfigException {
        if (root.values().get("seed") instanceof Number number) {
            return number.longValue();
        }
        try {
            return Long.parseUnsignedLong(root.text("seed", "0"), 16);
        } catch (NumberFormatException e) {
            throw root.wrong("seed", "must be up to 16 hexadecimal digits");
        }
    }

    /** Checks settings of the dispatcher that it needs, or would take for something else if they were wrong. */
    private static void check(ConfigNode settings) throws ConfigException {
        if (settings.objects("Classes").isEmpty()) {
            throw settings.wrong("Classes", "must name at least one class");
        }
        for (ConfigNode each : settings.objects("Classes")) {
            each.text("Name");
            each.whole("AimNs", 0, Long.MAX_VALUE, 0);
            each.whole("DeadlineNs", 0, Long.MAX_VALUE, 0);
            each.whole("WindowNs", 0, Long.MAX_VALUE, 0);
            each.number("Worth", 0, 1e12, 1);
            each.text("Effect", "");
        }
        ConfigNode limits = settings.object("Limits", Map.of());
        limits.whole("MaxAttempts", 1, 1000, 1);
        limits.whole("IdleCloseNs", 0, Long.MAX_VALUE, 0);
        ConfigNode rules = settings.object("Rules", Map.of());
        rules.whole("DrainGraceNs", 0, Long.MAX_VALUE, 0);
        rules.number("StartCapacity", 0, 1, 1);
        rules.number("OverloadFactor", 0, 1e6, 1);
        ConfigNode family = settings.object("Specifics", Map.of());
        family.numbers("ClassKind");
        family.numbers("ClassStretch");
        settings.whole("GroupSize", 1, 1_000_000, 1);
        settings.whole("Me", 0, 1_000_000, 0);
    }
}
