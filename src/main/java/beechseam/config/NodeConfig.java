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
 * Configuration of a platform node. Only this class reads and validates PROXY_CONFIG and the other environment
 * variables and applies their defaults.
 *
 * @param name the node's name
 * @param listen address on which clients connect
 * @param discovery address of discovery
 * @param discoveryHost address of discovery as configured
 * @param console address of the admin endpoint, or null for none
 * @param state directory of the state files, or null for none
 * @param seed seed of the random number generators
 * @param sockets limit on open sockets
 * @param known discovery's list as cached in the configuration; empty if there is none
 * @param options settings of the dispatch module
 * @param connectTimeoutNs timeout for connecting to a server, in nanoseconds
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
     * Reads the file that PROXY_CONFIG names; other variables override its keys.
     *
     * @throws ConfigException if the file cannot be read or the configuration is invalid
     */
    public static NodeConfig of(Map<String, String> environment) throws ConfigException {
        return of(environment, false);
    }

    /**
     * Reads the configuration again while the node runs. PROXY_DISCOVERY holds the address from the start of the
     * process, so an address in the file, which may be more recent, takes precedence.
     *
     * @throws ConfigException if the file cannot be read or the configuration is invalid
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
        if (values.get("state_dir") == null) { // TMPDIR is a shared directory, so the file takes precedence
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
     * @throws ConfigException if it cannot be read or is not an object; the message names the file
     */
    public static ConfigNode read(String file) throws ConfigException {
        byte[] text;
        try {
            text = Files.readAllBytes(Path.of(file));
        } catch (IOException | RuntimeException e) {
            throw new ConfigException(file, "cannot be read: " + e.getMessage());
        }
        try {
            if (Json.parse(text, 0, text.length) instanceof Map<?, ?> map) {
                return new ConfigNode("", map);
            }
        } catch (IOException e) {
            throw new ConfigException(
                    file, "is not JSON: " + e.getMessage().lines().findFirst().orElse(""));
        }
        throw new ConfigException(file, "must contain one JSON object");
    }

    /**
     * Reads and validates a configuration; absent keys have their defaults.
     *
     * @throws ConfigException for the first fault or misspelt key
     */
    public static NodeConfig of(ConfigNode root) throws ConfigException {
        ConfigNode settings = root.object("settings");
        validateSettings(settings);
        ConfigNode limits = root.object("limits", Map.of());
        ConfigNode bounds = settings.object("Limits", Map.of());
        limits.allowKeys("cores", "memory_mb"); // enforced by the platform
        root.allowKeys("seed", "console", "state_dir");
        NodeConfig config = new NodeConfig(
                root.text("name", "node"),
                root.address("listen", null),
                root.address("discovery", null),
                root.text("discovery"),
                root.has("console") ? root.address("console", null) : null,
                root.directory("state_dir"),
                seed(root),
                (int) limits.integer("sockets", 32, 1 << 20, 1024),
                MemberList.of(root.object("known", Map.of())),
                ModuleOptions.of(settings.values()),
                bounds.integer("ConnectTimeoutNs", 1_000_000L, 60_000_000_000L, DEFAULT_CONNECT_TIMEOUT_NS));
        warnUnknownKeys(root);
        warnUnknownKeys(limits);
        return config;
    }

    /**
     * The platform writes this file and may add keys, so an unknown key is only logged. A probable typo of a known
     * key is an error, since the setting that it was meant to change would keep its default unnoticed.
     */
    private static void warnUnknownKeys(ConfigNode root) throws ConfigException {
        for (Map.Entry<String, String> each : root.unknownKeys().entrySet()) {
            if (each.getValue() != null) {
                throw root.unknownKey(each.getKey(), each.getValue());
            }
            LOG.log(Level.WARNING, "configuration key ignored reason=unknown key=" + root.path(each.getKey()));
        }
    }

    /** The listen address in a form that can be part of a file name. */
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
            throw root.invalid("seed", "must be up to 16 hexadecimal digits");
        }
    }

    /** Validates the settings that the dispatch module requires, and those whose invalid values it would misread. */
    private static void validateSettings(ConfigNode settings) throws ConfigException {
        if (settings.objects("Classes").isEmpty()) {
            throw settings.invalid("Classes", "must name at least one class");
        }
        for (ConfigNode each : settings.objects("Classes")) {
            each.text("Name");
            each.integer("AimNs", 0, Long.MAX_VALUE, 0);
            each.integer("DeadlineNs", 0, Long.MAX_VALUE, 0);
            each.integer("WindowNs", 0, Long.MAX_VALUE, 0);
            each.number("Worth", 0, 1e12, 1);
            each.text("Effect", "");
        }
        ConfigNode limits = settings.object("Limits", Map.of());
        limits.integer("MaxAttempts", 1, 1000, 1);
        limits.integer("IdleCloseNs", 0, Long.MAX_VALUE, 0);
        ConfigNode rules = settings.object("Rules", Map.of());
        rules.integer("DrainGraceNs", 0, Long.MAX_VALUE, 0);
        rules.number("StartCapacity", 0, 1, 1);
        rules.number("OverloadFactor", 0, 1e6, 1);
        ConfigNode siteSpecifics = settings.object("Specifics", Map.of());
        siteSpecifics.numberList("ClassKind");
        siteSpecifics.numberList("ClassStretch");
        settings.integer("GroupSize", 1, 1_000_000, 1);
        settings.integer("Me", 0, 1_000_000, 0);
    }
}
