package clayhook.fleet;

/** The UDP address that a router advertises. This module does not resolve the host name. */
public record Address(String host, int port) {
    /** Returns the host and the port, separated by a colon. */
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
