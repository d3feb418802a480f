package clayhook.fleet;

/** Where packets to a router go; nothing here looks it up. */
public record Address(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
