package clayhook.config;

/** A configuration that cannot be used; the message names the faulty key. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    public ConfigurationException(String message) {
        super(message);
    }
}
