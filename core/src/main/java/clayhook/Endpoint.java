package clayhook;

/**
 * What the node list says of one node.
 *
 * @param startedAt when its process last started, in seconds; 0 for long ago
 */
public record Endpoint(Node node, State state, boolean primary, double startedAt) {

    public enum State {
        READY,
        DRAINING,
        GONE
    }
}
