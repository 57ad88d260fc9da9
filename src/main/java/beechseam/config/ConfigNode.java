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
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * An object of a configuration, read with checks and defaults; every error names the key by its path. Reading a
 * key also declares it: so a key that nothing reads is found afterwards, and a schema can be generated from what
 * was read, without a second description of the format. A null value counts as absent.
 */
public final class ConfigNode {
    /** The type of a key's value. */
    enum Kind {
        TEXT,
        WHOLE,
        NUMBER,
        FLAG,
        WORD,
        DIRECTORY,
        ADDRESS,
        OBJECT,
        NUMBERS,
        OBJECTS
    }

    /**
     * What was declared of a key by reading it.
     *
     * @param kind         the type of its value
     * @param required     whether it must be there
     * @param defaultValue its value if absent, or null if there is none
     * @param least        the lower bound of a number
     * @param most         the upper bound of a number
     * @param words        the words of which it is one, or the word that may stand in place of a list; else null
     * @param child        the last object read of it, or null for other types
     */
    record KeyDeclaration(
            Kind kind,
            boolean required,
            Object defaultValue,
            double least,
            double most,
            List<String> words,
            ConfigNode child) {}

    /** The largest edit distance of a suggested key, as a share of the length of the unknown one. */
    private static final double MAX_SUGGESTION_DISTANCE = 0.5;
    /** The same where the unknown key may belong to another program. */
    private static final double MAX_MISSPELLING_DISTANCE = 0.25;

    private final String path;
    private final Map<?, ?> values;
    private final Map<String, KeyDeclaration> declared = new LinkedHashMap<>();

