package beechseam.config;

import java.net.InetSocketAddress;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** An object of a configuration, read with checks and defaults; every complaint names the key by its path. */
public final class Tree {
    private final String path;
    private final Map<?, ?> values;

    public Tree(String path, Map<?, ?> values) {
        this.path = path;
        this.values = values;
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
        return new ConfigException(path(key), problem);
    }

    private ConfigException missing(String key) {
        return wrong(key, "is missing");
    }

    public String text(String key) throws ConfigException {
        if (!has(key)) {
            throw missing(key);
        }
        return text(key, null);
    }

    public String text(String key, String otherwise) throws ConfigException {
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
        double value = number(key, least, most, otherwise);
        if (value != Math.rint(value)) {
            throw wrong(key, "must be a whole number");
        }
        return values.get(key) instanceof Number n ? n.longValue() : otherwise;
    }

    public double number(String key, double least, double most, double otherwise) throws ConfigException {
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
        return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
            : Double.toString(value);
    }

    public boolean flag(String key, boolean otherwise) throws ConfigException {
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
        String value = text(key, null);
        if (value == null) {
            return otherwise;
        }
        for (E each : words.getEnumConstants()) {
            if (each.name().equalsIgnoreCase(value)) {
                return each;
            }
        }
        throw wrong(key, "must be one of " + List.of(words.getEnumConstants()).toString().toLowerCase());
    }

    /** A directory, or null where none is named; it is not looked for here. */
    public Path directory(String key) throws ConfigException {
        try {
            return has(key) ? Path.of(text(key)) : null;
        } catch (InvalidPathException e) {
            throw wrong(key, "must be a path: " + e.getReason());
        }
    }

    /** An IP address and port; no names, since nothing here resolves them. */
    public InetSocketAddress address(String key, String otherwise) throws ConfigException {
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

    public Tree object(String key) throws ConfigException {
        if (!has(key)) {
            throw missing(key);
        }
        return object(key, null);
    }

    public Tree object(String key, Map<?, ?> otherwise) throws ConfigException {
        Object value = values.get(key);
        if (value == null) {
            return new Tree(path(key), otherwise);
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw wrong(key, "must be an object");
        }
        return new Tree(path(key), map);
    }

    /** Checks that a list, if there is one, holds numbers only. */
    public void numbers(String key) throws ConfigException {
        Object value = values.get(key);
        if (value != null && !(value instanceof List<?> list
            && list.stream().allMatch(each -> each instanceof Number))) {
            throw wrong(key, "must be a list of numbers");
        }
    }

    /** The objects of a list; absent is empty. */
    public List<Tree> objects(String key) throws ConfigException {
        Object value = values.get(key);
        List<Tree> all = new ArrayList<>();
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
            all.add(new Tree(at, map));
        }
        return all;
    }
}
