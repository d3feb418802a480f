package clayhook.config;

/** A configuration that cannot be used; the message names the faulty key. */
public final class BadConfig extends Exception {
    private static final long serialVersionUID = 1;

    public BadConfig(String message) {
        super(message);
    }
}
