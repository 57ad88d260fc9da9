package beechseam.config;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * An object of a configuration, read with checks and defaults; every complaint names the key by its path. It
 * notes what it was asked for, so that a key that nobody asked for is found, and a schema can be made of what
 * is asked.
 */
public final class ConfigNode {
    /** What a key must be. */
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
     * What was asked of a key: its bounds if it is a number, its words if it is one of some, the word that
     * may stand in place of a list; {@code child} is the last object read of it, null for other kinds.
     */
    record Asked(
            Kind kind,
            boolean required,
            Object otherwise,
            double least,
            double most,
            List<String> words,
            ConfigNode child) {}

    /** Words further apart than this share of their length are not taken for one misspelt. */
    private static final double LIKE = 0.5;
    /** And no further than this, where the other may as well be somebody else's word. */
    private static final double MISSPELT = 0.25;

    private final String path;
    private final Map<?, ?> values;
    private final Map<String, Asked> asked = new LinkedHashMap<>();

    public ConfigNode(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
    }

    Map<String, Asked> asked() {
        return asked;
    }

    private void note(
            String key, Kind kind, Object otherwise, double least, double most, List<String> words, ConfigNode child) {
        Asked before = asked.get(key);
        if (before == null || child != null) {
            asked.put(key, new Asked(kind, before != null && before.required, otherwise, least, most, words, child));
        }
    }

    private void note(String key, Kind kind, Object otherwise) {
        note(key, kind, otherwise, 0, 0, null, null);
    }

    private void require(String key, Kind kind) throws ConfigException {
        asked.put(key, new Asked(kind, true, null, 0, 0, null, null));
        if (!has(key)) {
            throw missing(key);
        }
    }

    /** Complains of a key that was not asked for, with the nearest of those that were. */
    public void noOthers() throws ConfigException {
        for (Object each : values.keySet()) {
            if (!asked.containsKey(each)) {
                throw unknown(each.toString(), nearest(each.toString(), LIKE));
            }
        }
    }

    /** Keys that may stand here though nothing is asked of them by their name. */
    public void mayHave(String... keys) {
        for (String each : keys) {
            note(each, Kind.TEXT, null);
        }
    }

    /**
     * Keys that were not asked for, each with one of which it is a misspelling, or null where it is of none.
     */
    public Map<String, String> others() {
        Map<String, String> others = new LinkedHashMap<>();
        for (Object each : values.keySet()) {
            if (!asked.containsKey(each)) {
                others.put(each.toString(), nearest(each.toString(), MISSPELT));
            }
        }
        return others;
    }

    private String nearest(String key, double share) {
        String best = null;
        int least = (int) Math.max(1, key.length() * share) + 1;
        for (String each : asked.keySet()) {
            int distance = LevenshteinDistance.getDefaultInstance().apply(key.toLowerCase(), each.toLowerCase());
            if (distance < least) {
                least = distance;
                best = each;
            }
        }
        return best;
    }

    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    public boolean has(String key) {
        return values.get(key) != null;
    }

    public Map<?, ?> values() {
        return values;
    }

    public ConfigException wrong(String key, String problem) {
        Object value = values.get(key);
        boolean plain = value instanceof String || value instanceof Number || value instanceof Boolean;
        return new ConfigException(path(key), plain ? problem + " (it is " + value + ")" : problem);
    }

    /** A key that nobody asks for; {@code near} is the one that was meant, or null where none is like it. */
    ConfigException unknown(String key, String near) {
        return new ConfigException(
                path(key),
                "is not known here; "
                        + (near == null
                                ? "known are " + String.join(", ", asked.keySet())
                                : "did you mean " + near + "?"));
    }

    private ConfigException missing(String key) {
        return wrong(key, "is missing");
    }

    public String text(String key) throws ConfigException {
        require(key, Kind.TEXT);
        return text(key, null);
    }

    public String text(String key, String otherwise) throws ConfigException {
        note(key, Kind.TEXT, otherwise);
        Object value = values.get(key);
        if (value == null) {
            return otherwise;
        }
        if (!(value instanceof String s) || s.isBlank()) {
            throw wrong(key, "must be a text that is not empty");
        }
        return s;
    }

