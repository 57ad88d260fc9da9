package beechseam.config;

/**
 * A configuration that cannot be used; the message names the file, where there is one, and the faulty key.
 */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /** {@code key} names what is at fault, usually a key; {@code problem} follows in the message. */
    public ConfigException(String key, String problem) {
        super(key + ": " + problem);
    }

    private ConfigException(String message) {
        super(message);
    }

    /** The same with the name of the file in front of the message, unless it stands there already. */
    public ConfigException in(String file) {
        return getMessage().startsWith(file + ": ") ? this : new ConfigException(file + ": " + getMessage());
    }
}
