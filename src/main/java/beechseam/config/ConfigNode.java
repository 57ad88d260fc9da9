package beechseam.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * An object of a configuration, read with validation and defaults; every error names the key by its path. Each
 * read declares its key, so that unknown keys can be rejected and a schema can be generated from the
 * declarations. Keys are declared in the order of the first read.
 */
public final class ConfigNode {
    /** Integers below this are formatted without a fraction. */
    private static final double MAX_EXACT_INTEGER = 1e15;

    private final String path;
    private final Map<?, ?> values;
    private final Map<String, KeySchema> keys = new LinkedHashMap<>();

    /**
     * @param path path of the object in its document; empty for the root
     * @param values the object's members by key
     */
    public ConfigNode(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    /** Declarations by key, in the order of the first read. */
    Map<String, KeySchema> keys() {
        return keys;
    }

    private void declare(
            String key,
            KeySchema.Kind kind,
            Object defaultValue,
            double minimum,
            double maximum,
            List<String> choices,
            ConfigNode child) {
        KeySchema declared = keys.get(key);
        if (declared == null || child != null) {
            keys.put(
                    key,
                    new KeySchema(
                            kind,
                            declared != null && declared.required(),
                            defaultValue,
                            minimum,
                            maximum,
                            choices,
                            child));
        }
    }

    private void declare(String key, KeySchema.Kind kind, Object defaultValue) {
        declare(key, kind, defaultValue, 0, 0, null, null);
    }

    private void declareRequired(String key, KeySchema.Kind kind) throws ConfigException {
        keys.put(key, new KeySchema(kind, true, null, 0, 0, null, null));
        if (!has(key)) {
            throw missing(key);
        }
    }

    /**
     * Rejects keys that have not been declared.
     *
     * @throws ConfigException for the first unknown key, with the nearest declared one as a suggestion
     */
    public void rejectUnknownKeys() throws ConfigException {
        for (Object each : values.keySet()) {
            if (!keys.containsKey(each)) {
                throw unknownKey(each.toString(), KeySuggestion.forUnknownKey(each.toString(), keys.keySet()));
            }
        }
    }

    /** Declares keys that are permitted, but not read here. */
    public void allowKeys(String... keys) {
        for (String each : keys) {
            declare(each, KeySchema.Kind.TEXT, null);
        }
    }

    /**
     * Keys that have not been declared, each mapped to the declared key that it probably misspells, or to null if
     * there is none.
     */
    public Map<String, String> unknownKeys() {
        Map<String, String> unknown = new LinkedHashMap<>();
        for (Object each : values.keySet()) {
            if (!keys.containsKey(each)) {
                unknown.put(each.toString(), KeySuggestion.forTypo(each.toString(), keys.keySet()));
            }
        }
        return unknown;
    }

    /** Path of a key from the root, for messages. */
    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Whether the key is present and not null. */
    public boolean has(String key) {
        return values.get(key) != null;
    }

    /** The members as parsed. */
    public Map<?, ?> values() {
        return values;
    }

    /** Creates an error at the key for the caller to throw; a scalar value is appended to the message. */
    public ConfigException invalid(String key, String problem) {
        Object value = values.get(key);
        boolean scalar = value instanceof String || value instanceof Number || value instanceof Boolean;
        return new ConfigException(path(key), scalar ? problem + " (it is " + value + ")" : problem);
    }

    /** Creates an error for an unknown key; {@code suggestion} is the key probably meant, or null if there is none. */
    ConfigException unknownKey(String key, String suggestion) {
        return new ConfigException(
                path(key),
                "is not known here; "
                        + (suggestion == null
                                ? "known are " + String.join(", ", keys.keySet())
                                : "did you mean " + suggestion + "?"));
    }

    private ConfigException missing(String key) {
        return invalid(key, "is missing");
    }

    /**
     * A required text.
     *
     * @throws ConfigException if it is missing, blank, or not a text
     */
    public String text(String key) throws ConfigException {
        declareRequired(key, KeySchema.Kind.TEXT);
        return text(key, null);
    }

    /**
     * An optional text.
     *
     * @param defaultValue returned if the key is absent; may be null
     * @throws ConfigException if it is blank or not a text
     */
    public String text(String key, String defaultValue) throws ConfigException {
        declare(key, KeySchema.Kind.TEXT, defaultValue);
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof String text) || text.isBlank()) {
            throw invalid(key, "must be a non-empty text");
        }
        return text;
    }

    /**
     * An integer within inclusive bounds.
     *
     * @throws ConfigException if it has a fraction, is out of bounds, or is not a number
     */
    public long integer(String key, long minimum, long maximum, long defaultValue) throws ConfigException {
        declare(key, KeySchema.Kind.INTEGER, defaultValue, minimum, maximum, null, null);
        double value = number(key, minimum, maximum, defaultValue);
        if (value != Math.rint(value)) {
            throw invalid(key, "must be a whole number");
        }
        return values.get(key) instanceof Number number ? number.longValue() : defaultValue;
    }

    /**
     * A number within inclusive bounds.
     *
     * @throws ConfigException if it is out of bounds or not a number
     */
    public double number(String key, double minimum, double maximum, double defaultValue) throws ConfigException {
        declare(key, KeySchema.Kind.NUMBER, defaultValue, minimum, maximum, null, null);
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number number)
                || !(number.doubleValue() >= minimum && number.doubleValue() <= maximum)) {
            throw invalid(key, "must be a number from " + format(minimum) + " to " + format(maximum));
        }
        return number.doubleValue();
    }

    private static String format(double value) {
        return isExactInteger(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /** Whether the value has no fraction and is small enough to be formatted as an integer. */
    static boolean isExactInteger(double value) {
        return value == Math.rint(value) && Math.abs(value) < MAX_EXACT_INTEGER;
    }

    /**
     * A boolean.
     *
     * @throws ConfigException if it is neither true nor false
     */
    public boolean bool(String key, boolean defaultValue) throws ConfigException {
        declare(key, KeySchema.Kind.BOOLEAN, defaultValue);
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Boolean flag)) {
            throw invalid(key, "must be true or false");
        }
        return flag;
    }

    /**
     * A constant of an enum, by its {@code toString} regardless of case.
     *
     * @param defaultValue returned if the key is absent; may be null
     * @throws ConfigException if the text is none of the constants
     */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E defaultValue) throws ConfigException {
        List<String> choices = Arrays.stream(type.getEnumConstants())
                .map(each -> each.toString().toLowerCase())
                .toList();
        declare(
                key,
                KeySchema.Kind.CHOICE,
                defaultValue == null ? null : defaultValue.toString().toLowerCase(),
                0,
                0,
                choices,
                null);
        String value = text(key, null);
        if (value == null) {
            return defaultValue;
        }
        for (E each : type.getEnumConstants()) {
            if (each.toString().equalsIgnoreCase(value)) {
                return each;
            }
        }
        throw invalid(
                key,
                "must be one of " + List.of(type.getEnumConstants()).toString().toLowerCase());
    }

    /**
     * A directory, or null if the key is absent; its existence is not checked.
     *
     * @throws ConfigException if it is no valid path
     */
    public Path directory(String key) throws ConfigException {
        declare(key, KeySchema.Kind.DIRECTORY, null);
        try {
            return has(key) ? Path.of(text(key, null)) : null;
        } catch (InvalidPathException e) {
            throw invalid(key, "must be a path: " + e.getReason());
        }
    }

    /**
     * An IP address and port; host names are rejected, since they would have to be resolved.
     *
     * @param defaultValue default; null if the key is required
     * @throws ConfigException if it is missing or malformed
     */
    public InetSocketAddress address(String key, String defaultValue) throws ConfigException {
        declare(key, KeySchema.Kind.ADDRESS, defaultValue);
        String value = text(key, defaultValue);
        if (value == null) {
            throw missing(key);
        }
        InetSocketAddress address = address(value);
        if (address == null) {
            throw invalid(key, "must be an IP address and port, such as 127.0.0.1:8081");
        }
        return address;
    }

    /** Parses an IP address and port; null if malformed. */
    static InetSocketAddress address(String value) {
        int colon = value.lastIndexOf(':');
        String host = colon < 0 ? "" : value.substring(0, colon);
        if (!host.matches("\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]")) {
            return null;
        }
        try {
            int port = Integer.parseInt(value.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (IllegalArgumentException | UnknownHostException e) {
            return null;
        }
    }

    /**
     * A required object.
     *
     * @throws ConfigException if it is missing or not an object
     */
    public ConfigNode object(String key) throws ConfigException {
        declareRequired(key, KeySchema.Kind.OBJECT);
        return object(key, null);
    }

    /**
     * An optional object.
     *
     * @param defaultValue its members if the key is absent
     * @throws ConfigException if it is not an object
     */
    public ConfigNode object(String key, Map<?, ?> defaultValue) throws ConfigException {
        Object value = values.get(key);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw invalid(key, "must be an object");
        }
        ConfigNode child = new ConfigNode(path(key), value == null ? defaultValue : (Map<?, ?>) value);
        declare(key, KeySchema.Kind.OBJECT, null, 0, 0, null, child);
        return child;
    }

    /**
     * Validates an optional list of numbers.
     *
     * @throws ConfigException if it is not a list or has other elements
     */
    public void numberList(String key) throws ConfigException {
        declare(key, KeySchema.Kind.NUMBER_LIST, null);
        Object value = values.get(key);
        if (value != null
                && !(value instanceof List<?> list && list.stream().allMatch(each -> each instanceof Number))) {
            throw invalid(key, "must be a list of numbers");
        }
    }

    /**
     * A list of objects; empty if the key is absent.
     *
     * @throws ConfigException if it is not a list or has other elements
     */
    public List<ConfigNode> objects(String key) throws ConfigException {
        return objects(key, null);
    }

    /**
     * A list of objects, or null if the value is the wildcard.
     *
     * @param wildcard text permitted in place of the list; null for none
     * @throws ConfigException if it is neither
     */
    public List<ConfigNode> objects(String key, String wildcard) throws ConfigException {
        List<String> choices = wildcard == null ? null : List.of(wildcard);
        declare(key, KeySchema.Kind.OBJECT_LIST, null, 0, 0, choices, null);
        Object value = values.get(key);
        if (wildcard != null && wildcard.equals(value)) {
            return null;
        }
        List<ConfigNode> children = new ArrayList<>();
        if (value == null) {
            return children;
        }
        if (!(value instanceof List<?> list)) {
            throw invalid(key, "must be a list");
        }
        for (Object each : list) {
            String childPath = path(key) + "[" + children.size() + "]";
            if (!(each instanceof Map<?, ?> map)) {
                throw new ConfigException(childPath, "must be an object");
            }
            ConfigNode child = new ConfigNode(childPath, map);
            declare(key, KeySchema.Kind.OBJECT_LIST, null, 0, 0, choices, child);
            children.add(child);
        }
        return children;
    }
}
