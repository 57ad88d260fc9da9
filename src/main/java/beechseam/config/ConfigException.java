package beechseam.config;

/**
 * A configuration that cannot be used; the message names the file, where there is one, and the faulty key.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    public ConfigException(String key, String problem) {
        super(key + ": " + problem);
    }

    private ConfigException(String whole) {
        super(whole);
    }

    /** The same with the file that it is about, unless it names it already. */
    public ConfigException in(String file) {
        return getMessage().startsWith(file + ": ") ? this : new ConfigException(file + ": " + getMessage());
    }
}
