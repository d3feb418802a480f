package clayhook.fleet;

/** The UDP address of a router, as the router advertises it; never resolved here. */
public record Address(String host, int port) {
    /** Returns host and port with a colon between them. */
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
