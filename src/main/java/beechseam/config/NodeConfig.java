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
 * What a platform node is told. The one place where PROXY_CONFIG and its companions are read, checked and
 * given defaults.
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

    /** By the environment: the file that PROXY_CONFIG names, and the other variables in its stead. */
    public static NodeConfig of(Map<String, String> environment) throws ConfigException {
        return of(environment, false);
    }

    /**
     * The same again while the node runs. PROXY_DISCOVERY told where discovery was at the start; a file
     * that is written later and names an address knows better.
     */
    public static NodeConfig reload(Map<String, String> environment) throws ConfigException {
        return of(environment, true);
    }

    private static NodeConfig of(Map<String, String> environment, boolean again) throws ConfigException {
        Map<Object, Object> values = new HashMap<>();
        String file = environment.get("PROXY_CONFIG");
        if (file != null) {
            values.putAll(read(file).values());
        }
        put(values, "name", environment.get("PROXY_NAME"));
        put(values, "listen", environment.get("PROXY_LISTEN"));
        put(values, "console", environment.get("PROXY_CONSOLE"));
        if (values.get("state_dir") == null) { // TMPDIR is not ours alone: the file's word goes first
            put(values, "state_dir", environment.get("TMPDIR"));
        }
        if (!again || values.get("discovery") == null) {
            put(values, "discovery", environment.get("PROXY_DISCOVERY"));
        }
        return of(new ConfigNode("", values));
    }

    private static void put(Map<Object, Object> values, String key, String value) {
        if (value != null && !value.isBlank()) {
            values.put(key, value);
        }
    }

    /** A file with one JSON object. */
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
        throw new ConfigException(file, "must hold one object");
    }

    public static NodeConfig of(ConfigNode c) throws ConfigException {
        ConfigNode settings = c.object("settings");
        check(settings);
        ConfigNode limits = c.object("limits", Map.of());
        ConfigNode bounds = settings.object("Limits", Map.of());
        limits.mayHave("cores", "memory_mb"); // for the platform to hold us to
        c.mayHave("seed", "console", "state_dir");
        NodeConfig config = new NodeConfig(
                c.text("name", "node"),
                c.address("listen", null),
                c.address("discovery", null),
                c.text("discovery"),
                c.has("console") ? c.address("console", null) : null,
                c.directory("state_dir"),
                seed(c),
                (int) limits.whole("sockets", 32, 1 << 20, 1024),
                MemberList.of(c.object("known", Map.of())),
                ModuleOptions.of(settings.values()),
                bounds.whole("ConnectTimeoutNs", 1_000_000L, 60_000_000_000L, DEFAULT_CONNECT_TIMEOUT_NS));
        others(c);
        others(limits);
        return config;
    }

    /**
     * The platform writes this file and may add to it, so a key of its own is only told of; one that is a
     * letter or two from one of ours was meant for us, and would be passed over for ever.
     */
    private static void others(ConfigNode c) throws ConfigException {
        for (Map.Entry<String, String> each : c.others().entrySet()) {
            if (each.getValue() != null) {
                throw c.unknown(each.getKey(), each.getValue());
            }
            LOG.log(Level.WARNING, "the configuration's key " + c.path(each.getKey()) + " is not known here");
        }
    }

    /** The address as a word, for names of files. */
    public String address() {
        return listen.getAddress().getHostAddress().replace(':', '-') + "-" + listen.getPort();
    }

    private static long seed(ConfigNode c) throws ConfigException {
        if (c.values().get("seed") instanceof Number n) {
            return n.longValue();
        }
        try {
            return Long.parseUnsignedLong(c.text("seed", "0"), 16);
        } catch (NumberFormatException e) {
            throw c.wrong("seed", "must be up to 16 hexadecimal digits");
        }
    }

    /** What the module cannot do without, or would take for something else. */
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
