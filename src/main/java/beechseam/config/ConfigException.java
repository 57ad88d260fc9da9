package beechseam.config;

/** A configuration that cannot be used; the message names the faulty key. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1;

    public ConfigException(String key, String problem) {
        super(key + ": " + problem);
    }
}
