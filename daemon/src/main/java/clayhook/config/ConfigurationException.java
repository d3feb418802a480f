package clayhook.config;

/**
 * Thrown when a configuration is invalid. The message names the key and, for the operator's file, also the file and the
 * line.
 */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    public ConfigurationException(String message) {
        super(message);
    }
}