    /**
     * A node over parsed JSON.
     *
     * @param path   its path in the configuration, empty for the root
     * @param values its values by key
     */
    public ConfigNode(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    /** The keys read so far, in the order of their first reading. */
    Map<String, KeyDeclaration> declared() {
        return declared;
    }

    private void declare(
            String key,
            Kind kind,
            Object defaultValue,
            double least,
            double most,
            List<String> words,
            ConfigNode child) {
        KeyDeclaration before = declared.get(key);
        if (before == null || child != null) {
            declared.put(
                    key,
                    new KeyDeclaration(
                            kind, before != null && before.required, defaultValue, least, most, words, child));
        }
    }

    private void declare(String key, Kind kind, Object defaultValue) {
        declare(key, kind, defaultValue, 0, 0, null, null);
    }

    private void require(String key, Kind kind) throws ConfigException {
        declared.put(key, new KeyDeclaration(kind, true, null, 0, 0, null, null));
        if (!has(key)) {
            throw missing(key);
        }
    }

    /** Throws if there is a key that has not been read; the message suggests the nearest of those that have been. */
    public void noOthers() throws ConfigException {
        for (Object each : values.keySet()) {
            if (!declared.containsKey(each)) {
                throw unknown(each.toString(), nearest(each.toString(), MAX_SUGGESTION_DISTANCE));
            }
        }
    }

    /** Declares keys that may be there and are not read by their names. */
    public void mayHave(String... keys) {
        for (String each : keys) {
            declare(each, Kind.TEXT, null);
        }
    }

    /** The keys that have not been read, each with the declared key that it misspells, or null if it is like none. */
    public Map<String, String> others() {
        Map<String, String> others = new LinkedHashMap<>();
        for (Object each : values.keySet()) {
            if (!declared.containsKey(each)) {
                others.put(each.toString(), nearest(each.toString(), MAX_MISSPELLING_DISTANCE));
            }
        }
        return others;
    }

    private String nearest(String key, double share) {
        String best = null;
        int least = (int) Math.max(1, key.length() * share) + 1;
        for (String each : declared.keySet()) {
            int distance = LevenshteinDistance.getDefaultInstance().apply(key.toLowerCase(), each.toLowerCase());
            if (distance < least) {
                least = distance;
                best = each;
            }
        }
        return best;
    }

    /** The path of a key of this object, as errors name it. */
    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** Whether the key has a value other than null. */
    public boolean has(String key) {
        return values.get(key) != null;
    }

    /** The values by key, as parsed. */
    public Map<?, ?> values() {
        return values;
    }

    /** An error about a key; names its value if that is a text, a number or a flag. */
    public ConfigException wrong(String key, String problem) {
        Object value = values.get(key);
        boolean plain = value instanceof String || value instanceof Number || value instanceof Boolean;
        return new ConfigException(path(key), plain ? problem + " (it is " + value + ")" : problem);
    }

    /** The error for an unknown key; {@code near} is the key that may be meant, or null to name all that are known. */
    ConfigException unknown(String key, String near) {
        return new ConfigException(
                path(key),
                "is not known here; "
                        + (near == null
                                ? "known are " + String.join(", ", declared.keySet())
                                : "did you mean " + near + "?"));
    }

    private ConfigException missing(String key) {
        return wrong(key, "is missing");
    }

    /** A text that must be there and is not blank. */
    public String text(String key) throws ConfigException {
        require(key, Kind.TEXT);
        return text(key, null);
    }

    /** A text that is not blank, or the default, which may be null. */
    public String text(String key, String defaultValue) throws ConfigException {
        declare(key, Kind.TEXT, defaultValue);
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof String text) || text.isBlank()) {
            throw wrong(key, "must be a text that is not empty");
        }
        return text;
    }

    /** A whole number from {@code least} to {@code most}, or the default, which is not checked. */
    public long whole(String key, long least, long most, long defaultValue) throws ConfigException {
        declare(key, Kind.WHOLE, defaultValue, least, most, null, null);
        double value = number(key, least, most, defaultValue);
        if (value != Math.rint(value)) {
            throw wrong(key, "must be a whole number");
        }
        return values.get(key) instanceof Number number ? number.longValue() : defaultValue;
    }

    /** A number from {@code least} to {@code most}, or the default, which is not checked. */
    public double number(String key, double least, double most, double defaultValue) throws ConfigException {
        declare(key, Kind.NUMBER, defaultValue, least, most, null, null);
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number number) || !(number.doubleValue() >= least && number.doubleValue() <= most)) {
            throw wrong(key, "must be a number from " + plain(least) + " to " + plain(most));
        }
        return number.doubleValue();
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    /** True or false, or the default. */
    public boolean flag(String key, boolean defaultValue) throws ConfigException {
        declare(key, Kind.FLAG, defaultValue);
        Object value = values.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Boolean flag)) {
            throw wrong(key, "must be true or false");
        }
        return flag;
    }

    /** A constant by its {@code toString}, in any case of letters, or the default, which may be null. */
    public <E extends Enum<E>> E word(String key, Class<E> words, E defaultValue) throws ConfigException {
        List<String> known = Arrays.stream(words.getEnumConstants())
                .map(each -> each.toString().toLowerCase())
                .toList();
        declare(
                key,
                Kind.WORD,
                defaultValue == null ? null : defaultValue.toString().toLowerCase(),
                0,
                0,
                known,
                null);
        String value = text(key, null);
        if (value == null) {
            return defaultValue;
        }
        for (E each : words.getEnumConstants()) {
            if (each.toString().equalsIgnoreCase(value)) {
                return each;
            }
        }
        throw wrong(
                key,
                "must be one of " + List.of(words.getEnumConstants()).toString().toLowerCase());
    }

    /** The path of a directory, or null if absent; whether it exists is not checked. */
    public Path directory(String key) throws ConfigException {
        declare(key, Kind.DIRECTORY, null);
        try {
            return has(key) ? Path.of(text(key, null)) : null;
        } catch (InvalidPathException e) {
            throw wrong(key, "must be a path: " + e.getReason());
        }
    }

    /** An IP address and port; required if the default is null. A host name is an error: nothing here resolves it. */
    public InetSocketAddress address(String key, String defaultValue) throws ConfigException {
        declare(key, Kind.ADDRESS, defaultValue);
        String value = text(key, defaultValue);
        if (value == null) {
            throw missing(key);
        }
        InetSocketAddress address = address(value);
        if (address == null) {
            throw wrong(key, "must be an IP address and port, such as 127.0.0.1:8081");
        }
        return address;
    }

    /** The address that a text gives, or null if it is none. */
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

    /** An object that must be there. */
    public ConfigNode object(String key) throws ConfigException {
        require(key, Kind.OBJECT);
        return object(key, null);
    }

    /** An object, or one over the default's values if absent. */
    public ConfigNode object(String key, Map<?, ?> defaultValue) throws ConfigException {
        Object value = values.get(key);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw wrong(key, "must be an object");
        }
        ConfigNode child = new ConfigNode(path(key), value == null ? defaultValue : (Map<?, ?>) value);
        declare(key, Kind.OBJECT, null, 0, 0, null, child);
        return child;
    }

    /** Throws if the key is there and is not a list of numbers. */
    public void numbers(String key) throws ConfigException {
        declare(key, Kind.NUMBERS, null);
        Object value = values.get(key);
        if (value != null
                && !(value instanceof List<?> list && list.stream().allMatch(each -> each instanceof Number))) {
            throw wrong(key, "must be a list of numbers");
        }
    }

    /** The objects of a list; empty if absent. */
    public List<ConfigNode> objects(String key) throws ConfigException {
        return objects(key, null);
    }

    /** The objects of a list, empty if absent; null if {@code word}, null for none, stands in its place. */
    public List<ConfigNode> objects(String key, String word) throws ConfigException {
        List<String> words = word == null ? null : List.of(word);
        declare(key, Kind.OBJECTS, null, 0, 0, words, null);
        Object value = values.get(key);
        if (word != null && word.equals(value)) {
            return null;
        }
        List<ConfigNode> all = new ArrayList<>();
        if (value == null) {
            return all;
        }
        if (!(value instanceof List<?> list)) {
            throw wrong(key, "must be a list");
        }
        for (Object each : list) {
            String at = path(key) + "[" + all.size() + "]";
            if (!(each instanceof Map<?, ?> map)) {
                throw new ConfigException(at, "must be an object");
            }
            ConfigNode child = new ConfigNode(at, map);
            declare(key, Kind.OBJECTS, null, 0, 0, words, child);
            all.add(child);
        }
        return all;
    }
}
