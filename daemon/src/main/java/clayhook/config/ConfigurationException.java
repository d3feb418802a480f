package clayhook.config;

/** A configuration is invalid; the message names the key, and for the operator's file also file and line. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    public ConfigurationException(String message) {
        super(message);
    }
}
