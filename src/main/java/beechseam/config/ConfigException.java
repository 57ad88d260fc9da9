package beechseam.config;

/** An invalid configuration; the message names the file, if there is one, and the key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an error at a key or file; {@code problem} completes the sentence that begins with its name. */
    public ConfigException(String key, String problem) {
        super(key + ": " + problem);
    }

    private ConfigException(String message) {
        super(message);
    }

    /** This exception with the file's name in front of its message, unless the message begins with it already. */
    public ConfigException in(String file) {
        return getMessage().startsWith(file + ": ") ? this : new ConfigException(file + ": " + getMessage());
    }
}