    /** A whole number within bounds. */
    public long whole(String key, long least, long most, long otherwise) throws ConfigException {
        note(key, Kind.WHOLE, otherwise, least, most, null, null);
        double value = number(key, least, most, otherwise);
        if (value != Math.rint(value)) {
            throw wrong(key, "must be a whole number");
        }
        return values.get(key) instanceof Number n ? n.longValue() : otherwise;
    }

    public double number(String key, double least, double most, double otherwise) throws ConfigException {
        note(key, Kind.NUMBER, otherwise, least, most, null, null);
        Object value = values.get(key);
        if (value == null) {
            return otherwise;
        }
        if (!(value instanceof Number n) || !(n.doubleValue() >= least && n.doubleValue() <= most)) {
            throw wrong(key, "must be a number from " + plain(least) + " to " + plain(most));
        }
        return n.doubleValue();
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    public boolean flag(String key, boolean otherwise) throws ConfigException {
        note(key, Kind.FLAG, otherwise);
        Object value = values.get(key);
        if (value == null) {
            return otherwise;
        }
        if (!(value instanceof Boolean b)) {
            throw wrong(key, "must be true or false");
        }
        return b;
    }

    public <E extends Enum<E>> E word(String key, Class<E> words, E otherwise) throws ConfigException {
        List<String> known = java.util.Arrays.stream(words.getEnumConstants())
                .map(e -> e.toString().toLowerCase())
                .toList();
        note(key, Kind.WORD, otherwise == null ? null : otherwise.toString().toLowerCase(), 0, 0, known, null);
        String value = text(key, null);
        if (value == null) {
            return otherwise;
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

    /** A directory, or null where none is named; it is not looked for here. */
    public Path directory(String key) throws ConfigException {
        note(key, Kind.DIRECTORY, null);
        try {
            return has(key) ? Path.of(text(key, null)) : null;
        } catch (InvalidPathException e) {
            throw wrong(key, "must be a path: " + e.getReason());
        }
    }

    /** An IP address and port; no names, since nothing here resolves them. */
    public InetSocketAddress address(String key, String otherwise) throws ConfigException {
        note(key, Kind.ADDRESS, otherwise);
        String value = text(key, otherwise);
        if (value == null) {
            throw missing(key);
        }
        InetSocketAddress address = address(value);
        if (address == null) {
            throw wrong(key, "must be an IP address and port, such as 127.0.0.1:8081");
        }
        return address;
    }

    static InetSocketAddress address(String value) {
        int colon = value.lastIndexOf(':');
        String host = colon < 0 ? "" : value.substring(0, colon);
        if (!host.matches("\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]")) {
            return null;
        }
        try {
            int port = Integer.parseInt(value.substring(colon + 1));
            return new InetSocketAddress(java.net.InetAddress.getByName(host), port);
        } catch (IllegalArgumentException | java.net.UnknownHostException e) {
            return null;
        }
    }

    public ConfigNode object(String key) throws ConfigException {
        require(key, Kind.OBJECT);
        return object(key, null);
    }

    public ConfigNode object(String key, Map<?, ?> otherwise) throws ConfigException {
        Object value = values.get(key);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw wrong(key, "must be an object");
        }
        ConfigNode child = new ConfigNode(path(key), value == null ? otherwise : (Map<?, ?>) value);
        note(key, Kind.OBJECT, null, 0, 0, null, child);
        return child;
    }

    /** Checks that a list, if there is one, holds numbers only. */
    public void numbers(String key) throws ConfigException {
        note(key, Kind.NUMBERS, null);
        Object value = values.get(key);
        if (value != null
                && !(value instanceof List<?> list && list.stream().allMatch(each -> each instanceof Number))) {
            throw wrong(key, "must be a list of numbers");
        }
    }

    /** The objects of a list; absent is empty. */
    public List<ConfigNode> objects(String key) throws ConfigException {
        return objects(key, null);
    }

    /** The same, or null where the word stands in the list's place. */
    public List<ConfigNode> objects(String key, String word) throws ConfigException {
        List<String> words = word == null ? null : List.of(word);
        note(key, Kind.OBJECTS, null, 0, 0, words, null);
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
            note(key, Kind.OBJECTS, null, 0, 0, words, child);
            all.add(child);
        }
        return all;
    }
}
